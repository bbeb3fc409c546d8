//! Command-line interface.

use std::fs::File;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use async_std::task;
use clap::{Parser, Subcommand};
use fescuestack_operators::LossTable;
use fescuestack_platform::SidecarSettings;
use fescuestack_questionnaire::QuestionnaireCommand;
use fescuestack_sidecar::{NodePolicy, SidecarNode};

use crate::demo::DemoSettings;
use crate::logging::{LogStream, start_logging};
use crate::measure::MeasureCommand;
use crate::node::{NodeOptions, RunningNode};
use crate::output::{print_line, write_output};
use crate::settings::NodeSettings;
use crate::signals::ProcessSignals;
use crate::standin::StandinCommand;

/// Configuration distribution for a service mesh.
#[derive(Debug, Parser)]
#[command(name = "fescuestack", version)]
pub(crate) struct CommandLine {
    #[command(subcommand)]
    command: MainCommand,
}

#[derive(Debug, Subcommand)]
enum MainCommand {
    /// Check, generate, compare and accept questionnaires of a deployment.
    Questionnaire(QuestionnaireCommand),
    /// Run a node beside one upstream.
    Node {
        /// Settings file.
        #[arg(long)]
        settings: PathBuf,
    },
    /// Run a node beside one upstream on the users' platform.
    Sidecar {
        /// Settings file of the platform. Defaults to the file that the platform names in the environment.
        #[arg(long)]
        settings: Option<PathBuf>,
        /// Policy of the operators, in YAML. Without it, all of its parts have their defaults.
        #[arg(long)]
        policy: Option<PathBuf>,
        /// Log level: error, warn, info, debug or trace.
        #[arg(long, default_value = "info")]
        log: String,
    },
    /// Work with a settings file.
    #[command(subcommand)]
    Settings(SettingsCommand),
    /// Show the configuration versions, membership and role of a node.
    Status {
        /// Operator port of the node.
        #[arg(long)]
        node: SocketAddr,
    },
    /// Show the routing decisions of a node for one call.
    Explain {
        /// Operator port of the node.
        #[arg(long)]
        node: SocketAddr,
        /// Request id from the `fescuestack-request` header.
        request: String,
    },
    /// Count refused, failed and late requests of a fleet by cause, from the logs of its nodes.
    Losses {
        /// Log files, one per node or several nodes in one file.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
    /// Run a complete deployment on loopback. The last line of output is a JSON object.
    Demo(DemoSettings),
    /// Run performance measurements on loopback.
    #[command(subcommand)]
    Measure(MeasureCommand),
    /// Replay recorded control inputs. Fails at the first input with a different outcome.
    Replay {
        /// Recordings in JSON Lines format.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Run a stand-in of an external system as a separate process.
    #[command(subcommand)]
    Standin(StandinCommand),
    /// Print the recorded control inputs of a node.
    Record {
        /// Operator port of the node.
        #[arg(long)]
        node: SocketAddr,
    },
}

#[derive(Debug, Subcommand)]
enum SettingsCommand {
    /// Validate a settings file and check that its addresses are free.
    Check {
        /// Settings file.
        file: PathBuf,
        /// Read the file in the format of the users' platform.
        #[arg(long)]
        platform: bool,
    },
}

impl CommandLine {
    /// Runs the command and returns the exit status of the process.
    pub(crate) fn run(self) -> ExitCode {
        match self.command {
            MainCommand::Questionnaire(command) => command.run(),
            MainCommand::Node { settings } => run_node(&settings),
            MainCommand::Sidecar { settings, policy, log } => {
                run_sidecar(settings, policy.as_deref(), &log)
            }
            MainCommand::Settings(SettingsCommand::Check { file, platform: true }) => {
                check_platform_settings(&file)
            }
            MainCommand::Settings(SettingsCommand::Check { file, .. }) => check_settings(&file),
            MainCommand::Losses { logs } => print_losses(&logs),
            MainCommand::Status { node } => print_operator_response(node, "/status"),
            MainCommand::Explain { node, request } => {
                print_operator_response(node, &format!("/explain/{request}"))
            }
            MainCommand::Replay { files } => replay_files(&files),
            MainCommand::Standin(command) => command.run(),
            MainCommand::Demo(settings) => settings.run(),
            MainCommand::Measure(command) => command.run(),
            MainCommand::Record { node } => print_operator_response(node, "/recording"),
        }
    }
}

fn run_node(path: &std::path::Path) -> ExitCode {
    let settings = match NodeSettings::load(path) {
        Ok(settings) => settings,
        Err(err) => return fail(&err),
    };
    let _logger = match start_logging(&settings.log, LogStream::Output) {
        Ok(handle) => handle,
        Err(err) => return fail(&err),
    };
    let signals = match ProcessSignals::new() {
        Ok(signals) => signals,
        Err(err) => return fail(&err),
    };
    task::block_on(async {
        match RunningNode::start(&settings, NodeOptions::default()).await {
            Ok(node) => {
                signals.wait_for_stop().await;
                log::info!("graceful shutdown started");
                node.stop().await;
                ExitCode::SUCCESS
            }
            Err(err) => fail(&err),
        }
    })
}

fn run_sidecar(
    settings: Option<PathBuf>,
    policy: Option<&std::path::Path>,
    level: &str,
) -> ExitCode {
    let _logger = match start_logging(level, LogStream::Output) {
        Ok(handle) => handle,
        Err(err) => return fail(&err),
    };
    let policy = match policy.map_or_else(|| Ok(NodePolicy::default()), NodePolicy::load) {
        Ok(policy) => policy,
        Err(err) => return fail(&err),
    };
    let path = settings.unwrap_or_else(fescuestack_platform::sidecar_settings_path);
    // Installed before the node listens, since a stop may be requested as soon as it does.
    let signals = match ProcessSignals::new() {
        Ok(signals) => signals,
        Err(err) => return fail(&err),
    };
    task::block_on(async {
        match SidecarNode::start_with_policy(path, policy).await {
            Ok(node) => {
                node.run(
                    async || signals.wait_for_stop().await,
                    async || signals.wait_for_reload().await,
                )
                .await;
                log::logger().flush();
                ExitCode::SUCCESS
            }
            Err(err) => {
                log::error!("{err}");
                log::logger().flush();
                fail(&err)
            }
        }
    })
}

fn check_settings(path: &std::path::Path) -> ExitCode {
    let settings = match NodeSettings::load(path) {
        Ok(settings) => settings,
        Err(err) => return fail(&err),
    };
    check_addresses(path, &settings.node, settings.listen.named_addresses())
}

fn check_platform_settings(path: &std::path::Path) -> ExitCode {
    let settings = match SidecarSettings::load(path) {
        Ok(settings) => settings,
        Err(err) => return fail(&err),
    };
    let addresses =
        [("outbound", settings.outbound), ("inbound", settings.inbound), ("ready", settings.ready)];
    check_addresses(path, &settings.node, addresses)
}

/// Tries to bind each address and reports the ones that are not available.
fn check_addresses(
    path: &std::path::Path,
    node: &str,
    addresses: impl IntoIterator<Item = (&'static str, SocketAddr)>,
) -> ExitCode {
    let mut all_free = true;
    for (name, address) in addresses {
        if let Err(err) = std::net::TcpListener::bind(address) {
            eprintln!("604 listen.{name}: cannot listen on {address}: {err}");
            all_free = false;
        }
    }
    if !all_free {
        return ExitCode::FAILURE;
    }
    print_line!("{}: settings of node {node} are valid", path.display());
    ExitCode::SUCCESS
}

fn print_operator_response(node: SocketAddr, path: &str) -> ExitCode {
    match task::block_on(fescuestack_operators::fetch(node, path)) {
        Ok(text) => {
            print_line!("{}", text.trim_end());
            ExitCode::SUCCESS
        }
        Err(err) => fail(&err),
    }
}

fn print_losses(logs: &[PathBuf]) -> ExitCode {
    let mut table = LossTable::new();
    for path in logs {
        let name = path.file_stem().unwrap_or_default().to_string_lossy();
        let result = File::open(path).and_then(|file| table.read_log(&name, BufReader::new(file)));
        if let Err(err) = result {
            eprintln!("609 {}: {err}", path.display());
            return ExitCode::FAILURE;
        }
    }
    write_output(format_args!("{table}"));
    ExitCode::SUCCESS
}

fn replay_files(files: &[PathBuf]) -> ExitCode {
    for file in files {
        let text = match std::fs::read_to_string(file) {
            Ok(text) => text,
            Err(err) => {
                eprintln!("{}: {err}", file.display());
                return ExitCode::FAILURE;
            }
        };
        match fescuestack_core::replay(text.lines()) {
            Ok(report) => print_line!(
                "{}: {} inputs, {} expected outcomes, active version {}",
                file.display(),
                report.inputs,
                report.outcomes,
                report.status.active
            ),
            Err(err) => {
                eprintln!("{}: {err}", file.display());
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}

/// Prints an error to standard error and returns the exit status of a failed command.
pub(crate) fn fail(err: &dyn std::error::Error) -> ExitCode {
    eprintln!("{err}");
    ExitCode::FAILURE
}
