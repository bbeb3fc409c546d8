//! In-memory copy of the platform's store, which nodes can pass on to each other.

use std::collections::BTreeMap;
use std::sync::Arc;

use rustc_hash::FxHashSet;
use serde::{Deserialize, Serialize};

/// Position in the store's history. A store that is restored from an older copy gives out revisions
/// again, in a new era, so that revisions compare only within an era.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StorePosition {
    /// Number of the history, which rises with each restore.
    pub era: u64,
    /// Revision of the store in this era.
    pub revision: u64,
}

/// A value of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredItem {
    /// Revision of the store at which the value was last changed.
    pub revision: u64,
    /// The value as it was written.
    pub value: Arc<[u8]>,
}

/// A change of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ViewChange {
    /// The key was written.
    Written(Arc<str>),
    /// The key was removed.
    Removed(Arc<str>),
}

/// Content of the store up to a position. A view never reverts to an older position.
#[derive(Debug, Clone, Default)]
pub struct StoreView {
    position: StorePosition,
    items: BTreeMap<Arc<str>, StoredItem>,
}

impl StoreView {
    /// Creates an empty view.
    pub fn new() -> StoreView {
        StoreView::default()
    }

    /// Returns the position up to which the view is complete.
    pub fn position(&self) -> StorePosition {
        self.position
    }

    /// Returns the item at `key`.
    pub fn get(&self, key: &str) -> Option<&StoredItem> {
        self.items.get(key)
    }

    /// Iterates over all items.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &StoredItem)> {
        self.items.iter()
    }

    /// Applies the write of one key in the view's era. Writes that are not newer than the known item are ignored.
    pub fn write(&mut self, key: &str, item: StoredItem) -> Option<ViewChange> {
        if self.items.get(key).is_some_and(|known| known.revision >= item.revision) {
            return None;
        }
        let key: Arc<str> = key.into();
        self.items.insert(key.clone(), item);
        Some(ViewChange::Written(key))
    }

    /// Applies the removal of one key at `revision` of the view's era. An item that was written later is kept.
    pub fn remove(&mut self, key: &str, revision: u64) -> Option<ViewChange> {
        if self.items.get(key)?.revision > revision {
            return None;
        }
        let (key, _) = self.items.remove_entry(key)?;
        Some(ViewChange::Removed(key))
    }

    /// Marks the view as complete up to `position`.
    pub fn advance(&mut self, position: StorePosition) {
        self.position = self.position.max(position);
    }

    /// Applies a listing of all keys as of `position`. Keys listed without an item have not
    /// changed. Keys missing from the listing are removed, unless they were written after
    /// `position`. A listing of a later era replaces everything, one of an earlier era is ignored.
    pub fn replace(
        &mut self,
        position: StorePosition,
        items: Vec<(Arc<str>, Option<StoredItem>)>,
    ) -> Vec<ViewChange> {
        if position.era < self.position.era {
            return Vec::new();
        }
        if position.era > self.position.era {
            return self.restore(position, items);
        }
        let revision = position.revision;
        let listed: FxHashSet<_> = items.iter().map(|(key, _)| key.clone()).collect();
        let missing: Vec<_> =
            self.items.keys().filter(|key| !listed.contains(*key)).cloned().collect();
        let mut changes: Vec<_> =
            missing.iter().filter_map(|key| self.remove(key, revision)).collect();
        let written = items.into_iter().filter_map(|(key, item)| self.write(&key, item?));
        changes.extend(written);
        self.advance(position);
        changes
    }

    /// Takes over a listing of a new era, whose revisions do not compare with the known ones.
    fn restore(
        &mut self,
        position: StorePosition,
        items: Vec<(Arc<str>, Option<StoredItem>)>,
    ) -> Vec<ViewChange> {
        let mut former = std::mem::take(&mut self.items);
        self.position = position;
        let mut changes = Vec::new();
        for (key, item) in items {
            let known = former.remove(&key);
            let Some(item) = item.or_else(|| known.clone()) else { continue };
            if known.is_none_or(|known| known.value != item.value) {
                changes.push(ViewChange::Written(key.clone()));
            }
            self.items.insert(key, item);
        }
        changes.extend(former.into_keys().map(ViewChange::Removed));
        changes
    }
}
