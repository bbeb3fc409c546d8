//! Processor time and memory of the current process.

use std::fs;
use std::time::Duration;

/// Clock ticks per second, the unit of the times in `/proc/self/stat`: `sysconf(_SC_CLK_TCK)` on
/// Linux.
const TICKS_PER_SECOND: u64 = 100;

/// Resource usage of the process.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ProcessUsage {
    /// Processor time in user and kernel mode since the start.
    pub(crate) processor: Duration,
    /// Current resident memory, in kilobytes.
    pub(crate) resident_kb: u64,
    /// Peak resident memory, in kilobytes.
    pub(crate) peak_kb: u64,
}

impl ProcessUsage {
    /// Reads the usage from `/proc`. Values that are not available are zero.
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

/// Parses and adds fields 14 (`utime`) and 15 (`stime`). Counts from the end of the command name, which is in
/// parentheses and may contain blanks.
fn parse_processor_time(stat: &str) -> Option<Duration> {
    let (_, fields) = stat.rsplit_once(')')?;
    let mut fields = fields.split_ascii_whitespace().skip(11);
    let user: u64 = fields.next()?.parse().ok()?;
    let kernel: u64 = fields.next()?.parse().ok()?;
    Some(Duration::from_millis((user + kernel) * 1_000 / TICKS_PER_SECOND))
}

/// Parses the line of `/proc/self/status` that starts with `label`.
fn parse_status_kb(status: &str, label: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix(label))?;
    line.split_ascii_whitespace().next()?.parse().ok()
}
