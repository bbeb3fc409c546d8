//! Determines which nodes read the platform's store.
//!
//! The request rate to the store may grow only more slowly than the fleet, and each call to it is
//! billed. Therefore one node of each data centre reads the store. The other nodes form a tree
//! below it, because the link of a single VM is too slow to send a copy to each of them.
//!
//! Small VMs follow large ones, if there are any, and read the store themselves while no large one
//! can be followed. A node that is unreachable, or that has lost its connection to the store, is
//! excluded for some time, so that another one takes its place.
//!
//! A follower that excludes its source reads the store once before it follows another node. The
//! store may respond to the follower but not to the next reader, which needs about a second to notice.
//!
//! All nodes compute the same tree from the same entries and VM sizes, which they exchange. If
//! their data differ, nodes may follow each other in a cycle. The age of their content then grows,
//! and nodes with outdated content are excluded as well.

use std::hash::{Hash, Hasher};
use std::net::IpAddr;

use fescuestack_core::{ClockSpan, ClockTime};
use rustc_hash::{FxHashMap, FxHasher};

/// How long a node is excluded.
const EXCLUSION_PERIOD: ClockSpan = ClockSpan::new(2_000);

/// Maximum number of followers of a node if all nodes are of the same size.
const FANOUT: usize = 4;

/// Maximum number of small followers of a large node.
const SMALL_NODE_FANOUT: usize = 24;

/// Minimum share of a core of a large node. Reading a configuration with many routes several times
/// a second uses a considerable part of a smaller one.
const MIN_CORE_SHARE: f64 = 0.15;

/// Minimum bandwidth of a large node in Mbit/s, for the same reason.
const MIN_LINK_MBPS: f64 = 20.0;

/// Whether a VM with this share of a core and this bandwidth in Mbit/s should not serve other nodes
/// while larger ones are available.
pub fn is_small_vm(core_share: f64, link_mbps: f64) -> bool {
    core_share < MIN_CORE_SHARE || link_mbps < MIN_LINK_MBPS
}

/// Where a node gets the content of the store from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ViewSource {
    /// From the store itself.
    Store,
    /// From the node on this VM.
    Node(IpAddr),
}

/// Size classes of VMs, in order of their suitability to serve others. While there are large VMs, a
/// new VM of unknown size ranks no better than a small one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SizeClass {
    Large,
    Unknown,
    Small,
}

/// Records which VMs are small, as reported by their nodes.
#[derive(Debug, Default)]
pub struct VmSizes {
    small: FxHashMap<IpAddr, bool>,
}

impl VmSizes {
    /// Sets the size that the node on `vm` reports about itself.
    pub fn set(&mut self, vm: IpAddr, small: bool) {
        self.small.insert(vm, small);
    }

    /// Adds sizes known to another node. Sizes that are already known are kept.
    pub fn merge(&mut self, heard: impl IntoIterator<Item = (IpAddr, bool)>) {
        for (vm, small) in heard {
            self.small.entry(vm).or_insert(small);
        }
    }

    /// Removes a VM.
    pub fn remove(&mut self, vm: IpAddr) {
        self.small.remove(&vm);
    }

    /// Removes all VMs for which `in_use` returns false.
    pub fn retain(&mut self, in_use: impl Fn(IpAddr) -> bool) {
        self.small.retain(|vm, _| in_use(*vm));
    }

    fn size_class(&self, vm: IpAddr) -> SizeClass {
        match self.small.get(&vm) {
            Some(false) => SizeClass::Large,
            None => SizeClass::Unknown,
            Some(true) => SizeClass::Small,
        }
    }

    /// Whether the size of `vm` is known.
    pub fn contains(&self, vm: IpAddr) -> bool {
        self.small.contains_key(&vm)
    }

    /// Iterates over all known sizes.
    pub fn iter(&self) -> impl Iterator<Item = (IpAddr, bool)> {
        self.small.iter().map(|(vm, small)| (*vm, *small))
    }

    /// Returns a digest of the content that does not depend on the order of insertion.
    pub fn digest(&self) -> u64 {
        self.small.iter().fold(0, |sum, entry| sum.wrapping_add(hash_key(entry)))
    }
}

/// Selects the source from which a node gets the content of the store.
#[derive(Debug)]
pub struct SourceSelector {
    own: IpAddr,
    excluded: FxHashMap<IpAddr, ClockTime>,
    /// Whether the store has to be read once before another node is followed.
    store_check_due: bool,
}

impl SourceSelector {
    /// Creates the selector of the node on the VM `own`.
    pub fn new(own: IpAddr) -> SourceSelector {
        SourceSelector { own, excluded: FxHashMap::default(), store_check_due: false }
    }

    /// Returns the current source, given the VMs in the node's data centre.
    pub fn select(
        &self,
        now: ClockTime,
        vms: impl Iterator<Item = IpAddr>,
        sizes: &VmSizes,
    ) -> ViewSource {
        if self.store_check_due {
            return ViewSource::Store;
        }
        let is_eligible = |vm: &IpAddr| self.excluded.get(vm).is_none_or(|until| *until <= now);
        let mut any_large = false;
        let mut candidates: Vec<_> = vms
            .inspect(|vm| any_large |= sizes.size_class(*vm) == SizeClass::Large)
            .filter(is_eligible)
            .chain([self.own])
            .collect();
        candidates.sort_unstable_by_key(|vm| (sizes.size_class(*vm), hash_key(vm), *vm));
        candidates.dedup();
        let count = |size_class| {
            candidates.iter().filter(|vm| sizes.size_class(**vm) == size_class).count()
        };
        let large_count = match count(SizeClass::Large) {
            0 => count(SizeClass::Unknown),
            large_count => large_count,
        };
        if any_large && count(SizeClass::Large) == 0 {
            // Small VMs that serve others in place of the large ones saturate their links, are
            // excluded one after the other, and finally leave their followers without a source.
            return ViewSource::Store;
        }
        match candidates.iter().position(|vm| *vm == self.own) {
            Some(position) if position > 0 => {
                ViewSource::Node(candidates[parent(position, large_count)])
            }
            _ => ViewSource::Store,
        }
    }

    /// Excludes a node that cannot be followed. The store is read once next.
    pub fn exclude(&mut self, now: ClockTime, vm: IpAddr) {
        self.excluded.retain(|_, until| *until > now);
        self.excluded.insert(vm, now + EXCLUSION_PERIOD);
        self.store_check_due = true;
    }

    /// Whether the next read of the store only replaces a source that was excluded.
    pub fn is_store_check_due(&self) -> bool {
        self.store_check_due
    }

    /// Records that the store was read, with or without success.
    pub fn record_store_read(&mut self) {
        self.store_check_due = false;
    }
}

/// Returns the position of the node that the node at `position` follows. The first `large_count`
/// nodes are large. Small nodes are assigned to the large ones in turn; the large nodes among
/// themselves, and the remaining small ones, form a tree.
fn parent(position: usize, large_count: usize) -> usize {
    if position < large_count || large_count == 0 {
        return (position - 1) / FANOUT;
    }
    let index = position - large_count;
    match index.checked_sub(large_count * SMALL_NODE_FANOUT) {
        None => index % large_count,
        Some(rest) => large_count + rest / FANOUT,
    }
}

/// Hashes a value, so that the order of VMs does not depend on their age. The hash is unkeyed,
/// because all nodes have to compute the same one.
fn hash_key(value: impl Hash) -> u64 {
    let mut hasher = FxHasher::default();
    value.hash(&mut hasher);
    hasher.finish()
}
