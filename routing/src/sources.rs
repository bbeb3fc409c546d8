//! Which nodes read the platform's store.
//!
//! The store's rate grows more slowly than the fleet, and each call is billed. One node of each data
//! centre reads the store, the others form a tree below it, because the link of one VM is too slow for
//! a copy to each. Small VMs follow large ones, if there are any, and read the store themselves while no
//! large one can be followed. A node that is out of reach, or that has lost the store, is passed over
//! for a while, so that another takes its place. All nodes compute the same tree from the same entries
//! and sizes, which they tell each other. Where these differ, nodes may follow each other in a circle;
//! then the age of what they know grows, and a node whose content is too old is passed over as well.

use std::hash::{Hash, Hasher};
use std::net::IpAddr;

use fescuestack_core::{ClockSpan, ClockTime};
use rustc_hash::{FxHashMap, FxHasher};

/// How long a node is passed over.
const EXCLUSION_PERIOD: ClockSpan = ClockSpan::new(2_000);

/// Nodes that follow one node where all are alike.
const FANOUT: usize = 4;

/// Small nodes that follow one large node.
const SMALL_NODE_FANOUT: usize = 24;

/// Least share of a core of a large node. Reading a configuration of many routes several times a
/// second takes a good part of a smaller one.
const MIN_CORE_SHARE: f64 = 0.15;

/// Least bandwidth in Mbit/s of a large node, for the same reason.
const MIN_LINK_MBPS: f64 = 20.0;

/// Whether a VM with this share of a core and this bandwidth in Mbit/s should not serve other nodes
/// while there are larger ones.
pub fn is_small_vm(core_share: f64, link_mbps: f64) -> bool {
    core_share < MIN_CORE_SHARE || link_mbps < MIN_LINK_MBPS
}

/// Where a node learns what the store holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ViewSource {
    /// From the store itself.
    Store,
    /// From the node on this VM.
    Node(IpAddr),
}

/// How much a VM may serve others, the best first. A new one whose size is not known yet is no better
/// than a small one while there are large ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SizeClass {
    Large,
    Unknown,
    Small,
}

/// Which VMs are small, as far as their nodes have said so.
#[derive(Debug, Default)]
pub struct VmSizes {
    small: FxHashMap<IpAddr, bool>,
}

impl VmSizes {
    /// Notes what the node on `vm` says of itself.
    pub fn set(&mut self, vm: IpAddr, small: bool) {
        self.small.insert(vm, small);
    }

    /// Takes over what another node has heard. A VM's own word stands.
    pub fn merge(&mut self, heard: impl IntoIterator<Item = (IpAddr, bool)>) {
        for (vm, small) in heard {
            self.small.entry(vm).or_insert(small);
        }
    }

    /// Forgets a VM.
    pub fn remove(&mut self, vm: IpAddr) {
        self.small.remove(&vm);
    }

    /// Forgets the VMs that are not in use any more.
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

    /// All known sizes.
    pub fn iter(&self) -> impl Iterator<Item = (IpAddr, bool)> {
        self.small.iter().map(|(vm, small)| (*vm, *small))
    }

    /// A number that tells different contents apart, whatever the order in which they were learned.
    pub fn digest(&self) -> u64 {
        self.small.iter().fold(0, |sum, entry| sum.wrapping_add(hash_key(entry)))
    }
}

/// Chooses the node of a data centre that reads the store.
#[derive(Debug)]
pub struct SourceSelector {
    own: IpAddr,
    excluded: FxHashMap<IpAddr, ClockTime>,
}

impl SourceSelector {
    /// Creates the choice of the node on `own`.
    pub fn new(own: IpAddr) -> SourceSelector {
        SourceSelector { own, excluded: FxHashMap::default() }
    }

    /// Where to learn from, given the VMs of the node's data centre.
    pub fn select(
        &self,
        now: ClockTime,
        vms: impl Iterator<Item = IpAddr>,
        sizes: &VmSizes,
    ) -> ViewSource {
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
            // Small VMs that serve others in place of the large ones fill their links, are passed
            // over in turn, and end up cut off.
            return ViewSource::Store;
        }
        match candidates.iter().position(|vm| *vm == self.own) {
            Some(position) if position > 0 => {
                ViewSource::Node(candidates[parent(position, large_count)])
            }
            _ => ViewSource::Store,
        }
    }

    /// Passes over a node that cannot be followed.
    pub fn exclude(&mut self, now: ClockTime, vm: IpAddr) {
        self.excluded.retain(|_, until| *until > now);
        self.excluded.insert(vm, now + EXCLUSION_PERIOD);
    }
}

/// The place of the node that the node at `position` follows, where the first `large` are large.
/// Small nodes follow the large ones in turn; the rest, and the large ones, form a tree.
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

/// A hash, so that the order of VMs does not follow their age. It has no key, since all nodes have to
/// compute the same one.
fn hash_key(value: impl Hash) -> u64 {
    let mut hasher = FxHasher::default();
    value.hash(&mut hasher);
    hasher.finish()
}
