//! Structured logs: JSON lines on standard error.

use flexi_logger::{FlexiLoggerError, Logger, LoggerHandle};

/// Starts logging at `level`. The VMs have no disks, so logs go to standard error only. Keep the
/// handle until the process ends. Fails when the level is not known or logging runs already.
pub(crate) fn start_logging(level: &str) -> Result<LoggerHandle, FlexiLoggerError> {
    // The libraries below tonic log every frame at debug level.
    let specification =
        format!("{level}, h2=warn, hyper=warn, tower=warn, async_io=warn, polling=warn");
    Logger::try_with_str(specification)?.log_to_stderr().format(flexi_logger::json_format).start()
}
