//! Processor time and memory of the own process.

use std::fs;
use std::time::Duration;

/// Clock ticks a second in `/proc/self/stat`; the C library's value on Linux.
const TICKS_PER_SECOND: u64 = 100;

/// Resources that the process has used so far.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ProcessUsage {
    /// Processor time in user and kernel mode.
    pub(crate) processor: Duration,
    /// Resident memory at present, in kilobytes.
    pub(crate) resident_kb: u64,
    /// Highest resident memory so far, in kilobytes.
    pub(crate) peak_kb: u64,
}

impl ProcessUsage {
    /// Reads the usage. Values that the system does not provide are zero.
    pub(crate) fn read() -> ProcessUsage {
        let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
        let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
        ProcessUsage {
            processor: parse_processor_time(&stat).unwrap_or_default(),
            resident_kb: parse_status_kb(&status, "VmRSS:").unwrap_or_default(),
            peak_kb: parse_status_kb(&status, "VmHWM:").unwrap_or_default(),
        }
    }
}

/// Fields 14 and 15, counted after the command name, which is in parentheses.
fn parse_processor_time(stat: &str) -> Option<Duration> {
    let (_, fields) = stat.rsplit_once(')')?;
    let mut fields = fields.split_ascii_whitespace().skip(11);
    let user: u64 = fields.next()?.parse().ok()?;
    let kernel: u64 = fields.next()?.parse().ok()?;
    Some(Duration::from_millis((user + kernel) * 1_000 / TICKS_PER_SECOND))
}

fn parse_status_kb(status: &str, label: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix(label))?;
    line.split_ascii_whitespace().next()?.parse().ok()
}
