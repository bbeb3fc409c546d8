//! Log of the requests that stand-in upstreams ran. Reports check the answers of nodes against it.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};

use fescuestack_http::lock;
use serde::{Deserialize, Serialize};

/// How a run of a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunEnd {
    /// The run completed.
    Finished,
    /// The client closed its connection while the request was running.
    Cancelled,
    /// The time limit in `fescuestack-left-ms` elapsed while the request was running.
    Expired,
    /// The upstream was killed while the request was running.
    Killed,
}

/// One execution of a request by an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Identifier of the attempt, set by the caller.
    pub request: String,
    /// Idempotency key, if the request had one.
    pub key: Option<String>,
    /// Name of the upstream.
    pub upstream: String,
    /// How the run ended, or `None` while it is in progress.
    pub end: Option<RunEnd>,
}

/// Index of a run in the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunIndex(usize);

/// The runs of all upstreams that share the ledger, ordered by start.
#[derive(Debug, Default)]
pub struct RequestLedger {
    records: Mutex<Vec<RunRecord>>,
}

/// Snapshot of a ledger, indexed by attempt and by request.
#[derive(Debug, Default)]
pub struct LedgerIndex {
    runs_by_attempt: HashMap<String, Vec<RunRecord>>,
    runs_by_request: HashMap<String, Vec<RunRecord>>,
}

impl RequestLedger {
    /// Creates an empty ledger.
    pub fn new() -> RequestLedger {
        RequestLedger::default()
    }

    /// Records that `upstream` starts running a request.
    pub fn start(&self, request: &str, key: Option<&str>, upstream: &str) -> RunIndex {
        let mut records = self.lock();
        records.push(RunRecord {
            request: request.to_owned(),
            key: key.map(str::to_owned),
            upstream: upstream.to_owned(),
            end: None,
        });
        RunIndex(records.len() - 1)
    }

    /// Records how a run ended. Only the first recorded end is kept.
    pub fn end(&self, run: RunIndex, end: RunEnd) {
        let record = &mut self.lock()[run.0];
        record.end.get_or_insert(end);
    }

    /// Returns the number of runs that were started.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Returns whether no run was started.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    /// Returns the number of runs that have not ended.
    pub fn unfinished_runs(&self) -> usize {
        self.lock().iter().filter(|record| record.end.is_none()).count()
    }

    /// Returns a copy of all runs, ordered by start.
    pub fn records(&self) -> Vec<RunRecord> {
        self.lock().clone()
    }

    /// Returns the number of runs with this idempotency key.
    pub fn runs_with_key(&self, key: &str) -> usize {
        self.lock().iter().filter(|record| record.key.as_deref() == Some(key)).count()
    }

    /// Indexes a snapshot of the runs by attempt and by request.
    pub fn index(&self) -> LedgerIndex {
        let mut index = LedgerIndex::default();
        for record in self.records() {
            let request = request_id(&record.request).to_owned();
            index.runs_by_request.entry(request).or_default().push(record.clone());
            index.runs_by_attempt.entry(record.request.clone()).or_default().push(record);
        }
        index
    }

    fn lock(&self) -> MutexGuard<'_, Vec<RunRecord>> {
        lock(&self.records)
    }
}

impl LedgerIndex {
    /// Returns the runs of an attempt.
    pub fn attempt(&self, attempt: &str) -> &[RunRecord] {
        self.runs_by_attempt.get(attempt).map_or(&[], Vec::as_slice)
    }

    /// Returns the runs of all attempts of a request.
    pub fn request(&self, request: &str) -> &[RunRecord] {
        self.runs_by_request.get(request).map_or(&[], Vec::as_slice)
    }
}

/// Returns the identifier of the request of an attempt: `17.2` is the third attempt of request `17`.
pub fn request_id(attempt: &str) -> &str {
    attempt.rsplit_once('.').map_or(attempt, |(request, _)| request)
}
