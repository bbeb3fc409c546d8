//! A node that runs as a process of its own, with its target in the test's process.

#![allow(dead_code, reason = "each test file uses a part")]

use std::fs::OpenOptions;
use std::net::IpAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use fescuestack_platform_standin::StandinApplication;

pub struct NodeProcess {
    pub vm: IpAddr,
    pub application: StandinApplication,
    pub settings: PathBuf,
    binary: PathBuf,
    log: Option<PathBuf>,
    process: Option<Child>,
}

impl NodeProcess {
    /// Creates a node whose settings file is `settings`, without starting its process.
    pub fn new(vm: IpAddr, application: StandinApplication, settings: PathBuf) -> NodeProcess {
        let binary = PathBuf::from(env!("CARGO_BIN_EXE_fescuestack"));
        NodeProcess { vm, application, settings, binary, log: None, process: None }
    }

    /// Sets another build of the program, from the next start on.
    pub fn set_binary(&mut self, binary: Option<PathBuf>) {
        if let Some(binary) = binary {
            self.binary = binary;
        }
    }

    /// Sets the file to which log lines of level `info` are appended, from the next start on. Without a
    /// file, the log is dropped.
    pub fn set_log(&mut self, log: Option<PathBuf>) {
        self.log = log;
    }

    pub fn start(&mut self) {
        let mut command = Command::new(&self.binary);
        let level = if self.log.is_some() { "info" } else { "error" };
        command.args(["sidecar", "--log", level, "--settings"]).arg(&self.settings);
        let output = self.log.as_ref().map_or_else(Stdio::null, |log| {
            let file = OpenOptions::new().create(true).append(true).open(log);
            file.expect("a writable directory").into()
        });
        command.env("ASYNC_STD_THREAD_COUNT", "1").stdout(output);
        self.process = Some(command.spawn().expect("the binary runs"));
    }

    /// Sends a signal to the process of this node only.
    pub fn signal(&mut self, name: &str) {
        let Some(process) = &self.process else { return };
        let id = process.id().to_string();
        Command::new("kill").args([name, &id]).status().expect("the signal is sent");
    }

    /// Returns the largest amount of memory that the running process has held, in KB.
    pub fn peak_memory_kb(&self) -> u64 {
        let id = self.process.as_ref().expect("a started process").id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("a process");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.and_then(|peak| peak.split_whitespace().next()?.parse().ok());
        peak.expect("the peak of the resident memory")
    }

    /// Returns the number of sockets that the running process has open.
    pub fn open_sockets(&self) -> u64 {
        let id = self.process.as_ref().expect("a started process").id();
        let descriptors = std::fs::read_dir(format!("/proc/{id}/fd")).expect("a process");
        let targets = descriptors.filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok());
        targets.filter(|target| target.to_string_lossy().starts_with("socket:")).count() as u64
    }

    /// Whether the process was never started or has exited.
    pub fn has_ended(&mut self) -> bool {
        self.process
            .as_mut()
            .is_none_or(|process| process.try_wait().expect("status of a child process").is_some())
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
        let _ = std::fs::remove_file(&self.settings);
    }
}
