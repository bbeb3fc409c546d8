//! Which nodes read the platform's store.
//!
//! The store's rate grows more slowly than the fleet, and each call is billed. One node of each data
//! centre reads the store, the others follow it. A node that is out of reach, or that has lost the
//! store, is passed over for a while, so that the next one in the order takes its place. All nodes
//! compute the same order from the same entries; where their entries differ, a node that is followed
//! but does not read says so and is passed over as well.

use std::net::IpAddr;

use fescuestack_core::{ClockSpan, ClockTime};
use rustc_hash::FxHashMap;

/// How long a node is passed over.
const UNFIT_SPAN: ClockSpan = ClockSpan::new(2_000);

/// Where a node learns what the store holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ViewSource {
    /// From the store itself.
    Store,
    /// From the node on this VM.
    Node(IpAddr),
}

/// Chooses the node of a data centre that reads the store.
#[derive(Debug)]
pub struct ReaderChoice {
    own: IpAddr,
    unfit: FxHashMap<IpAddr, ClockTime>,
}

impl ReaderChoice {
    /// Creates the choice of the node on `own`.
    pub fn new(own: IpAddr) -> ReaderChoice {
        ReaderChoice { own, unfit: FxHashMap::default() }
    }

    /// Where to learn from, given the VMs of the node's data centre.
    pub fn source(&self, now: ClockTime, vms: impl Iterator<Item = IpAddr>) -> ViewSource {
        let fit = vms.filter(|vm| self.unfit.get(vm).is_none_or(|until| *until <= now));
        match fit.chain([self.own]).min_by_key(|vm| (order(*vm), *vm)) {
            Some(vm) if vm != self.own => ViewSource::Node(vm),
            _ => ViewSource::Store,
        }
    }

    /// Passes over a node that cannot be followed.
    pub fn pass_over(&mut self, now: ClockTime, vm: IpAddr) {
        self.unfit.retain(|_, until| *until > now);
        self.unfit.insert(vm, now + UNFIT_SPAN);
    }
}

/// A hash of the address (FNV-1a), so that the order does not follow the age of the VMs.
fn order(vm: IpAddr) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325u64;
    let mut add = |byte: u8| hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    match vm {
        IpAddr::V4(vm) => vm.octets().into_iter().for_each(&mut add),
        IpAddr::V6(vm) => vm.octets().into_iter().for_each(&mut add),
    }
    hash
}
