//! Signals that stop the process or reload its settings.

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

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

/// Waits for SIGHUP, which requests a reload of the settings. Logs an error and never returns if no
/// signal handler can be installed.
pub(crate) async fn wait_for_reload_signal() {
    match Signals::new([Signal::Hup]) {
        Ok(mut signals) => {
            signals.next().await;
            log::info!("reloading settings");
        }
        Err(err) => {
            log::error!("cannot install signal handler: {err}");
            std::future::pending::<()>().await;
        }
    }
}
