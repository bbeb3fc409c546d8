//! Follows the platform's store and puts what it holds into effect.

use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_std::task;
use fescuestack_core::{ClockSpan, ClockTime};
use fescuestack_http::{lock, within};
use fescuestack_platform::{
    CONFIG_KEY, StoreClient, StoreError, StoreEvent, TARGET_PREFIX, decode_config, decode_target,
    target_id,
};
use fescuestack_routing::{RetryAllowance, SourceSelector, TargetRegistry, ViewChange, ViewSource};
use futures_lite::future;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rustc_hash::FxHashSet;

use crate::node::NodeState;
use crate::note::SyncNote;
use crate::sync::{SyncAnswer, SyncItem, ask_sync};

/// How long a watch waits. A connection that has gone silent is noticed after it, and a version has to
/// be in force on all nodes within 2 s of its acknowledgement.
const WATCH_WAIT: ClockSpan = ClockSpan::new(1_000);

/// How much later than its wait a watch is taken for lost, so that the store is asked on another
/// connection. The store answers within 10 ms while it is healthy.
const WATCH_HEDGE: ClockSpan = ClockSpan::new(150);

/// How long the first watch after a failure waits. The store may well fail again.
const WATCH_FIRST: ClockSpan = ClockSpan::new(500);

/// How long a watch waits while no other VM of the data centre is known. All nodes start at once then,
/// and each has to ask the store itself; the first entry ends the wait. A connection to the store that has
/// gone silent is noticed after it.
const WATCH_ALONE: ClockSpan = ClockSpan::new(3_000);

/// How long a node that is followed may take to answer when nothing changes.
const FOLLOW_WAIT: ClockSpan = ClockSpan::new(500);

/// How much longer the answer may take. After it, another node is followed; the sum stays well
/// below the 2 s in which a configuration has to be in force.
const FOLLOW_SLACK: Duration = Duration::from_millis(400);

/// Pause after a change, in which changes that follow closely are collected into one call. In a large
/// fleet there is always another one, so that this is the period of the readers' calls.
const MERGE_PAUSE: Duration = Duration::from_millis(400);

/// First pause after a failed read.
const RETRY_FIRST: Duration = Duration::from_millis(100);

/// Longest pause after a failed read. The configuration has to be in force within 2 s of its
/// acknowledgement once the store can be reached.
const RETRY_LAST: Duration = Duration::from_millis(800);

/// How long the store may be out of reach before other nodes are asked.
const ASK_AFTER: ClockSpan = ClockSpan::new(400);

/// How often other nodes are asked.
const ASK_PERIOD: Duration = Duration::from_millis(500);

/// How long entries that vanished while the store was away may take to come back.
const LAPSE_SPAN: ClockSpan = ClockSpan::new(2_000);

/// After this time without news, the store is read whole. A watch brings each version that was missed,
/// which a link of a few Mbit/s does not carry within the time of a read.
const RELIST_AFTER: ClockSpan = ClockSpan::new(2_000);

/// How long the store has to be out of reach for its entries to lapse.
const AWAY_MIN: ClockSpan = ClockSpan::new(1_000);

/// All keys of the store: the operators' configuration and the targets.
const ALL_KEYS: &str = "";

/// Follows the store.
pub(crate) struct StoreFollower {
    state: Arc<NodeState>,
    client: StoreClient,
    registry: TargetRegistry,
    random: Pcg32,
    /// When the store answered last.
    answered: Option<ClockTime>,
    readers: SourceSelector,
    /// Digest of the sizes that the node knew which was followed last.
    heard: u64,
    source: ViewSource,
    /// Whether the view was read whole once, so that changes suffice.
    listed: bool,
    /// When the store was found to be out of reach, if it is.
    lost: Option<ClockTime>,
    /// How long the next watch waits.
    wait: ClockSpan,
}

impl StoreFollower {
    pub(crate) fn new(state: Arc<NodeState>) -> StoreFollower {
        let client = StoreClient::new(state.settings.load().store);
        let own = state.settings.load().target.ip();
        lock(&state.sizes).set(own, state.is_small());
        StoreFollower {
            random: Pcg32::seed_from_u64(
                state.clock.origin().millis() ^ u64::from(state.split_offset),
            ),
            client,
            registry: TargetRegistry::new(),
            answered: None,
            readers: SourceSelector::new(own),
            heard: 0,
            source: ViewSource::Store,
            listed: false,
            lost: None,
            wait: WATCH_FIRST,
            state,
        }
    }

    /// Follows the store until the future is dropped.
    pub(crate) async fn run(mut self) {
        let mut pause = RETRY_FIRST;
        loop {
            self.choose_source();
            self.sweep();
            if let ViewSource::Node(vm) = self.source {
                self.follow_node(vm).await;
                continue;
            }
            self.state.store_calls.store(self.client.calls(), Ordering::Relaxed);
            let result = if self.can_watch() { self.watch().await } else { self.list().await };
            match result {
                Ok(()) => {
                    self.listed = true;
                    pause = RETRY_FIRST;
                }
                Err(StoreError::Compacted) => {
                    log::info!("708 the store has dropped its history, reading it anew");
                    self.note_answer();
                    self.listed = false;
                }
                Err(err) => {
                    self.note_failure(&err);
                    self.bridge(pause).await;
                    pause = (pause * 2).min(RETRY_LAST);
                }
            }
        }
    }

    /// Whether the changes since the last news are few.
    fn can_watch(&self) -> bool {
        let now = self.state.clock.now();
        self.listed && self.answered.is_some_and(|at| now.since(at) < RELIST_AFTER)
    }

    /// Decides whether this node reads the store or follows another node of its data centre.
    fn choose_source(&mut self) {
        let settings = self.state.settings.load();
        let own = settings.target.ip();
        let near = self.registry.iter().filter(|entry| *entry.data_centre == *settings.data_centre);
        let vms: FxHashSet<IpAddr> = near.map(|entry| entry.address.ip()).collect();
        let source = {
            let mut sizes = lock(&self.state.sizes);
            sizes.retain(|vm| vm == own || vms.contains(&vm));
            match self.listed {
                true => self.readers.select(self.state.clock.now(), vms.into_iter(), &sizes),
                false => ViewSource::Store,
            }
        };
        if source != self.source {
            log::info!(source = format!("{source:?}").as_str(); "source of the store's content");
            self.source = source;
            // A watch on a connection that was unused for long may take long to fail.
            self.wait = WATCH_FIRST;
        }
        if let ViewSource::Node(_) = source {
            self.state.set_reading(false);
        }
    }

    /// Takes over what another node has read. One that cannot be followed is passed over.
    async fn follow_node(&mut self, vm: IpAddr) {
        let note = self.sync_note(FOLLOW_WAIT);
        let sizes = match self.heard == note.sizes {
            true => Vec::new(),
            false => lock(&self.state.sizes).iter().collect(),
        };
        let limit = Duration::from_millis(FOLLOW_WAIT.millis()) + FOLLOW_SLACK;
        let answer = within(limit, ask_sync(&self.state, vm, true, note, sizes)).await.flatten();
        self.heard = answer.as_ref().map_or(0, |answer| answer.digest);
        let age = answer.as_ref().and_then(|answer| answer.age);
        if let Some(answer) = answer {
            self.take_over(answer);
        }
        match age {
            Some(age) => {
                self.lost = None;
                self.answered = Some(self.state.clock.now());
                self.state.confirm_view(ClockSpan::new(age));
            }
            None => self.readers.exclude(self.state.clock.now(), vm),
        }
    }

    /// Exchanges sizes with a VM whose size is not known. A node that reads the store asks no other
    /// one, so that nobody would learn of it.
    fn meet_unknown(&mut self) {
        let settings = self.state.settings.load();
        let unknown: Vec<_> = {
            let sizes = lock(&self.state.sizes);
            let near =
                self.registry.iter().filter(|entry| *entry.data_centre == *settings.data_centre);
            let vms = near.map(|entry| entry.address.ip());
            vms.filter(|vm| !sizes.contains(*vm)).collect()
        };
        let index = (self.random.random::<f64>() * unknown.len() as f64) as usize;
        let Some(vm) = unknown.get(index).copied() else { return };
        let note = self.sync_note(ClockSpan::ZERO);
        let (state, sizes) = (self.state.clone(), lock(&self.state.sizes).iter().collect());
        task::spawn(async move {
            let asked = within(ASK_PERIOD, ask_sync(&state, vm, true, note, sizes)).await;
            if let Some(Some(answer)) = asked {
                lock(&state.sizes).merge(answer.sizes);
            }
        });
    }

    fn sync_note(&self, wait: ClockSpan) -> SyncNote {
        SyncNote {
            after: lock(&self.state.view).revision(),
            wait: wait.millis(),
            vm: self.state.settings.load().target.ip(),
            small: self.state.is_small(),
            sizes: lock(&self.state.sizes).digest(),
        }
    }

    async fn list(&mut self) -> Result<(), StoreError> {
        let listing = self.client.list(ALL_KEYS).await?;
        self.note_answer();
        let items = listing.items.into_iter().map(|(key, item)| (key, Some(item))).collect();
        let changes = lock(&self.state.view).replace(listing.revision, items);
        self.apply(changes);
        Ok(())
    }

    async fn watch(&mut self) -> Result<(), StoreError> {
        let after = lock(&self.state.view).revision();
        let wait = if self.is_alone() { WATCH_ALONE } else { self.wait };
        let watch = self.client.watch(ALL_KEYS, after, wait);
        let hedge = async {
            task::sleep(Duration::from_millis((wait + WATCH_HEDGE).millis())).await;
            log::debug!(revision = after; "watch is late, asking the store again");
            self.client.watch(ALL_KEYS, after, ClockSpan::ZERO).await
        };
        let (events, at) = future::or(watch, hedge).await?;
        self.note_answer();
        self.wait = (self.wait + self.wait).min(WATCH_WAIT);
        let changes = {
            let mut view = lock(&self.state.view);
            let mut changes = Vec::new();
            for event in events {
                changes.extend(match event {
                    StoreEvent::Written(key, item) => view.write(&key, item),
                    StoreEvent::Removed(key, revision) => view.remove(&key, revision),
                });
            }
            view.advance(at);
            changes
        };
        let changed = !changes.is_empty();
        self.apply(changes);
        if changed {
            task::sleep(MERGE_PAUSE).await;
        } else {
            // The nodes of new VMs have started by now; one that has not would count as lost.
            self.meet_unknown();
        }
        Ok(())
    }

    /// Whether no other VM of the data centre is known.
    fn is_alone(&self) -> bool {
        let settings = self.state.settings.load();
        let own = settings.target.ip();
        !self
            .registry
            .iter()
            .any(|entry| *entry.data_centre == *settings.data_centre && entry.address.ip() != own)
    }

    fn note_answer(&mut self) {
        let now = self.state.clock.now();
        if let Some(lost) = self.lost.take() {
            let away = now.since(lost);
            if away >= AWAY_MIN {
                self.state.extend_lapse(now + LAPSE_SPAN);
            }
            log::info!(away_ms = away.millis(); "store regained");
        }
        self.answered = Some(now);
        self.state.set_reading(true);
    }

    fn note_failure(&mut self, err: &StoreError) {
        self.wait = WATCH_FIRST;
        self.state.lose_store();
        if self.lost.is_none() {
            self.lost = Some(self.state.clock.now());
            log::warn!("store lost: {err}");
        }
    }

    /// Waits before the next read. Meanwhile other nodes may know more.
    async fn bridge(&mut self, pause: Duration) {
        let jitter = 0.75 + self.random.random::<f64>() / 2.0;
        task::sleep(pause.mul_f64(jitter)).await;
        let now = self.state.clock.now();
        if self.lost.is_some_and(|lost| now.since(lost) < ASK_AFTER) {
            return;
        }
        let Some(vm) = self.random_node() else { return };
        let note = self.sync_note(ClockSpan::ZERO);
        let asked = within(ASK_PERIOD, ask_sync(&self.state, vm, false, note, Vec::new())).await;
        if let Some(Some(answer)) = asked {
            self.take_over(answer);
        }
    }

    fn take_over(&mut self, answer: SyncAnswer) {
        self.state.extend_lapse(self.state.clock.now() + ClockSpan::new(answer.lapse));
        lock(&self.state.sizes).merge(answer.sizes);
        let Some(items) = answer.items else { return };
        let at = answer.at;
        let changes = {
            let mut view = lock(&self.state.view);
            if at <= view.revision() {
                return;
            }
            view.replace(at, items.into_iter().map(SyncItem::into_item).collect())
        };
        self.listed = true;
        log::debug!(revision = at, changes = changes.len(); "store content learned from a node");
        self.apply(changes);
    }

    /// A node that may know more: of the own data centre in three of four cases.
    fn random_node(&mut self) -> Option<IpAddr> {
        let settings = self.state.settings.load();
        let near = self.random.random::<f64>() < 0.75;
        let own = settings.target.ip();
        let listed = |near: bool| {
            let entries = self.registry.iter().filter(|entry| entry.address.ip() != own);
            let entries =
                entries.filter(|entry| !near || *entry.data_centre == *settings.data_centre);
            entries.map(|entry| entry.address.ip()).collect::<Vec<_>>()
        };
        let mut nodes = listed(near);
        if nodes.is_empty() {
            nodes = listed(false);
        }
        if nodes.is_empty() {
            nodes = settings.seeds.iter().copied().filter(|seed| *seed != own).collect();
        }
        let index = (self.random.random::<f64>() * nodes.len() as f64) as usize;
        nodes.get(index).copied()
    }

    fn apply(&mut self, changes: Vec<ViewChange>) {
        if changes.is_empty() {
            return;
        }
        self.state.view_changed.notify(usize::MAX);
        for change in changes {
            match change {
                ViewChange::Written(key) if *key == *CONFIG_KEY => self.apply_config(),
                ViewChange::Written(key) if key.starts_with(TARGET_PREFIX) => {
                    self.apply_target(&key);
                }
                ViewChange::Removed(key) if key.starts_with(TARGET_PREFIX) => {
                    self.remove_target(&key);
                }
                ViewChange::Written(key) | ViewChange::Removed(key) => {
                    log::debug!(key = &*key; "key without a meaning here");
                }
            }
        }
        self.update_target();
    }

    fn apply_config(&self) {
        let Some(item) = lock(&self.state.view).get(CONFIG_KEY).cloned() else { return };
        let routes = match decode_config(&item.value) {
            Ok(routes) => routes,
            Err(err) => {
                log::warn!(revision = item.revision; "configuration refused: {err}");
                return;
            }
        };
        let active = self.state.routes.load().as_ref().map_or(0, |routes| routes.version);
        if routes.version <= active {
            log::warn!(version = routes.version, active = active; "older configuration ignored");
            return;
        }
        log::info!(version = routes.version, routes = routes.route_count(),
            revision = item.revision; "configuration in force");
        self.state.routes.store(Some(Arc::new(routes)));
    }

    fn apply_target(&mut self, key: &str) {
        let Some(id) = target_id(key) else { return };
        let Some(item) = lock(&self.state.view).get(key).cloned() else { return };
        let entry = match decode_target(id, item.revision, &item.value) {
            Ok(entry) => entry,
            Err(err) => {
                log::warn!(target = id, revision = item.revision; "entry ignored: {err}");
                return;
            }
        };
        let now = self.state.clock.now();
        let vm = entry.address.ip();
        if self.registry.get(id).is_none() && !self.state.is_own(vm) {
            // The address may have belonged to a VM of another size.
            lock(&self.state.sizes).remove(vm);
        }
        if self.registry.insert(entry.clone()) {
            log::info!(target = id, service = &*entry.service, state = format!("{:?}", entry.state).as_str(),
                revision = item.revision; "target listed");
            lock(&self.state.routing).picker.insert(now, &entry);
        }
    }

    fn remove_target(&mut self, key: &str) {
        let Some(id) = target_id(key) else { return };
        let until = self.state.lapse_until();
        if self.state.clock.now() < until {
            self.registry.expire_at(id, until);
            return;
        }
        if self.registry.remove(id).is_some() {
            self.forget(id);
        }
    }

    fn sweep(&mut self) {
        let now = self.state.clock.now();
        let gone = self.registry.remove_expired(now);
        for entry in &gone {
            self.forget(&entry.id);
        }
        if !gone.is_empty() {
            self.update_target();
        }
    }

    fn forget(&self, id: &str) {
        log::info!(target = id; "target gone");
        lock(&self.state.routing).picker.remove(id);
    }

    /// Tells the target's side what is listed at its address.
    fn update_target(&self) {
        let settings = self.state.settings.load();
        let entry = self.registry.find_by_address(settings.target);
        self.state.target.update(settings.target, entry);
        let (ratio, slack) = (settings.retry_budget_ratio, settings.retry_budget_slack);
        lock(&self.state.routing).allowance =
            RetryAllowance::new(ratio, slack, self.registry.len());
    }
}
