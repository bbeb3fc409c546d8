//! Signals that stop the process or reload its settings.

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

/// Handlers of the signals that a node reacts to. A signal that arrives after their installation is kept
/// until it is waited for; before, it ends the process at once.
#[derive(Debug)]
pub(crate) struct ProcessSignals {
    stop: Signals,
    reload: Signals,
}

impl ProcessSignals {
    /// Installs the handlers. Fails if the system refuses one of them.
    pub(crate) fn new() -> std::io::Result<ProcessSignals> {
        Ok(ProcessSignals {
            stop: Signals::new([Signal::Term, Signal::Int])?,
            reload: Signals::new([Signal::Hup])?,
        })
    }

    /// Waits for SIGTERM or SIGINT.
    pub(crate) async fn wait_for_stop(&self) {
        (&self.stop).next().await;
    }

    /// Waits for SIGHUP, which requests a reload of the settings.
    pub(crate) async fn wait_for_reload(&self) {
        (&self.reload).next().await;
        log::info!("reloading settings");
    }
}

/// Waits for SIGTERM or SIGINT. Logs an error and returns at once if no signal handler can be
/// installed.
pub(crate) async fn wait_for_stop_signal() {
    match Signals::new([Signal::Term, Signal::Int]) {
        Ok(mut signals) => {
            signals.next().await;
        }
        Err(err) => log::error!("cannot install signal handler: {err}"),
    }
}
