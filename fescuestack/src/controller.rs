//! Control thread of a node: passes inputs to the control state and executes the resulting actions.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwapOption;
use async_channel::{Receiver, Sender};
use async_std::task;
use fescuestack_callers::CallService;
use fescuestack_core::{
    ClockTime, ConfigSnapshot, ControlAction, ControlInput, ControlRecorder, HEAD_KEY, HeadRecord,
    MemberState, NodeName, PeerAddress, PlatformFault, ReadAnswer, TargetLiveness,
};
use fescuestack_operators::NodeMetrics;
use fescuestack_peers::{LinkCounters, LinkEvent, LinkPool};
use fescuestack_platform::PlatformSource;

use crate::baseline::DistributionProtocol;

/// Interval between ticks of the control state.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which a node reads the head while calls wait for confirmation that its version is the
/// newest.
const HEAD_CHECK_INTERVAL: Duration = Duration::from_secs(10);

/// Capacity of the request queue. When it is full, links apply backpressure to their peers.
const REQUEST_QUEUE_CAPACITY: usize = 1_024;

/// Request to the control thread.
pub(crate) enum ControlRequest {
    /// Passes an input to the control state.
    Input(ControlInput),
    /// Requests the status as JSON.
    Status(Sender<String>),
    /// Requests the recorded inputs in JSON Lines format.
    Recording(Sender<String>),
    /// Ends the thread. Later requests are not handled.
    Stop,
}

/// State that the control thread shares with other parts of the node.
#[derive(Clone)]
pub(crate) struct ControlShared {
    /// The active snapshot.
    pub(crate) snapshot: Arc<ArcSwapOption<ConfigSnapshot>>,
    /// Traffic counters of the links.
    pub(crate) link_usage: Arc<LinkCounters>,
    /// Metrics of the node.
    pub(crate) metrics: Arc<NodeMetrics>,
    /// Call service, which is notified of member states and quarantined requests.
    pub(crate) service: Arc<CallService>,
    /// Receives a record for each installed version, for measurements.
    pub(crate) install_records: Option<Sender<InstallRecord>>,
}

/// A version that became active on a node.
#[derive(Debug, Clone)]
pub(crate) struct InstallRecord {
    /// Name of the node.
    pub(crate) node: NodeName,
    /// Start time of the node. Distinguishes a restart, after which versions may repeat, from a regression
    /// to an older version.
    pub(crate) process_start_ms: u64,
    /// Number of the version.
    pub(crate) number: u64,
    /// Time at which the version became active.
    pub(crate) at: Instant,
}

/// Returns the current wall-clock time in the resolution that control decisions use.
pub(crate) fn wall_clock() -> ClockTime {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    ClockTime::new(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}

/// Event loop of the control thread.
pub(crate) struct ControlDriver<S: PlatformSource> {
    protocol: DistributionProtocol,
    recorder: ControlRecorder,
    links: LinkPool,
    source: S,
    requests: Receiver<ControlRequest>,
    request_sender: Sender<ControlRequest>,
    shared: ControlShared,
    vm_list_key: String,
    node: NodeName,
    process_start_ms: u64,
    recorded_bytes: (u64, u64),
    next_head_check: Instant,
}

/// Creates the request channel of the control thread.
pub(crate) fn control_channel() -> (Sender<ControlRequest>, Receiver<ControlRequest>) {
    async_channel::bounded(REQUEST_QUEUE_CAPACITY)
}

impl<S: PlatformSource> ControlDriver<S> {
    /// Creates a driver that takes requests from `channel`.
    pub(crate) fn new(
        protocol: DistributionProtocol,
        recorder: ControlRecorder,
        node: &PeerAddress,
        links: LinkPool,
        source: S,
        channel: (Sender<ControlRequest>, Receiver<ControlRequest>),
        shared: ControlShared,
    ) -> ControlDriver<S> {
        let vm_list_key = format!("vms/{}", node.data_centre);
        let (request_sender, requests) = channel;
        let process_start_ms = wall_clock().millis();
        let node = node.name.clone();
        ControlDriver {
            protocol,
            recorder,
            links,
            source,
            requests,
            request_sender,
            shared,
            vm_list_key,
            node,
            process_start_ms,
            recorded_bytes: (0, 0),
            next_head_check: Instant::now() + HEAD_CHECK_INTERVAL,
        }
    }

    /// Runs the event loop until a stop is requested. Blocks the calling thread.
    pub(crate) fn run(mut self, events: Receiver<LinkEvent>) {
        let request_sender = self.request_sender.clone();
        task::spawn(forward_link_events(events, request_sender));
        task::block_on(async move {
            let mut next_tick = Instant::now();
            loop {
                // Checked before each input, so that a continuous stream of inputs cannot delay ticks.
                let now = Instant::now();
                if now >= next_tick {
                    next_tick = now + TICK_INTERVAL;
                    self.handle(ControlInput::Tick);
                    self.links.close_idle_links(now);
                    self.check_head(now);
                    self.record_traffic();
                }
                let wait = next_tick.saturating_duration_since(now);
                match async_std::future::timeout(wait, self.requests.recv()).await {
                    Ok(Ok(ControlRequest::Input(input))) => self.handle(input),
                    Ok(Ok(ControlRequest::Status(answer))) => {
                        let _ = answer.try_send(self.status());
                    }
                    Ok(Ok(ControlRequest::Recording(answer))) => {
                        let _ = answer.try_send(self.recording());
                    }
                    Ok(Ok(ControlRequest::Stop) | Err(_)) => return,
                    Err(_) => (),
                }
            }
        });
    }

    fn status(&self) -> String {
        self.protocol.status()
    }

    fn recording(&self) -> String {
        let lines: Vec<String> = self.recorder.lines().collect();
        lines.join("\n")
    }

    fn handle(&mut self, input: ControlInput) {
        let now = wall_clock();
        let recorded = input.clone();
        let mut actions = Vec::new();
        self.protocol.handle(now, input, &mut actions);
        self.recorder.record(now, recorded, &actions);
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: ControlAction) {
        match action {
            ControlAction::Send { to, message } => self.links.send(&to, &message),
            ControlAction::ResetLink { peer } => self.links.reset(&peer),
            ControlAction::Install(snapshot) => self.install(snapshot),
            ControlAction::Liveness { name, state } => {
                log::info!(member = &*name, state:? = state; "member changed");
                self.shared.service.set_liveness(&name, target_liveness(state));
            }
            ControlAction::Quarantine { fingerprints } => {
                log::info!(fingerprints = fingerprints.len(); "quarantine list changed");
                self.shared.service.install_quarantine(&fingerprints);
            }
            ControlAction::WatchHead { after } => {
                let source = self.source.clone();
                self.spawn_read(async move {
                    ControlInput::HeadRead { result: logged(source.watch(HEAD_KEY, after).await) }
                });
            }
            ControlAction::WatchVms { after } => {
                let source = self.source.clone();
                let key = self.vm_list_key.clone();
                self.spawn_read(async move {
                    ControlInput::VmsRead { result: logged(source.watch(&key, after).await) }
                });
            }
            ControlAction::ReadValue { key } => {
                let source = self.source.clone();
                self.spawn_read(async move {
                    let result = logged(source.read(&key).await);
                    ControlInput::ValueRead { key, result }
                });
            }
        }
    }

    fn install(&mut self, snapshot: Arc<ConfigSnapshot>) {
        let version = snapshot.version();
        log::info!(version = version.to_string(), services = snapshot.services().count(); "version installed");
        self.shared.snapshot.store(Some(snapshot));
        self.shared.metrics.record_installed_version();
        if let Some(install_records) = &self.shared.install_records {
            let record = InstallRecord {
                node: self.node.clone(),
                process_start_ms: self.process_start_ms,
                number: version.number,
                at: Instant::now(),
            };
            // Fails once the measurement has ended and dropped the receiver.
            let _ = install_records.try_send(record);
        }
    }

    /// Reads the head if keys of a removed target wait for confirmation that the active version is the
    /// newest. This costs about one platform call per target of a service that lost a target.
    fn check_head(&mut self, now: Instant) {
        if now < self.next_head_check {
            return;
        }
        self.next_head_check = now + HEAD_CHECK_INTERVAL;
        let Some(seen) = self.protocol.seen() else { return };
        let (source, shared) = (self.source.clone(), self.shared.clone());
        // Runs in a separate task to keep the control thread off the locks of the call path.
        task::spawn(async move {
            if !shared.service.wants_current() {
                return;
            }
            let Ok(ReadAnswer::Found(value)) = logged(source.read(HEAD_KEY).await) else { return };
            let Ok(head) = serde_json::from_str::<HeadRecord>(&value.content) else { return };
            let active = shared.snapshot.load().as_ref().map(|snapshot| snapshot.version());
            // A platform that was rolled back may report the active version although nodes have seen a
            // newer one.
            if active == Some(head.version) && head.version >= seen {
                shared.service.note_current();
            }
        });
    }

    fn spawn_read(&self, read: impl Future<Output = ControlInput> + Send + 'static) {
        let request_sender = self.request_sender.clone();
        task::spawn(async move {
            let _ = request_sender.send(ControlRequest::Input(read.await)).await;
        });
    }

    /// Adds the control traffic since the last tick to the metrics.
    fn record_traffic(&mut self) {
        let sent = self.shared.link_usage.sent_bytes();
        let received = self.shared.link_usage.received_bytes();
        self.shared.metrics.record_control_bytes("sent", sent - self.recorded_bytes.0);
        self.shared.metrics.record_control_bytes("received", received - self.recorded_bytes.1);
        self.recorded_bytes = (sent, received);
    }
}

/// Logs a failed platform read. The control state backs off after each failure, which limits the number
/// of lines.
fn logged(result: Result<ReadAnswer, PlatformFault>) -> Result<ReadAnswer, PlatformFault> {
    if let Err(fault) = &result {
        log::warn!(code = fault.number(), fault:? = fault; "platform read failed");
    }
    result
}

fn target_liveness(state: MemberState) -> TargetLiveness {
    match state {
        MemberState::Alive => TargetLiveness::Alive,
        MemberState::Suspect => TargetLiveness::Suspect,
        MemberState::Dead => TargetLiveness::Dead,
        MemberState::Left => TargetLiveness::Leaving,
    }
}

async fn forward_link_events(events: Receiver<LinkEvent>, request_sender: Sender<ControlRequest>) {
    while let Ok(event) = events.recv().await {
        let input = match event {
            LinkEvent::Message { from, message } => ControlInput::Peer { from, message: *message },
            LinkEvent::Lost { peer } => ControlInput::LinkLost { peer },
        };
        if request_sender.send(ControlRequest::Input(input)).await.is_err() {
            return;
        }
    }
}
