//! Signals that ask the process to stop.

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

/// Waits for SIGTERM or SIGINT. Returns at once when signals cannot be listened to, which is logged.
pub(crate) async fn wait_for_stop_signal() {
    match Signals::new([Signal::Term, Signal::Int]) {
        Ok(mut signals) => {
            signals.next().await;
        }
        Err(err) => log::error!("cannot listen to signals: {err}"),
    }
}

/// Waits for SIGHUP, after which the settings are read again. Never returns when signals cannot be
/// listened to, which is logged.
pub(crate) async fn wait_for_reload_signal() {
    match Signals::new([Signal::Hup]) {
        Ok(mut signals) => {
            signals.next().await;
            log::info!("settings are read again");
        }
        Err(err) => {
            log::error!("cannot listen to signals: {err}");
            std::future::pending::<()>().await;
        }
    }
}
