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
const UNFIT_SPAN: ClockSpan = ClockSpan::new(2_000);

/// Nodes that follow one node where all are alike.
const FOLLOWERS: usize = 4;

/// Small nodes that follow one large node.
const SMALL_FOLLOWERS: usize = 24;

/// Least share of a core of a large node. Reading a configuration of many routes several times a
/// second takes a good part of a smaller one.
const CORE_MIN: f64 = 0.15;

/// Least bandwidth in Mbit/s of a large node, for the same reason.
const LINK_MIN: f64 = 20.0;

/// Whether a VM with this share of a core and this bandwidth in Mbit/s should not serve other nodes
/// while there are larger ones.
pub fn is_small_vm(core_share: f64, link_mbps: f64) -> bool {
    core_share < CORE_MIN || link_mbps < LINK_MIN
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
enum SizeRank {
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

    fn rank(&self, vm: IpAddr) -> SizeRank {
        match self.small.get(&vm) {
            Some(false) => SizeRank::Large,
            None => SizeRank::Unknown,
            Some(true) => SizeRank::Small,
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
        self.small.iter().fold(0, |sum, entry| sum.wrapping_add(order(entry)))
    }
}

/// Chooses the node of a data centre that reads the store.
#[derive(Debug)]
pub struct SourceSelector {
    own: IpAddr,
    unfit: FxHashMap<IpAddr, ClockTime>,
}

impl SourceSelector {
    /// Creates the choice of the node on `own`.
    pub fn new(own: IpAddr) -> SourceSelector {
        SourceSelector { own, unfit: FxHashMap::default() }
    }

    /// Where to learn from, given the VMs of the node's data centre.
    pub fn select(
        &self,
        now: ClockTime,
        vms: impl Iterator<Item = IpAddr>,
        sizes: &VmSizes,
    ) -> ViewSource {
        let is_fit = |vm: &IpAddr| self.unfit.get(vm).is_none_or(|until| *until <= now);
        let mut has_large = false;
        let mut fit: Vec<_> = vms
            .inspect(|vm| has_large |= sizes.rank(*vm) == SizeRank::Large)
            .filter(is_fit)
            .chain([self.own])
            .collect();
        fit.sort_unstable_by_key(|vm| (sizes.rank(*vm), order(vm), *vm));
        fit.dedup();
        let count = |rank| fit.iter().filter(|vm| sizes.rank(**vm) == rank).count();
        let large = match count(SizeRank::Large) {
            0 => count(SizeRank::Unknown),
            large => large,
        };
        if has_large && count(SizeRank::Large) == 0 {
            // Small VMs that serve others in place of the large ones fill their links, are passed
            // over in turn, and end up cut off.
            return ViewSource::Store;
        }
        match fit.iter().position(|vm| *vm == self.own) {
            Some(position) if position > 0 => ViewSource::Node(fit[parent(position, large)]),
            _ => ViewSource::Store,
        }
    }

    /// Passes over a node that cannot be followed.
    pub fn exclude(&mut self, now: ClockTime, vm: IpAddr) {
        self.unfit.retain(|_, until| *until > now);
        self.unfit.insert(vm, now + UNFIT_SPAN);
    }
}

/// The place of the node that the node at `position` follows, where the first `large` are large.
/// Small nodes follow the large ones in turn; the rest, and the large ones, form a tree.
fn parent(position: usize, large: usize) -> usize {
    if position < large || large == 0 {
        return (position - 1) / FOLLOWERS;
    }
    let index = position - large;
    match index.checked_sub(large * SMALL_FOLLOWERS) {
        None => index % large,
        Some(rest) => large + rest / FOLLOWERS,
    }
}

/// A hash, so that the order of VMs does not follow their age. It has no key, since all nodes have to
/// compute the same one.
fn order(value: impl Hash) -> u64 {
    let mut hasher = FxHasher::default();
    value.hash(&mut hasher);
    hasher.finish()
}
