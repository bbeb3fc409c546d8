//! Follows the platform's store and applies its content.

use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_std::task;
use fescuestack_core::{ClockSpan, ClockTime};
use fescuestack_http::{lock, within};
use fescuestack_platform::{
    CONFIG_KEY, EVACUATION_PREFIX, StoreClient, StoreError, StoreEvent, TARGET_PREFIX,
    decode_target, evacuated_data_centre, evacuation_key, target_id,
};
use fescuestack_routing::{
    EvacuationSet, RetryAllowance, SourceSelector, StorePosition, StoredItem, TargetRegistry,
    ViewChange, ViewSource,
};
use futures_lite::future;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rustc_hash::FxHashSet;

use crate::node::NodeState;
use crate::note::SyncNote;
use crate::sync::{SyncAnswer, SyncItem, request_sync};

/// Longest timeout of a watch. A dead connection is detected after it, and a version has to be
/// active on all nodes within 2 s of its acknowledgement.
const MAX_WATCH_TIMEOUT: ClockSpan = ClockSpan::new(1_000);

/// How long after its timeout a watch counts as lost, so that the store is queried on another
/// connection. A healthy store responds within 10 ms.
const WATCH_HEDGE_DELAY: ClockSpan = ClockSpan::new(150);

/// Timeout of the first watch after a failure, since the store may fail again.
const FIRST_WATCH_TIMEOUT: ClockSpan = ClockSpan::new(500);

/// Timeout of a watch while no other VM of the data centre is known. All nodes start at once then,
/// and each has to query the store itself; the first entry ends the watch. A dead connection to the
/// store is detected after this time. With the delays before and after, that takes less than the 3 s
/// after which a node has to be up to date again.
const LONE_WATCH_TIMEOUT: ClockSpan = ClockSpan::new(2_200);

/// How long a followed node may delay its response when nothing changes.
const FOLLOW_TIMEOUT: ClockSpan = ClockSpan::new(500);

/// How much longer the response may take before another node is followed. The sum stays well below
/// the 2 s in which a configuration has to be active.
const FOLLOW_MARGIN: Duration = Duration::from_millis(400);

/// Delay after a change, in which further changes are collected for the next request. Large fleets
/// change all the time, so that this is the period of the readers' requests there.
const BATCH_DELAY: ClockSpan = ClockSpan::new(400);

/// First delay after a failed read.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Longest delay after a failed read. The configuration has to be active within 2 s of its
/// acknowledgement once the store is reachable.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);

/// How long the store must be unreachable before other nodes are queried.
const PEER_SYNC_AFTER: ClockSpan = ClockSpan::new(400);

/// Timeout of a request to another node other than the followed one.
const PEER_SYNC_TIMEOUT: Duration = Duration::from_millis(500);

/// How long targets that vanished during an outage of the store are kept, since their entries may
/// return.
const REMOVAL_DELAY: ClockSpan = ClockSpan::new(2_000);

/// Time without contact after which the whole store is read. A watch sends every version that was
/// missed, which a link of a few Mbit/s cannot carry within the timeout of a read.
const RELIST_AFTER: ClockSpan = ClockSpan::new(2_000);

/// Shortest outage of the store after which removals of targets are deferred.
const MIN_OUTAGE: ClockSpan = ClockSpan::new(1_000);

/// Heartbeats of a target after which the platform has removed its entry: three, and one of margin.
const MISSED_HEARTBEATS: u64 = 4;

/// Prefix of all keys: the operators' configuration and the targets.
const ALL_KEYS: &str = "";

/// Follows the store, directly or through another node.
pub(crate) struct StoreFollower {
    state: Arc<NodeState>,
    client: StoreClient,
    registry: TargetRegistry,
    evacuations: EvacuationSet,
    rng: Pcg32,
    /// Time of the last contact with the store or with the followed node.
    last_contact: Option<ClockTime>,
    source_selector: SourceSelector,
    /// Digest of the VM sizes that the last followed node knew.
    last_sizes_digest: u64,
    source: ViewSource,
    /// Whether the whole store was read before, so that watching for changes is enough.
    has_full_view: bool,
    /// When the store became unreachable, if it is.
    unreachable_since: Option<ClockTime>,
    /// Timeout of the next watch.
    watch_timeout: ClockSpan,
}

impl StoreFollower {
    pub(crate) fn new(state: Arc<NodeState>) -> StoreFollower {
        let client = StoreClient::new(state.settings.load().store);
        let own = state.settings.load().target.ip();
        lock(&state.vm_sizes).set(own, state.is_small());
        StoreFollower {
            rng: Pcg32::seed_from_u64(
                state.clock.origin().millis() ^ u64::from(state.split_offset),
            ),
            client,
            registry: TargetRegistry::new(),
            evacuations: EvacuationSet::new(),
            last_contact: None,
            source_selector: SourceSelector::new(own),
            last_sizes_digest: 0,
            source: ViewSource::Store,
            has_full_view: false,
            unreachable_since: None,
            watch_timeout: FIRST_WATCH_TIMEOUT,
            state,
        }
    }

    /// Follows the store until the future is dropped.
    pub(crate) async fn run(mut self) {
        let mut delay = MIN_RETRY_DELAY;
        loop {
            self.choose_source();
            self.remove_expired();
            if let ViewSource::Node(vm) = self.source {
                self.follow_node(vm).await;
                if self.unreachable_since.is_none() {
                    delay = MIN_RETRY_DELAY;
                }
                continue;
            }
            self.state.store_calls.store(self.client.calls(), Ordering::Relaxed);
            let is_check = self.source_selector.is_store_check_due();
            let result = self.read_store(is_check).await;
            self.source_selector.record_store_read();
            match result {
                Ok(()) => {
                    self.has_full_view = true;
                    delay = MIN_RETRY_DELAY;
                }
                Err(err @ (StoreError::Compacted | StoreError::Restored)) if is_check => {
                    // The next source has the content; listing all keys on each follower at the
                    // same time would saturate the links of small VMs.
                    log::info!("{err}");
                }
                Err(err @ (StoreError::Compacted | StoreError::Restored)) => {
                    log::info!("{err}, reading all keys");
                    self.record_contact();
                    self.has_full_view = false;
                }
                Err(err) => {
                    self.record_failure(&err);
                    self.back_off(delay).await;
                    delay = (delay * 2).min(MAX_RETRY_DELAY);
                }
            }
        }
    }

    /// Reads the store. `is_check` asks for one read in place of an excluded source, without waiting
    /// for changes.
    async fn read_store(&mut self, is_check: bool) -> Result<(), StoreError> {
        if !self.can_watch() {
            self.list().await
        } else if is_check {
            self.check_store().await
        } else {
            self.watch().await
        }
    }

    /// Whether the last contact is so recent that few changes can have been missed.
    fn can_watch(&self) -> bool {
        let now = self.state.clock.now();
        self.has_full_view && self.last_contact.is_some_and(|at| now.since(at) < RELIST_AFTER)
    }

    /// Decides whether this node reads the store or follows another node of its data centre.
    fn choose_source(&mut self) {
        let settings = self.state.settings.load();
        let own = settings.target.ip();
        let local_targets =
            self.registry.iter().filter(|entry| *entry.data_centre == *settings.data_centre);
        let vms: FxHashSet<IpAddr> = local_targets.map(|entry| entry.address.ip()).collect();
        let source = {
            let mut sizes = lock(&self.state.vm_sizes);
            sizes.retain(|vm| vm == own || vms.contains(&vm));
            match self.has_full_view {
                true => {
                    self.source_selector.select(self.state.clock.now(), vms.into_iter(), &sizes)
                }
                false => ViewSource::Store,
            }
        };
        if source != self.source {
            log::info!(source = format!("{source:?}").as_str();
                "source of the store's content changed");
            self.source = source;
            // A watch on a connection that was idle for long may take long to fail.
            self.watch_timeout = FIRST_WATCH_TIMEOUT;
        }
        if let ViewSource::Node(_) = source {
            if self.state.is_store_reader()
                && let Some(at) = self.last_contact
            {
                // Otherwise the followers of this node drop it until it is confirmed by its source.
                self.state.confirm_view(self.state.clock.now().since(at));
            }
            self.state.set_store_reader(false);
        }
    }

    /// Applies what another node has read. A node that cannot be followed is skipped for some time.
    async fn follow_node(&mut self, vm: IpAddr) {
        let note = self.sync_note(self.until_removal(FOLLOW_TIMEOUT));
        let sizes = match self.last_sizes_digest == note.sizes {
            true => Vec::new(),
            false => lock(&self.state.vm_sizes).iter().collect(),
        };
        let timeout = Duration::from_millis(FOLLOW_TIMEOUT.millis()) + FOLLOW_MARGIN;
        let answer =
            within(timeout, request_sync(&self.state, vm, true, note, sizes)).await.flatten();
        self.last_sizes_digest = answer.as_ref().map_or(0, |answer| answer.digest);
        let age = answer.as_ref().and_then(|answer| answer.age);
        let reason = if answer.is_some() { "no contact with the store" } else { "no response" };
        if let Some(answer) = answer {
            self.apply_sync_answer(answer);
        }
        match age {
            Some(age) => {
                self.unreachable_since = None;
                self.last_contact = Some(self.state.clock.now());
                self.state.confirm_view(ClockSpan::new(age));
            }
            None => {
                log::info!(node = vm.to_string().as_str(), reason = reason,
                    silent_ms = self.silent_ms(); "followed node excluded");
                self.source_selector.exclude(self.state.clock.now(), vm);
            }
        }
    }

    /// Exchanges VM sizes with a VM of unknown size, and receives its configuration if it is newer.
    /// A node that reads the store requests nothing from other nodes, which would otherwise never
    /// learn its size.
    fn exchange_sizes(&mut self) {
        let settings = self.state.settings.load();
        let unknown_vms: Vec<_> = {
            let sizes = lock(&self.state.vm_sizes);
            let local_targets =
                self.registry.iter().filter(|entry| *entry.data_centre == *settings.data_centre);
            let vms = local_targets.map(|entry| entry.address.ip());
            vms.filter(|vm| !sizes.contains(*vm)).collect()
        };
        let index = (self.rng.random::<f64>() * unknown_vms.len() as f64) as usize;
        let Some(vm) = unknown_vms.get(index).copied() else { return };
        let note = self.sync_note(ClockSpan::ZERO);
        let (state, sizes) = (self.state.clone(), lock(&self.state.vm_sizes).iter().collect());
        task::spawn(async move {
            let reply =
                within(PEER_SYNC_TIMEOUT, request_sync(&state, vm, true, note, sizes)).await;
            if let Some(Some(answer)) = reply {
                lock(&state.vm_sizes).merge(answer.sizes);
                if let Some(value) = answer.config {
                    state.activate_config(&value.into(), answer.at.revision);
                }
            }
        });
    }

    fn sync_note(&self, wait: ClockSpan) -> SyncNote {
        SyncNote {
            after: lock(&self.state.view).position(),
            version: self.state.active_version(),
            wait: wait.millis(),
            vm: self.state.settings.load().target.ip(),
            small: self.state.is_small(),
            sizes: lock(&self.state.vm_sizes).digest(),
            wants_crashes: !self.state.has_learned_crashes(),
        }
    }

    async fn list(&mut self) -> Result<(), StoreError> {
        let listing = self.client.list(ALL_KEYS).await?;
        self.record_contact();
        let items = listing.items.into_iter().map(|(key, item)| (key, Some(item))).collect();
        let changes = self.replace_view(listing.position, items);
        log::info!(era = listing.position.era, revision = listing.position.revision,
            changes = changes.len(); "all keys read");
        self.apply(changes);
        Ok(())
    }

    /// Applies a listing of all keys to the view. Targets that are missing from the copy with which a
    /// new era begins are kept for a moment, since they write their entries again.
    fn replace_view(
        &mut self,
        position: StorePosition,
        items: Vec<(Arc<str>, Option<StoredItem>)>,
    ) -> Vec<ViewChange> {
        let known = lock(&self.state.view).position();
        if known != StorePosition::default() && position.era > known.era {
            self.state.defer_removals_until(self.state.clock.now() + REMOVAL_DELAY);
        }
        let changes = lock(&self.state.view).replace(position, items);
        if position.era != known.era {
            log::info!(era = position.era, revision = position.revision, known_era = known.era,
                known_revision = known.revision, changes = changes.len();
                "the store's content is of a new era");
            let view = lock(&self.state.view);
            let is_listed = |centre: &str| view.get(&evacuation_key(centre)).is_some();
            for centre in self.evacuations.record_restore(is_listed) {
                log::warn!(data_centre = &*centre;
                    "restored store lacks an evacuation, which is kept");
            }
        }
        changes
    }

    /// Reads the changes since the own position once, in place of a source that was excluded.
    async fn check_store(&mut self) -> Result<(), StoreError> {
        let after = lock(&self.state.view).position();
        let (events, at) = self.client.watch(ALL_KEYS, after, ClockSpan::ZERO).await?;
        self.record_contact();
        self.apply_events(events, at);
        Ok(())
    }

    async fn watch(&mut self) -> Result<(), StoreError> {
        let after = lock(&self.state.view).position();
        let timeout = if self.is_alone() { LONE_WATCH_TIMEOUT } else { self.watch_timeout };
        let timeout = self.until_removal(timeout);
        let watch = self.client.watch(ALL_KEYS, after, timeout);
        let hedge = async {
            task::sleep(Duration::from_millis((timeout + WATCH_HEDGE_DELAY).millis())).await;
            log::debug!(revision = after.revision; "watch has timed out, querying the store again");
            self.client.watch(ALL_KEYS, after, ClockSpan::ZERO).await
        };
        let (events, at) = future::or(watch, hedge).await?;
        self.record_contact();
        self.watch_timeout = (self.watch_timeout + self.watch_timeout).min(MAX_WATCH_TIMEOUT);
        if self.apply_events(events, at) {
            let delay = self.until_removal(BATCH_DELAY);
            task::sleep(Duration::from_millis(delay.millis())).await;
        } else {
            // The nodes of new VMs have started by now. A node that is queried before would count
            // as unreachable.
            self.exchange_sizes();
        }
        Ok(())
    }

    /// Applies the changes up to the position `at`. Returns whether there were any.
    fn apply_events(&mut self, events: Vec<StoreEvent>, at: StorePosition) -> bool {
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
        changed
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

    fn record_contact(&mut self) {
        let now = self.state.clock.now();
        if let Some(unreachable_since) = self.unreachable_since.take() {
            let outage = now.since(unreachable_since);
            if outage >= MIN_OUTAGE {
                self.state.defer_removals_until(now + REMOVAL_DELAY);
            }
            log::info!(away_ms = outage.millis(); "store reachable again");
        }
        self.last_contact = Some(now);
        self.state.set_store_reader(true);
    }

    /// Returns the time since the last contact in milliseconds, if there was any.
    fn silent_ms(&self) -> Option<u64> {
        let now = self.state.clock.now();
        self.last_contact.map(|at| now.since(at).millis())
    }

    fn record_failure(&mut self, err: &StoreError) {
        self.watch_timeout = FIRST_WATCH_TIMEOUT;
        self.state.mark_store_unreachable();
        if self.unreachable_since.is_none() {
            self.unreachable_since = Some(self.state.clock.now());
            log::warn!(silent_ms = self.silent_ms(); "store lost: {err}");
        }
    }

    /// Waits before the next read, then queries another node, which may have newer content.
    async fn back_off(&mut self, delay: Duration) {
        let jitter = 0.75 + self.rng.random::<f64>() / 2.0;
        task::sleep(delay.mul_f64(jitter)).await;
        let now = self.state.clock.now();
        if self
            .unreachable_since
            .is_some_and(|unreachable_since| now.since(unreachable_since) < PEER_SYNC_AFTER)
        {
            return;
        }
        let Some(vm) = self.random_peer() else { return };
        let note = self.sync_note(ClockSpan::ZERO);
        let reply =
            within(PEER_SYNC_TIMEOUT, request_sync(&self.state, vm, false, note, Vec::new())).await;
        if let Some(Some(answer)) = reply {
            self.apply_sync_answer(answer);
        }
    }

    fn apply_sync_answer(&mut self, answer: SyncAnswer) {
        self.state.defer_removals_until(self.state.clock.now() + ClockSpan::new(answer.lapse));
        lock(&self.state.vm_sizes).merge(answer.sizes);
        if let Some(value) = answer.config {
            self.state.activate_config(&value.into(), answer.at.revision);
        }
        let Some(items) = answer.items else { return };
        let at = answer.at;
        if at <= lock(&self.state.view).position() {
            return;
        }
        let items = items.into_iter().map(SyncItem::into_item).collect();
        let changes = self.replace_view(at, items);
        self.has_full_view = true;
        log::debug!(era = at.era, revision = at.revision, changes = changes.len();
            "store content received from a node");
        self.apply(changes);
    }

    /// Returns a random node, which in three of four cases is one of this data centre.
    fn random_peer(&mut self) -> Option<IpAddr> {
        let settings = self.state.settings.load();
        let same_data_centre = self.rng.random::<f64>() < 0.75;
        let own = settings.target.ip();
        let vms_listed = |same_data_centre: bool| {
            let entries = self.registry.iter().filter(|entry| entry.address.ip() != own);
            let entries = entries
                .filter(|entry| !same_data_centre || *entry.data_centre == *settings.data_centre);
            entries.map(|entry| entry.address.ip()).collect::<Vec<_>>()
        };
        let mut nodes = vms_listed(same_data_centre);
        if nodes.is_empty() {
            nodes = vms_listed(false);
        }
        if nodes.is_empty() {
            nodes = settings.seeds.iter().copied().filter(|seed| *seed != own).collect();
        }
        let index = (self.rng.random::<f64>() * nodes.len() as f64) as usize;
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
                ViewChange::Written(key) if key.starts_with(EVACUATION_PREFIX) => {
                    self.begin_evacuation(&key);
                }
                ViewChange::Removed(key) if key.starts_with(EVACUATION_PREFIX) => {
                    self.end_evacuation(&key);
                }
                ViewChange::Written(key) | ViewChange::Removed(key) => {
                    log::debug!(key = &*key; "ignoring unknown key");
                }
            }
        }
        self.update_target();
    }

    fn apply_config(&self) {
        let item = lock(&self.state.view).get(CONFIG_KEY).cloned();
        if let Some(item) = item {
            self.state.activate_config(&item.value, item.revision);
        }
    }

    fn begin_evacuation(&mut self, key: &str) {
        let Some(centre) = evacuated_data_centre(key) else { return };
        if self.evacuations.begin(centre) {
            let now = self.state.clock.now();
            let targets = lock(&self.state.routing).picker.set_evacuated(now, &centre.into(), true);
            log::info!(data_centre = centre, targets = targets; "evacuation has begun");
        }
    }

    fn end_evacuation(&mut self, key: &str) {
        let Some(centre) = evacuated_data_centre(key) else { return };
        if self.evacuations.end(centre) {
            let now = self.state.clock.now();
            let targets =
                lock(&self.state.routing).picker.set_evacuated(now, &centre.into(), false);
            log::info!(data_centre = centre, targets = targets; "evacuation has ended");
        }
    }

    fn apply_target(&mut self, key: &str) {
        let Some(id) = target_id(key) else { return };
        let Some(item) = lock(&self.state.view).get(key).cloned() else { return };
        let era = lock(&self.state.view).position().era;
        let position = StorePosition { era, revision: item.revision };
        let entry = match decode_target(id, position, &item.value) {
            Ok(entry) => entry,
            Err(err) => {
                log::warn!(target = id, revision = item.revision; "ignoring invalid target: {err}");
                return;
            }
        };
        let now = self.state.clock.now();
        let vm = entry.address.ip();
        if self.registry.get(id).is_none() && !self.state.is_own_vm(vm) {
            // The address may have belonged to a VM of another size.
            lock(&self.state.vm_sizes).remove(vm);
        }
        let hold_until = now + self.entry_lifetime();
        if self.registry.insert(entry.clone(), hold_until) {
            log::info!(target = id, service = &*entry.service, state = format!("{:?}", entry.state).as_str(),
                revision = item.revision, sequence = entry.sequence; "target listed");
            lock(&self.state.routing).picker.insert(now, &entry);
        }
    }

    /// Time after which the entry of a target that does not renew it has disappeared.
    fn entry_lifetime(&self) -> ClockSpan {
        let heartbeat = self.state.settings.load().heartbeat.millis();
        ClockSpan::new(heartbeat * MISSED_HEARTBEATS)
    }

    fn remove_target(&mut self, key: &str) {
        let Some(id) = target_id(key) else { return };
        let until = self.state.removals_deferred_until();
        if self.state.clock.now() < until {
            self.registry.expire_at(id, until);
            return;
        }
        if self.registry.remove(self.state.clock.now(), id).is_some() {
            self.remove_from_picker(id);
        }
    }

    /// Shortens a wait to the time until the next deferred removal is due: drained targets get no new work
    /// for longer than the deferral.
    fn until_removal(&self, wait: ClockSpan) -> ClockSpan {
        let now = self.state.clock.now();
        self.registry.next_removal().map_or(wait, |due| wait.min(due.since(now)))
    }

    fn remove_expired(&mut self) {
        let now = self.state.clock.now();
        let gone = self.registry.remove_expired(now);
        for entry in &gone {
            self.remove_from_picker(&entry.id);
        }
        let released = self.registry.release_held(now);
        for entry in &released {
            log::info!(target = &*entry.id; "target is listed and renewed, using it again");
            lock(&self.state.routing).picker.insert(now, entry);
        }
        if !gone.is_empty() || !released.is_empty() {
            self.update_target();
        }
    }

    fn remove_from_picker(&self, id: &str) {
        log::info!(target = id; "target removed");
        lock(&self.state.routing).picker.remove(id);
    }

    /// Updates the target's state and the retry allowance from the registry.
    fn update_target(&self) {
        let settings = self.state.settings.load();
        let entry = self.registry.find_by_address(settings.target);
        let is_evacuated = self.evacuations.contains(&settings.data_centre);
        self.state.local_target.set_evacuated(is_evacuated);
        self.state.local_target.update(settings.target, entry);
        let (ratio, slack) = (settings.retry_budget_ratio, settings.retry_budget_reserve);
        lock(&self.state.routing).allowance =
            RetryAllowance::new(ratio, slack, self.registry.len());
    }
}
