//! The most recent calls, kept in memory so that an operator can ask what happened to one.

use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, PoisonError};

/// A bounded ring of call records, looked up by request id.
#[derive(Debug)]
pub struct RecentCalls {
    capacity: usize,
    state: Mutex<RecentCallsState>,
}

#[derive(Debug, Default)]
struct RecentCallsState {
    order: VecDeque<String>,
    records: HashMap<String, String>,
}

impl RecentCalls {
    /// Creates a ring that keeps the last `capacity` calls.
    pub fn new(capacity: usize) -> RecentCalls {
        RecentCalls { capacity, state: Mutex::default() }
    }

    /// Adds the record of a call, as JSON. Drops the oldest one when the ring is full.
    pub fn insert(&self, request: &str, record: String) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.records.insert(request.to_owned(), record).is_some() {
            return;
        }
        state.order.push_back(request.to_owned());
        if state.order.len() > self.capacity
            && let Some(oldest) = state.order.pop_front()
        {
            state.records.remove(&oldest);
        }
    }

    /// The record of the call with this request id, as JSON.
    pub fn get(&self, request: &str) -> Option<String> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.records.get(request).cloned()
    }
}
