//! Stand-ins of external systems as separate processes, for tests with several processes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use clap::Subcommand;
use fescuestack_core::HEAD_KEY;
use fescuestack_questionnaire::Artefact;
use fescuestack_standins::{PlatformStandin, RequestLedger, UpstreamSettings, UpstreamStandin};
use serde::Deserialize;

use crate::cli::fail;
use crate::output::print_line;
use crate::signals::wait_for_stop_signal;

/// Interval at which the platform stand-in checks the artefact file for changes.
const RELOAD_INTERVAL: Duration = Duration::from_millis(200);

/// Stand-in to run.
#[derive(Debug, Subcommand)]
pub(crate) enum StandinCommand {
    /// Configuration service of the platform. Publishes an artefact file and each later change of it.
    Platform {
        /// Address to listen on.
        #[arg(long)]
        listen: SocketAddr,
        /// Artefact written by `questionnaire accept`. The file may appear later.
        #[arg(long)]
        artefact: PathBuf,
        /// JSON object with additional values by key, such as VM lists.
        #[arg(long)]
        values: Option<PathBuf>,
    },
    /// An upstream. Prints its request ledger as JSON on exit.
    Upstream {
        /// Name of the target.
        #[arg(long)]
        name: String,
        /// Address to listen on.
        #[arg(long)]
        listen: SocketAddr,
        /// Seed of the service times.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

#[derive(Debug, Deserialize)]
#[serde(transparent)]
struct ValueFile(BTreeMap<String, String>);

impl StandinCommand {
    /// Runs the stand-in until SIGTERM or SIGINT arrives.
    pub(crate) fn run(self) -> ExitCode {
        let _logger = match crate::logging::start_logging("warn", crate::logging::LogStream::Errors)
        {
            Ok(handle) => handle,
            Err(err) => return fail(&err),
        };
        let ran = match self {
            StandinCommand::Platform { listen, artefact, values } => {
                task::block_on(run_platform(listen, &artefact, values.as_deref()))
            }
            StandinCommand::Upstream { name, listen, seed } => {
                task::block_on(run_upstream(&name, listen, seed))
            }
        };
        match ran {
            Ok(()) => ExitCode::SUCCESS,
            Err(err) => fail(&err),
        }
    }
}

async fn run_platform(
    listen: SocketAddr,
    artefact: &Path,
    values: Option<&Path>,
) -> std::io::Result<()> {
    let platform = PlatformStandin::new(listen).await?;
    if let Some(path) = values {
        let ValueFile(values) = serde_json::from_str(&std::fs::read_to_string(path)?)?;
        platform.publish(values.iter().map(|(key, content)| (key.as_str(), content.as_str())));
    }
    let path = artefact.to_owned();
    let publish_changes = async move {
        let mut published = String::new();
        loop {
            if let Ok(text) = std::fs::read_to_string(&path)
                && text != published
                && let Ok(artefact) = Artefact::parse(&text)
            {
                publish_artefact(&platform, &artefact);
                published = text;
            }
            task::sleep(RELOAD_INTERVAL).await;
        }
    };
    futures_lite::future::or(publish_changes, wait_for_stop_signal()).await;
    Ok(())
}

/// Publishes the values of an artefact. The head comes last, so that readers never see a head whose parts
/// are missing.
pub(crate) fn publish_artefact(platform: &PlatformStandin, artefact: &Artefact) {
    let values = artefact.values.iter();
    let other_values = values.clone().filter(|(key, _)| *key != HEAD_KEY);
    let head = values.filter(|(key, _)| *key == HEAD_KEY);
    platform
        .publish(other_values.chain(head).map(|(key, content)| (key.as_str(), content.as_str())));
}

async fn run_upstream(name: &str, listen: SocketAddr, seed: u64) -> std::io::Result<()> {
    let mut settings = UpstreamSettings::new(name, seed).with_warm_start();
    settings.address = listen;
    let upstream = UpstreamStandin::start(settings, Arc::new(RequestLedger::new())).await?;
    wait_for_stop_signal().await;
    upstream.drain().await;
    print_line!("{}", serde_json::to_string(&upstream.ledger().records())?);
    Ok(())
}
