//! A copy of the platform's store, which nodes can hand to one another.

use std::collections::BTreeMap;
use std::sync::Arc;

use rustc_hash::FxHashSet;

/// A value of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredItem {
    /// The store's revision of its last change.
    pub revision: u64,
    /// The value as written.
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

/// What is known of the store, up to a revision. A view never goes back to an older revision.
#[derive(Debug, Clone, Default)]
pub struct StoreView {
    revision: u64,
    items: BTreeMap<Arc<str>, StoredItem>,
}

impl StoreView {
    /// Creates a view that knows nothing.
    pub fn new() -> StoreView {
        StoreView::default()
    }

    /// The store's revision up to which the view is complete.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The item at `key`.
    pub fn get(&self, key: &str) -> Option<&StoredItem> {
        self.items.get(key)
    }

    /// All items.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &StoredItem)> {
        self.items.iter()
    }

    /// Takes over the write of one key. Older revisions are ignored.
    pub fn write(&mut self, key: &str, item: StoredItem) -> Option<ViewChange> {
        if self.items.get(key).is_some_and(|known| known.revision >= item.revision) {
            return None;
        }
        let key: Arc<str> = key.into();
        self.items.insert(key.clone(), item);
        Some(ViewChange::Written(key))
    }

    /// Takes over the removal of one key at `revision`. A later write stays.
    pub fn remove(&mut self, key: &str, revision: u64) -> Option<ViewChange> {
        if self.items.get(key)?.revision > revision {
            return None;
        }
        let (key, _) = self.items.remove_entry(key)?;
        Some(ViewChange::Removed(key))
    }

    /// Notes that the view is complete up to `at`.
    pub fn advance(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Takes over a listing of all keys as of revision `at`. Keys without an item have not changed. Keys
    /// that the listing lacks are removed, unless they were written after it.
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
