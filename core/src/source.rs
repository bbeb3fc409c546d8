//! Reading the platform: watches, back-off, rate limit, and the way from a head to a version.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use crate::assembly::VersionAssembly;
use crate::clock::{ClockSpan, ClockTime};
use crate::code::ResultCode;
use crate::config::{PartName, SpreadPreference};
use crate::control::{ControlAction, PlatformFault, ReadAnswer, ValueRecord};
use crate::delta::{
    BUNDLE_PARTS, HEAD_KEY, HeadRecord, ManifestRecord, VersionDelta, bundle_key, delta_key,
    manifest_key, page_key, part_key,
};
use crate::distribution::PassRule;
use crate::manifest::bucket_index;
use crate::state::{ControlState, Turn};
use crate::status::{ArrivalPath, SourceState};
use crate::version::{PartHash, VersionId};
use crate::versions::merge_deltas;
use crate::watch::{TokenBucket, WatchState};

/// Longest wait after faults, in milliseconds.
const BACK_OFF_MS: u64 = 5_000;

/// Wait after the first fault, in milliseconds.
const FIRST_BACK_OFF_MS: u64 = 200;

/// Wait for further changes when few bytes are preferred, in milliseconds.
const BATCH_MS: u64 = 400;

/// Reads on their way at the same time.
const READS_AT_ONCE: usize = 8;

/// Published deltas followed back from a head before the manifest is read instead.
const DELTA_WALK: usize = 8;

/// Versions behind from which bundles are read without looking at the pages first: so many changes touch
/// [`BUNDLE_PARTS`] parts of each of the 64 buckets.
const WHOLE_BUNDLES_BEHIND: u64 = 512;

/// A fetch without progress is given up after this time, in milliseconds.
const STALL_MS: u64 = 10_000;

#[derive(Debug)]
enum SourceFetch {
    /// Deltas, newest first, back to the active version.
    Deltas { chain: Vec<VersionDelta>, wanted: VersionId },
    /// The list of pages.
    Manifest,
    /// Pages, then parts.
    Parts { assembly: VersionAssembly },
}

#[derive(Debug, Default)]
pub(crate) struct SourceReader {
    pub(crate) head_watch: WatchState,
    pub(crate) vms_watch: WatchState,
    last_head: Option<Result<VersionId, PlatformFault>>,
    /// Reason why the last fetch failed.
    pub(crate) fault: Option<ResultCode>,
    tokens: TokenBucket,
    target: Option<HeadRecord>,
    fetch: Option<SourceFetch>,
    fetch_at: ClockTime,
    fetch_failures: u32,
    progress_at: ClockTime,
    waiting: VecDeque<String>,
    reading: BTreeSet<String>,
    buckets: BTreeMap<String, usize>,
    parts: BTreeMap<String, PartHash>,
    /// Bundles on their way, with the index of their bucket.
    bundles: BTreeMap<String, usize>,
    /// Buckets of the fetched version that have a bundle, a bit each.
    bundled: u64,
    kept: Option<VersionAssembly>,
}

impl SourceReader {
    pub(crate) fn state(&self, seen: VersionId) -> SourceState {
        match self.last_head {
            None => SourceState::Waiting,
            Some(Err(fault)) => SourceState::Failing(fault),
            Some(Ok(version)) if version < seen => SourceState::Stale,
            Some(Ok(_)) => SourceState::Current,
        }
    }

    pub(crate) fn forget_version(&mut self, version: VersionId) {
        if self.target.as_ref().is_some_and(|head| head.version == version) {
            self.target = None;
            self.end_fetch();
        }
    }

    fn end_fetch(&mut self) {
        if let Some(SourceFetch::Parts { assembly }) = self.fetch.take() {
            self.kept = Some(assembly);
        }
        self.waiting.clear();
        self.reading.clear();
        self.buckets.clear();
        self.parts.clear();
        self.bundles.clear();
    }

    fn read(&mut self, key: String) {
        self.waiting.push_back(key);
    }

    /// Reads parts, many of one bucket as a bundle.
    fn read_missing(&mut self, assembly: &VersionAssembly, missing: Vec<(PartName, PartHash)>) {
        let mut buckets: BTreeMap<usize, Vec<(PartName, PartHash)>> = BTreeMap::new();
        for (name, hash) in missing {
            buckets.entry(bucket_index(&name)).or_default().push((name, hash));
        }
        let mut single = Vec::new();
        for (index, parts) in buckets {
            match assembly.digest(index) {
                Some(digest) if parts.len() >= BUNDLE_PARTS && self.has_bundle(index) => {
                    let key = bundle_key(digest);
                    self.bundles.insert(key.clone(), index);
                    self.read(key);
                }
                _ => single.extend(parts),
            }
        }
        self.read_parts(single);
    }

    fn has_bundle(&self, index: usize) -> bool {
        self.bundled >> index & 1 == 1
    }

    /// Reads missing pages, or with `whole` the bundles of those that have one. Bundles on their way are
    /// not read again, nor are pages.
    fn read_pages(&mut self, assembly: &VersionAssembly, whole: bool) {
        for (index, digest) in assembly.missing_buckets() {
            if self.bundles.values().any(|reading| *reading == index) {
                continue;
            }
            if whole && self.has_bundle(index) {
                let key = bundle_key(digest);
                self.bundles.insert(key.clone(), index);
                self.read(key);
                continue;
            }
            let key = page_key(digest);
            if self.buckets.insert(key.clone(), index).is_none() {
                self.read(key);
            }
        }
    }

    fn read_parts(&mut self, parts: Vec<(PartName, PartHash)>) {
        for (_, hash) in parts {
            let key = part_key(hash);
            self.parts.insert(key.clone(), hash);
            self.read(key);
        }
    }
}

impl ControlState {
    /// Starts the watches and reads that are due.
    pub(crate) fn step_source(&mut self, turn: &mut Turn<'_>) {
        if self.is_reader() {
            self.step_watches(turn);
        }
        if self.is_reader() || self.head_check.is_fetching() {
            self.step_fetch(turn);
            self.issue_reads(turn);
        }
    }

    fn step_watches(&mut self, turn: &mut Turn<'_>) {
        if self.source.head_watch.is_due(turn.now) && self.source.tokens.take(turn.now) {
            let after = self.source.head_watch.begin();
            turn.actions.push(ControlAction::WatchHead { after });
        }
        if self.source.vms_watch.is_due(turn.now) && self.source.tokens.take(turn.now) {
            let after = self.source.vms_watch.begin();
            turn.actions.push(ControlAction::WatchVms { after });
        }
    }

    fn issue_reads(&mut self, turn: &mut Turn<'_>) {
        while self.source.reading.len() < READS_AT_ONCE && !self.source.waiting.is_empty() {
            if !self.source.tokens.take(turn.now) {
                break;
            }
            let Some(key) = self.source.waiting.pop_front() else { break };
            self.source.reading.insert(key.clone());
            turn.actions.push(ControlAction::ReadValue { key });
        }
    }

    /// Wait after the given number of faults in a row.
    pub(crate) fn back_off(&mut self, failures: u32) -> ClockSpan {
        let doubled = FIRST_BACK_OFF_MS << failures.saturating_sub(1).min(5);
        let wait = self.jitter(doubled.min(BACK_OFF_MS));
        ClockSpan::new(wait.min(BACK_OFF_MS))
    }

    pub(crate) fn on_head(
        &mut self,
        turn: &mut Turn<'_>,
        result: Result<ReadAnswer, PlatformFault>,
    ) {
        self.source.head_watch.pending = false;
        match result {
            Ok(ReadAnswer::Found(record)) => self.on_head_record(turn, &record),
            Ok(ReadAnswer::Unchanged) => self.source.head_watch.failures = 0,
            Ok(ReadAnswer::Absent) => {
                self.source.last_head = Some(Ok(VersionId::NONE));
                self.source.head_watch.retry_at = turn.now + ClockSpan::new(1_000);
            }
            Err(fault) => self.on_head_fault(turn, fault),
        }
        self.step_source(turn);
    }

    fn on_head_fault(&mut self, turn: &mut Turn<'_>, fault: PlatformFault) {
        self.source.last_head = Some(Err(fault));
        self.source.head_watch.failures += 1;
        let wait = self.back_off(self.source.head_watch.failures);
        self.source.head_watch.retry_at = turn.now + wait;
    }

    fn on_head_record(&mut self, turn: &mut Turn<'_>, record: &ValueRecord) {
        let Ok(head) = serde_json::from_str::<HeadRecord>(&record.content) else {
            self.on_head_fault(turn, PlatformFault::Malformed);
            return;
        };
        self.source.head_watch.failures = 0;
        self.source.head_watch.revision = Some(record.revision);
        self.source.last_head = Some(Ok(head.version));
        let batch = match self.preference() {
            SpreadPreference::Bytes if self.versions.snapshot.is_some() => BATCH_MS,
            _ => 0,
        };
        self.take_head(turn, head, ClockSpan::new(batch));
    }

    /// Fetches the version of a head, if it is a new one, after `wait`.
    pub(crate) fn take_head(&mut self, turn: &mut Turn<'_>, head: HeadRecord, wait: ClockSpan) {
        self.note_seen(turn, head.version);
        if head.version <= self.versions.active() || self.versions.is_rejected(head.version) {
            return;
        }
        let newer = self.source.target.as_ref().is_none_or(|old| old.version < head.version);
        if !newer {
            return;
        }
        let idle = self.source.target.is_none();
        self.source.target = Some(head);
        if idle {
            self.source.fetch_at = turn.now + wait;
            self.source.fetch_failures = 0;
        }
    }

    fn step_fetch(&mut self, turn: &mut Turn<'_>) {
        let active = self.versions.active();
        let Some(head) = self.source.target.clone() else {
            self.head_check.end_fetch();
            return;
        };
        if head.version <= active {
            self.head_check.end_fetch();
            self.source.target = None;
            self.source.kept = None;
            self.source.end_fetch();
            return;
        }
        if self.source.fetch.is_some() {
            if turn.now.since(self.source.progress_at).millis() > STALL_MS {
                self.fail_fetch(turn, None);
            }
            return;
        }
        if turn.now < self.source.fetch_at {
            return;
        }
        self.source.progress_at = turn.now;
        let near = head.version.number - active.number <= DELTA_WALK as u64;
        if head.base == active || (near && head.base > active) {
            let wanted = head.version;
            self.source.read(delta_key(wanted));
            self.source.fetch = Some(SourceFetch::Deltas { chain: Vec::new(), wanted });
        } else {
            self.fetch_manifest(head.version);
        }
    }

    fn fetch_manifest(&mut self, version: VersionId) {
        self.source.end_fetch();
        self.source.fetch = Some(SourceFetch::Manifest);
        self.source.read(manifest_key(version.digest));
    }

    /// Gives up the fetch for now; parts that have arrived are kept for the next attempt.
    fn fail_fetch(&mut self, turn: &mut Turn<'_>, code: Option<ResultCode>) {
        self.source.end_fetch();
        if !self.is_reader() {
            // All nodes would try it again; the next check finds the version if it is still needed.
            self.source.target = None;
            self.head_check.end_fetch();
            self.pause_head_check(turn.now);
        }
        self.source.fault = code;
        self.source.fetch_failures += 1;
        self.source.fetch_at = turn.now + self.back_off(self.source.fetch_failures);
    }

    pub(crate) fn on_value(
        &mut self,
        turn: &mut Turn<'_>,
        key: &str,
        result: Result<ReadAnswer, PlatformFault>,
    ) {
        if key == HEAD_KEY {
            self.on_head_check(turn, result);
            return;
        }
        if !self.source.reading.remove(key) {
            return;
        }
        self.source.progress_at = turn.now;
        let content = match result {
            Ok(ReadAnswer::Found(record)) => Some(record.content),
            Ok(ReadAnswer::Absent | ReadAnswer::Unchanged) => None,
            Err(_) => {
                self.fail_fetch(turn, None);
                return;
            }
        };
        match self.source.fetch.take() {
            Some(SourceFetch::Deltas { chain, wanted }) => {
                self.on_delta_value(turn, chain, wanted, content.as_deref());
            }
            Some(SourceFetch::Manifest) => self.on_manifest_value(turn, content.as_deref()),
            Some(SourceFetch::Parts { assembly }) => {
                self.on_part_value(turn, assembly, key, content);
            }
            None => (),
        }
        self.step_source(turn);
    }

    fn on_delta_value(
        &mut self,
        turn: &mut Turn<'_>,
        mut chain: Vec<VersionDelta>,
        wanted: VersionId,
        content: Option<&str>,
    ) {
        let Some(target) = self.source.target.as_ref().map(|head| head.version) else { return };
        let parsed = content.and_then(|text| serde_json::from_str::<VersionDelta>(text).ok());
        let Some(delta) = parsed.filter(|delta| delta.to == wanted) else {
            self.fetch_manifest(target);
            return;
        };
        let from = delta.from;
        chain.push(delta);
        let active = self.versions.active();
        if from == active {
            self.apply_chain(turn, chain, target);
        } else if from > active && chain.len() < DELTA_WALK {
            self.source.read(delta_key(from));
            self.source.fetch = Some(SourceFetch::Deltas { chain, wanted: from });
        } else {
            self.fetch_manifest(target);
        }
    }

    /// Applies deltas, newest first in `chain`. Merges them if few bytes are preferred.
    fn apply_chain(
        &mut self,
        turn: &mut Turn<'_>,
        mut chain: Vec<VersionDelta>,
        target: VersionId,
    ) {
        chain.reverse();
        if self.preference() == SpreadPreference::Bytes {
            chain = merge_deltas(chain).into_iter().collect();
        }
        for delta in chain {
            let applied = self.apply_delta(turn, delta, ArrivalPath::SourceDelta, PassRule::Origin);
            if !applied && !self.versions.is_rejected(target) {
                // A version on the way is bad or a published delta is damaged. The parts of the
                // target may still be right.
                self.fetch_manifest(target);
                return;
            }
        }
    }

    fn on_manifest_value(&mut self, turn: &mut Turn<'_>, content: Option<&str>) {
        let Some(target) = self.source.target.as_ref().map(|head| head.version) else { return };
        let Some(content) = content else {
            self.fail_fetch(turn, Some(ResultCode::PartMissing));
            return;
        };
        let Ok(record) = serde_json::from_str::<ManifestRecord>(content) else {
            self.fail_fetch(turn, Some(ResultCode::HashMismatch));
            return;
        };
        let base = self.versions.snapshot.as_deref();
        let Some(assembly) = VersionAssembly::new(target, record.pages, base) else {
            self.fail_fetch(turn, Some(ResultCode::HashMismatch));
            return;
        };
        let assembly = assembly.with_contents(self.source.kept.take());
        self.source.bundled = record.bundled;
        let behind = target.number.saturating_sub(self.versions.active().number);
        let whole = base.is_none() || behind >= WHOLE_BUNDLES_BEHIND;
        self.source.read_pages(&assembly, whole);
        self.continue_assembly(turn, assembly);
    }

    fn on_part_value(
        &mut self,
        turn: &mut Turn<'_>,
        mut assembly: VersionAssembly,
        key: &str,
        content: Option<Arc<str>>,
    ) {
        if let Some(index) = self.source.bundles.remove(key) {
            self.on_bundle(turn, assembly, index, content.as_deref());
            return;
        }
        let fault = match content {
            None => Some(ResultCode::PartMissing),
            Some(content) => self.put_value(&mut assembly, key, content),
        };
        if fault.is_some() {
            self.source.kept = Some(assembly);
            self.fail_fetch(turn, fault);
        } else {
            self.continue_assembly(turn, assembly);
        }
    }

    /// Takes in a bundle. Without a right one, the page and its parts are read.
    fn on_bundle(
        &mut self,
        turn: &mut Turn<'_>,
        mut assembly: VersionAssembly,
        index: usize,
        content: Option<&str>,
    ) {
        let parts = content.and_then(|text| serde_json::from_str(text).ok());
        if !parts.is_some_and(|parts| assembly.put_bundle(index, parts)) {
            self.source.bundled &= !(1 << index);
            self.source.read_pages(&assembly, false);
            if assembly.has_manifest() {
                let mut missing = assembly.missing_parts(self.versions.snapshot.as_deref());
                missing.retain(|(name, _)| bucket_index(name) == index);
                self.source.read_parts(missing);
            }
        }
        self.continue_assembly(turn, assembly);
    }

    fn put_value(
        &mut self,
        assembly: &mut VersionAssembly,
        key: &str,
        content: Arc<str>,
    ) -> Option<ResultCode> {
        if self.source.buckets.remove(key).is_some() {
            let Ok(entries) = serde_json::from_str::<crate::manifest::BucketEntries>(&content)
            else {
                return Some(ResultCode::HashMismatch);
            };
            // Buckets with the same digest have the same page, which is read once.
            let same: Vec<usize> = assembly
                .missing_buckets()
                .filter(|(_, digest)| page_key(*digest) == key)
                .map(|(index, _)| index)
                .collect();
            same.into_iter().for_each(|index| {
                assembly.put_bucket(index, entries.clone());
            });
            return None;
        }
        let hash = self.source.parts.remove(key)?;
        (!assembly.put_content(hash, content)).then_some(ResultCode::HashMismatch)
    }

    fn continue_assembly(&mut self, turn: &mut Turn<'_>, mut assembly: VersionAssembly) {
        let known = assembly.has_manifest();
        if !assembly.build_manifest() {
            self.fail_fetch(turn, Some(ResultCode::HashMismatch));
            return;
        }
        if !assembly.has_manifest() {
            self.source.fetch = Some(SourceFetch::Parts { assembly });
            return;
        }
        let base = self.versions.snapshot.as_deref();
        if !known {
            self.source.read_missing(&assembly, assembly.missing_parts(base));
        }
        if !self.source.parts.is_empty() || !self.source.bundles.is_empty() {
            self.source.fetch = Some(SourceFetch::Parts { assembly });
            return;
        }
        match assembly.delta(base) {
            Some(delta) => {
                let arrival = ArrivalPath::SourceParts;
                self.apply_delta(turn, delta, arrival, PassRule::Origin);
                self.source.fault = None;
            }
            None => {
                // The active version moved on, and with it the parts that were counted as held.
                self.source.kept = Some(assembly);
                self.fail_fetch(turn, None);
            }
        }
    }
}
