//! Which earlier owners of a key a target has to ask before it runs a request.
//!
//! A target that becomes the owner of keys by a change of targets does not know what the earlier owner
//! ran. Nor does it know whether the earlier owner has applied the change: behind a partition it may go
//! on for as long as the partition lasts. So the obligation to ask ends only when the earlier owner has
//! confirmed that it applied the change and a key window has passed since. The exception is a target
//! that the configuration no longer has, which cannot be waited for: it gets a window to learn that it
//! was removed, and its last request a window to be sent again. This counts only while the version is
//! known to be the newest one, since a node that was cut off may miss that the target has come back.

use rustc_hash::FxHashMap;

use crate::clock::{ClockSpan, ClockTime};
use crate::config::NodeName;
use crate::owner::owner_name;
use crate::version::VersionId;

/// Most sets of targets that are remembered. A service's targets change about 50 times a day.
const PAST_LIMIT: usize = 16;

/// A set of targets that has been replaced.
#[derive(Debug, Clone)]
struct PastTargets {
    targets: Vec<NodeName>,
    replaced_at: ClockTime,
    /// Whether versions between this set and the next were not seen.
    skipped: bool,
    /// When each target stated that it has applied the version that is active here.
    confirmed: FxHashMap<NodeName, ClockTime>,
}

/// Windows after which a removed target need not be asked.
const REMOVED_WINDOWS: u64 = 2;

/// Whom to ask about a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum OwnershipCheck {
    /// These targets, possibly none.
    Ask(Vec<NodeName>),
    /// It cannot be known until this time.
    Unsure(ClockTime),
}

/// The targets of a service over time, as one of them sees it.
#[derive(Debug, Clone)]
pub(crate) struct KeyOwnership {
    node: NodeName,
    window: ClockSpan,
    current: Vec<NodeName>,
    version: VersionId,
    past: Vec<PastTargets>,
    /// When targets of past sets left the configuration.
    removed: FxHashMap<NodeName, ClockTime>,
    /// When the active version was last known to be the newest one.
    current_at: ClockTime,
    /// Keys that this node did not own all the time cannot be vouched for until then.
    unsure_until: ClockTime,
}

impl KeyOwnership {
    /// Creates the state of a node that has no configuration yet and owns nothing.
    pub(crate) fn new(node: NodeName, window: ClockSpan) -> KeyOwnership {
        KeyOwnership {
            node,
            window,
            current: Vec::new(),
            version: VersionId::NONE,
            past: Vec::new(),
            removed: FxHashMap::default(),
            current_at: ClockTime::ZERO,
            unsure_until: ClockTime::ZERO,
        }
    }

    pub(crate) fn node(&self) -> &NodeName {
        &self.node
    }

    pub(crate) fn version(&self) -> VersionId {
        self.version
    }

    pub(crate) fn set_window(&mut self, window: ClockSpan) {
        self.window = self.window.max(window);
    }

    /// Takes over the targets of a newer version.
    pub(crate) fn update(&mut self, now: ClockTime, version: VersionId, targets: Vec<NodeName>) {
        if version <= self.version {
            return;
        }
        let skipped = version.number > self.version.number + 1;
        let is_first = self.version == VersionId::NONE;
        self.version = version;
        if skipped {
            // A removed target may have been there in a version that was not seen.
            self.removed.values_mut().for_each(|removed_at| *removed_at = now);
        }
        if targets == self.current {
            return;
        }
        let before = std::mem::replace(&mut self.current, targets);
        self.removed.retain(|name, _| !self.current.contains(name));
        for name in before.iter().filter(|name| !self.current.contains(name)) {
            self.removed.insert(name.clone(), now);
        }
        if is_first {
            // A node that is new in the configuration takes its keys from the targets that own them
            // without it. They may not have applied this version yet.
            let others = self.current.iter().filter(|name| **name != self.node).cloned().collect();
            self.push(now, others, false);
        } else {
            self.push(now, before, skipped);
        }
    }

    /// The owner of `key` by the active version.
    pub(crate) fn owner(&self, key: &str) -> Option<&NodeName> {
        owner_name(&self.current, key)
    }

    /// Whether `note_current` would end the duty to ask a removed target.
    pub(crate) fn wants_current(&self, now: ClockTime) -> bool {
        let span = ClockSpan::new(self.window.millis() * REMOVED_WINDOWS);
        self.removed.values().any(|removed_at| {
            let due = *removed_at + span;
            now >= due && self.current_at < due
        })
    }

    /// Notes that the active version is the newest one that has been accepted.
    pub(crate) fn note_current(&mut self, now: ClockTime) {
        self.current_at = self.current_at.max(now);
        self.forget(now);
    }

    /// Whether this node owns `key`.
    pub(crate) fn is_owner(&self, key: &str) -> bool {
        self.owner(key) == Some(&self.node)
    }

    /// Whom to ask about a key that this node owns.
    pub(crate) fn duty(&self, now: ClockTime, key: &str) -> OwnershipCheck {
        let mut asked: Vec<NodeName> = Vec::new();
        let mut moved = false;
        for past in &self.past {
            let Some(owner) = owner_name(&past.targets, key) else { continue };
            if *owner == self.node {
                continue;
            }
            moved = true;
            let sure_at = past.replaced_at + self.window;
            if past.skipped && now < sure_at {
                return OwnershipCheck::Unsure(sure_at);
            }
            if !self.is_discharged(now, past, owner) && !asked.contains(owner) {
                asked.push(owner.clone());
            }
        }
        if moved && now < self.unsure_until {
            return OwnershipCheck::Unsure(self.unsure_until);
        }
        OwnershipCheck::Ask(asked)
    }

    /// Notes the version that another target stated to have applied. A newer one than this node's
    /// proves nothing: by that version, the other target may be the owner again.
    pub(crate) fn confirm(&mut self, now: ClockTime, name: &NodeName, version: VersionId) {
        if version != self.version {
            return;
        }
        for past in self.past.iter_mut().filter(|past| past.targets.contains(name)) {
            past.confirmed.entry(name.clone()).or_insert(now);
        }
        self.forget(now);
    }

    fn push(&mut self, now: ClockTime, targets: Vec<NodeName>, skipped: bool) {
        self.forget(now);
        if self.past.len() >= PAST_LIMIT {
            // What the oldest set would have required to ask can no longer be known.
            self.past.remove(0);
            self.unsure_until = now + self.window;
        }
        let confirmed = FxHashMap::default();
        self.past.push(PastTargets { targets, replaced_at: now, skipped, confirmed });
    }

    fn is_discharged(&self, now: ClockTime, past: &PastTargets, owner: &NodeName) -> bool {
        if let Some(confirmed_at) = past.confirmed.get(owner) {
            return now >= *confirmed_at + self.window;
        }
        let Some(removed_at) = self.removed.get(owner) else { return false };
        self.current_at >= *removed_at + ClockSpan::new(self.window.millis() * REMOVED_WINDOWS)
    }

    fn forget(&mut self, now: ClockTime) {
        let mut past = std::mem::take(&mut self.past);
        past.retain(|past| {
            let others = past.targets.iter().filter(|name| **name != self.node);
            !others.into_iter().all(|name| self.is_discharged(now, past, name))
        });
        self.past = past;
        let past = &self.past;
        self.removed.retain(|name, _| past.iter().any(|past| past.targets.contains(name)));
    }
}
