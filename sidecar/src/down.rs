//! Watches for the end of the target beside this node, and for its return.
//!
//! Nothing is probed while calls succeed. The first call that fails starts a probe, which all calls
//! that the same end breaks off wait for. A target that is down is probed until it is back.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock, Weak};
use std::time::Duration;

use async_std::task;
use event_listener::Event;
use fescuestack_core::RequestFingerprint;
use fescuestack_http::{lock, wall_time};
use fescuestack_routing::{FailureStep, OutageChange, OutageNotice, OutageTracker};
use futures_lite::future;
use rustc_hash::FxHashMap;

use crate::target::LocalTarget;

/// Delay of a second probe after one that has connected. When a process ends, its connections may break
/// before it stops listening.
const CONFIRMATION_DELAY: Duration = Duration::from_millis(100);

/// The target beside the node has ended or is back.
#[derive(Debug)]
pub(crate) struct OutageEvent {
    /// Id of the target: at an end, the one for which the failed call was meant, and at a return the
    /// one that is listed by then, if there is one.
    pub(crate) target: Arc<str>,
    /// Start time of the target as listed, if the listed target has this id.
    pub(crate) started_ms: Option<u64>,
    pub(crate) notice: OutageNotice,
    /// At an end, the requests that were at work.
    pub(crate) requests: Vec<RequestFingerprint>,
    /// At an end, why the probe failed.
    pub(crate) reason: String,
}

/// Notified when the target beside the node ends or is back.
pub(crate) trait OutageObserver: Send + Sync + 'static {
    fn outage_changed(&self, event: OutageEvent);
}

/// Whether the target beside this node is down, and the requests that are at work there.
pub(crate) struct OutageWatch {
    tracker: Mutex<OutageTracker>,
    /// Requests that were sent to the target, by number.
    runs: Mutex<FxHashMap<u64, RequestFingerprint>>,
    next_run: AtomicU64,
    /// Notified after each probe.
    probed: Event,
    /// Notified when the next probe is due at once.
    probe_due: Event,
    observer: OnceLock<Weak<dyn OutageObserver>>,
}

impl OutageWatch {
    pub(crate) fn new() -> Arc<OutageWatch> {
        Arc::new(OutageWatch {
            tracker: Mutex::new(OutageTracker::new(wall_time().millis())),
            runs: Mutex::default(),
            next_run: AtomicU64::new(0),
            probed: Event::new(),
            probe_due: Event::new(),
            observer: OnceLock::new(),
        })
    }

    /// Sets the observer. Only the first call has an effect.
    pub(crate) fn set_observer(&self, observer: Weak<dyn OutageObserver>) {
        self.observer.get_or_init(|| observer);
    }

    /// Whether the target is down.
    pub(crate) fn is_down(&self) -> bool {
        lock(&self.tracker).is_down()
    }

    /// Returns what the node states about the target.
    pub(crate) fn notice(&self) -> OutageNotice {
        lock(&self.tracker).notice()
    }

    /// Completes when the target is down.
    pub(crate) async fn went_down(&self) {
        loop {
            let probed = self.probed.listen();
            if self.is_down() {
                return;
            }
            probed.await;
        }
    }

    /// Probes a target that is down at once, since there is news of it.
    pub(crate) fn probe_now(&self) {
        self.probe_due.notify(usize::MAX);
    }

    /// Prepares a run of a request. It counts from [`SentRun::start`] until the result is dropped.
    pub(crate) fn prepare_run(self: &Arc<Self>, request: RequestFingerprint) -> SentRun {
        let number = self.next_run.fetch_add(1, Ordering::Relaxed);
        SentRun { watch: self.clone(), number, request }
    }

    fn sent_requests(&self) -> Vec<RequestFingerprint> {
        lock(&self.runs).values().copied().collect()
    }

    fn report(&self, event: OutageEvent) {
        if let Some(observer) = self.observer.get().and_then(Weak::upgrade) {
            observer.outage_changed(event);
        }
    }
}

/// A run of a request at the target.
pub(crate) struct SentRun {
    watch: Arc<OutageWatch>,
    number: u64,
    request: RequestFingerprint,
}

impl SentRun {
    /// Records that the request is being sent to the target.
    pub(crate) fn start(&self) {
        lock(&self.watch.runs).insert(self.number, self.request);
    }
}

impl Drop for SentRun {
    fn drop(&mut self) {
        lock(&self.watch.runs).remove(&self.number);
    }
}

/// Determines whether the target is down after a call for `id` has failed. Calls that fail at the
/// same time share one probe, and there is none while the target is known to be down.
pub(crate) async fn confirm_outage(local_target: &Arc<LocalTarget>, id: &Arc<str>) -> bool {
    let watch = &local_target.outage;
    let probed = watch.probed.listen();
    let step = lock(&watch.tracker).record_failure();
    match step {
        FailureStep::Down => return true,
        FailureStep::Probe => {
            // A task of its own: the call may be cancelled.
            task::spawn(probe_until_up(Arc::downgrade(local_target), id.clone()));
        }
        FailureStep::Wait => (),
    }
    probed.await;
    watch.is_down()
}

/// Probes the target until it is up, and reports its changes. A probe opens a connection and sends
/// nothing.
async fn probe_until_up(local_target: Weak<LocalTarget>, id: Arc<str>) {
    // Requests that were at work when the first probe connected.
    let mut suspects: Option<Vec<_>> = None;
    loop {
        let Some(local_target) = local_target.upgrade() else { return };
        let watch = local_target.outage.clone();
        let reason = local_target.probe_connection().await.err().map(|err| err.to_string());
        let listed = local_target.listed();
        let (change, notice, delay) = {
            let mut tracker = lock(&watch.tracker);
            let change = tracker.record_probe(reason.is_none());
            (change, tracker.notice(), tracker.probe_delay())
        };
        if let Some(change) = change {
            let (listed, requests) = match change {
                OutageChange::Ended => {
                    let mut requests = watch.sent_requests();
                    requests.extend(suspects.iter().flatten());
                    (listed.filter(|(listed_id, _)| *listed_id == id), requests)
                }
                OutageChange::Back => (listed, Vec::new()),
            };
            let (target, started_ms) = match listed {
                Some((target, started_ms)) => (target, Some(started_ms)),
                None => (id.clone(), None),
            };
            let reason = reason.unwrap_or_default();
            watch.report(OutageEvent { target, started_ms, notice, requests, reason });
        }
        let sent_requests = watch.sent_requests();
        watch.probed.notify(usize::MAX);
        drop(local_target);
        let delay = match delay {
            Some(delay) => Duration::from_millis(delay.millis()),
            None if change.is_none() && suspects.is_none() => {
                suspects = Some(sent_requests);
                CONFIRMATION_DELAY
            }
            None => return,
        };
        let probe_due = watch.probe_due.listen();
        let delay = task::sleep(delay);
        future::or(delay, probe_due).await;
    }
}
