//! In-memory history of recent calls for `explain`.

use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, PoisonError};

/// Bounded buffer of call records, indexed by request id.
#[derive(Debug)]
pub struct RecentCalls {
    capacity: usize,
    state: Mutex<RecentCallsState>,
}

#[derive(Debug, Default)]
struct RecentCallsState {
    /// Request ids, oldest first.
    order: VecDeque<String>,
    records: HashMap<String, String>,
}

impl RecentCalls {
    /// Creates a buffer that keeps the last `capacity` calls.
    pub fn new(capacity: usize) -> RecentCalls {
        RecentCalls { capacity, state: Mutex::default() }
    }

    /// Adds the record of a call, as JSON, or replaces an earlier record of the same request. Removes the
    /// oldest record when the buffer is full.
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

    /// Returns the record of the call with this request id, as JSON.
    pub fn get(&self, request: &str) -> Option<String> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.records.get(request).cloned()
    }
}
