//! In-memory copy of the platform's store, which nodes can pass on to each other.

use std::collections::BTreeMap;
use std::sync::Arc;

use rustc_hash::FxHashSet;

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

/// Content of the store up to a revision. A view never reverts to an older revision.
#[derive(Debug, Clone, Default)]
pub struct StoreView {
    revision: u64,
    items: BTreeMap<Arc<str>, StoredItem>,
}

impl StoreView {
    /// Creates an empty view.
    pub fn new() -> StoreView {
        StoreView::default()
    }

    /// Returns the store revision up to which the view is complete.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the item at `key`.
    pub fn get(&self, key: &str) -> Option<&StoredItem> {
        self.items.get(key)
    }

    /// Iterates over all items.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &StoredItem)> {
        self.items.iter()
    }

    /// Applies the write of one key. Writes that are not newer than the known item are ignored.
    pub fn write(&mut self, key: &str, item: StoredItem) -> Option<ViewChange> {
        if self.items.get(key).is_some_and(|known| known.revision >= item.revision) {
            return None;
        }
        let key: Arc<str> = key.into();
        self.items.insert(key.clone(), item);
        Some(ViewChange::Written(key))
    }

    /// Applies the removal of one key at `revision`. An item that was written later is kept.
    pub fn remove(&mut self, key: &str, revision: u64) -> Option<ViewChange> {
        if self.items.get(key)?.revision > revision {
            return None;
        }
        let (key, _) = self.items.remove_entry(key)?;
        Some(ViewChange::Removed(key))
    }

    /// Marks the view as complete up to `revision`.
    pub fn advance(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Applies a listing of all keys as of `revision`. Keys listed without an item have not
    /// changed. Keys missing from the listing are removed, unless they were written after
    /// `revision`.
    pub fn replace(
        &mut self,
        revision: u64,
        items: Vec<(Arc<str>, Option<StoredItem>)>,
    ) -> Vec<ViewChange> {
        let listed: FxHashSet<_> = items.iter().map(|(key, _)| key.clone()).collect();
        let missing: Vec<_> =
            self.items.keys().filter(|key| !listed.contains(*key)).cloned().collect();
        let mut changes: Vec<_> =
            missing.iter().filter_map(|key| self.remove(key, revision)).collect();
        let written = items.into_iter().filter_map(|(key, item)| self.write(&key, item?));
        changes.extend(written);
        self.advance(revision);
        changes
    }
}
