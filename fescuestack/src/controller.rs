//! The control thread of a node: feeds inputs to the control state and carries out its actions.

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
use fescuestack_peers::{LinkEvent, LinkHub, LinkUsage};
use fescuestack_platform::PlatformSource;

use crate::baseline::DistributionProtocol;

/// How often the control state sees the time pass.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// How often a node that waits for it looks whether its version is the newest.
const HEAD_CHECK_INTERVAL: Duration = Duration::from_secs(10);

/// Inputs that may wait. When it is full, links hold their peers back.
const REQUEST_QUEUE_CAPACITY: usize = 1_024;

/// Something the control thread is asked or told.
pub(crate) enum ControlRequest {
    /// An input for the control state.
    Input(ControlInput),
    /// Asks for the status, as JSON.
    Status(Sender<String>),
    /// Asks for the recorded inputs, as JSON lines.
    Recording(Sender<String>),
    /// Ends the thread at once.
    Stop,
}

/// What the control thread shares with the rest of the node.
#[derive(Clone)]
pub(crate) struct ControlShared {
    /// The active snapshot.
    pub(crate) snapshot: Arc<ArcSwapOption<ConfigSnapshot>>,
    /// Traffic on the links.
    pub(crate) link_usage: Arc<LinkUsage>,
    /// Metrics of the node.
    pub(crate) metrics: Arc<NodeMetrics>,
    /// The call path, which hears of members and quarantined requests.
    pub(crate) service: Arc<CallService>,
    /// Installed versions, for measurements.
    pub(crate) install_records: Option<Sender<InstallRecord>>,
}

/// A version that became active on a node.
#[derive(Debug, Clone)]
pub(crate) struct InstallRecord {
    /// The node.
    pub(crate) node: NodeName,
    /// Start time of the node's process, which tells a restart from a going back.
    pub(crate) process_start_ms: u64,
    /// The version's number.
    pub(crate) number: u64,
    /// When it became active.
    pub(crate) at: Instant,
}

/// Wall-clock time as the decisions see it.
pub(crate) fn wall_clock() -> ClockTime {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    ClockTime::new(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}

/// Drives a control state.
pub(crate) struct ControlDriver<S: PlatformSource> {
    protocol: DistributionProtocol,
    recorder: ControlRecorder,
    links: LinkHub,
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

/// Creates the channel on which the control thread is asked and told.
pub(crate) fn control_channel() -> (Sender<ControlRequest>, Receiver<ControlRequest>) {
    async_channel::bounded(REQUEST_QUEUE_CAPACITY)
}

impl<S: PlatformSource> ControlDriver<S> {
    /// Creates a driver that takes requests from `channel`.
    pub(crate) fn new(
        protocol: DistributionProtocol,
        recorder: ControlRecorder,
        node: &PeerAddress,
        links: LinkHub,
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

    /// Runs until a stop is requested. Blocks the calling thread.
    pub(crate) fn run(mut self, events: Receiver<LinkEvent>) {
        let request_sender = self.request_sender.clone();
        task::spawn(forward_link_events(events, request_sender));
        task::block_on(async move {
            let mut next_tick = Instant::now();
            loop {
                // Checked before each input, so that a steady flow of inputs cannot hold ticks up.
                let now = Instant::now();
                if now >= next_tick {
                    next_tick = now + TICK_INTERVAL;
                    self.handle(ControlInput::Tick);
                    self.links.close_idle(now);
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
            // The receiver is gone when a measurement is over.
            let _ = install_records.try_send(record);
        }
    }

    /// Reads the head when keys of a removed target wait to hear that the active version is the newest.
    /// That is about one call for each target of a service from which a target was removed.
    fn check_head(&mut self, now: Instant) {
        if now < self.next_head_check {
            return;
        }
        self.next_head_check = now + HEAD_CHECK_INTERVAL;
        let Some(seen) = self.protocol.seen() else { return };
        let (source, shared) = (self.source.clone(), self.shared.clone());
        // In a task, because the control thread takes no lock of the call path that it can avoid.
        task::spawn(async move {
            if !shared.service.wants_current() {
                return;
            }
            let Ok(ReadAnswer::Found(value)) = logged(source.read(HEAD_KEY).await) else { return };
            let Ok(head) = serde_json::from_str::<HeadRecord>(&value.content) else { return };
            let active = shared.snapshot.load().as_ref().map(|snapshot| snapshot.version());
            // A platform that has gone back may name the active version although nodes know a newer one.
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

    fn record_traffic(&mut self) {
        let sent = self.shared.link_usage.sent_bytes();
        let received = self.shared.link_usage.received_bytes();
        self.shared.metrics.record_control_bytes("sent", sent - self.recorded_bytes.0);
        self.shared.metrics.record_control_bytes("received", received - self.recorded_bytes.1);
        self.recorded_bytes = (sent, received);
    }
}

/// Logs a fault of the platform. Control backs off after each, so that the lines stay few.
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
