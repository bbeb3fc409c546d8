//! Report of a load: the results seen by callers, checked against the ledger of the upstreams.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::arrivals::LoadSettings;
use crate::caller::AnswerVerdict;
use crate::generator::{DIRECT_PATH, NODE_PATH, RequestRecord};
use crate::ledger::{LedgerIndex, RunEnd};

/// Quantiles of a duration, in microseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct TimeQuantiles {
    /// Number of samples.
    pub count: u64,
    /// Median.
    pub p50_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// 99.9th percentile.
    pub p999_us: u64,
    /// Maximum.
    pub max_us: u64,
}

/// Counts from the ledger for the requests of a class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct LedgerCounts {
    /// Number of runs started.
    pub runs: u64,
    /// Violation: non-idempotent requests that ran more than once.
    pub duplicates: u64,
    /// Idempotent requests that ran more than once, which is allowed.
    pub repeated: u64,
    /// Violation: requests answered as done although no run of them finished.
    pub lost: u64,
    /// Runs cancelled or expired while their caller was still waiting.
    pub cut_off: u64,
    /// Runs that ended because their upstream was killed.
    pub killed: u64,
    /// Violation: attempts answered as not run although they ran.
    pub not_run_but_ran: u64,
}

/// Report on the requests of a class over a path.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct ClassReport {
    /// Label of the path.
    pub path: String,
    /// Label of the class.
    pub class: String,
    /// Number of requests sent.
    pub offered: u64,
    /// Requests whose first attempt was answered as done within the patience.
    pub answered: u64,
    /// Requests answered as done on a later attempt.
    pub answered_resent: u64,
    /// Requests whose last attempt was answered as not run.
    pub not_run: u64,
    /// Requests whose last attempt was answered as unknown.
    pub unknown: u64,
    /// Requests whose last attempt got no answer within the patience.
    pub gave_up: u64,
    /// Requests whose last attempt ended with a failed connection.
    pub broken: u64,
    /// Requests whose last answer was truncated, as detected from its HTTP framing.
    pub truncated: u64,
    /// Violation: requests answered as done with a malformed body or the answer to another request.
    pub foreign: u64,
    /// Number of last answers for each result code of the node.
    pub codes: BTreeMap<u16, u64>,
    /// Latency of requests answered on the first attempt, measured from the scheduled arrival.
    pub latency: TimeQuantiles,
    /// Latency minus the time that the upstream held the request.
    pub overhead: TimeQuantiles,
    /// Counts from the ledger, if the load has one.
    pub ledger: Option<LedgerCounts>,
}

/// Report of a load.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LoadReport {
    /// Seed for the load.
    pub seed: u64,
    /// Configured rate, in requests per second.
    pub rate: f64,
    /// Duration of the arrivals, in milliseconds.
    pub duration_ms: u64,
    /// Arrivals skipped because of the limit on open requests. If there are any, the load was not
    /// open-loop.
    pub skipped: u64,
    /// Total number of violations.
    pub violations: u64,
    /// Reports for each path and class with requests.
    pub classes: Vec<ClassReport>,
}

/// Latency that the nodes add to a class.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct AddedLatency {
    /// Label of the class.
    pub class: String,
    /// Difference between the medians of the overhead, in microseconds.
    pub p50_us: i64,
    /// Difference between the 99th percentiles of the overhead, in microseconds.
    pub p99_us: i64,
    /// Difference between the 99.9th percentiles of the overhead, in microseconds.
    pub p999_us: i64,
}

/// Report of a comparison between calls through nodes and direct calls.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct MeasureReport {
    /// Overhead of calls through nodes minus that of direct calls, for each class sent over both paths.
    pub added: Vec<AddedLatency>,
    /// Report of the load over both paths.
    pub load: LoadReport,
}

impl TimeQuantiles {
    fn new(histogram: &Histogram<u64>) -> TimeQuantiles {
        TimeQuantiles {
            count: histogram.len(),
            p50_us: histogram.value_at_quantile(0.5),
            p99_us: histogram.value_at_quantile(0.99),
            p999_us: histogram.value_at_quantile(0.999),
            max_us: histogram.max(),
        }
    }
}

impl ClassReport {
    /// Returns the number of violated guarantees.
    pub fn violations(&self) -> u64 {
        let ledger = self.ledger.unwrap_or_default();
        self.foreign + ledger.duplicates + ledger.lost + ledger.not_run_but_ran
    }

    fn count_request(&mut self, record: &RequestRecord) {
        self.offered += 1;
        let Some(last) = record.attempts.last() else { return };
        let is_first = record.attempts.len() == 1;
        let counter = match last.answer.verdict {
            AnswerVerdict::Done { .. } if is_first => &mut self.answered,
            AnswerVerdict::Done { .. } => &mut self.answered_resent,
            AnswerVerdict::NotRun => &mut self.not_run,
            AnswerVerdict::Unknown => &mut self.unknown,
            AnswerVerdict::Truncated => &mut self.truncated,
            AnswerVerdict::Foreign => &mut self.foreign,
            AnswerVerdict::Broken => &mut self.broken,
            AnswerVerdict::GaveUp => &mut self.gave_up,
        };
        *counter += 1;
        if let Some(code) = last.answer.code {
            *self.codes.entry(code).or_default() += 1;
        }
    }
}

impl LedgerCounts {
    fn count_runs(&mut self, record: &RequestRecord, is_idempotent: bool, index: &LedgerIndex) {
        let runs = index.request(&record.request);
        self.runs += runs.len() as u64;
        if runs.len() > 1 {
            let counter = if is_idempotent { &mut self.repeated } else { &mut self.duplicates };
            *counter += 1;
        }
        let is_done = |verdict| matches!(verdict, AnswerVerdict::Done { .. });
        let answered = record.attempts.iter().any(|attempt| is_done(attempt.answer.verdict));
        let finished = runs.iter().any(|run| run.end == Some(RunEnd::Finished));
        self.lost += u64::from(answered && !finished);
        for attempt in &record.attempts {
            let runs = index.attempt(&attempt.attempt);
            let verdict = attempt.answer.verdict;
            self.not_run_but_ran += u64::from(verdict == AnswerVerdict::NotRun && !runs.is_empty());
            let runs_ended_by = |end| runs.iter().filter(|run| run.end == Some(end)).count() as u64;
            self.killed += runs_ended_by(RunEnd::Killed);
            // A run that ended because its caller gave up is not counted as cut off.
            let caller_gave_up =
                verdict == AnswerVerdict::GaveUp || attempt.answer.code == Some(303);
            if !caller_gave_up {
                self.cut_off += runs_ended_by(RunEnd::Cancelled) + runs_ended_by(RunEnd::Expired);
            }
        }
    }
}

impl LoadReport {
    /// Builds the report of a load that has ended.
    pub fn new(
        settings: &LoadSettings,
        records: &[RequestRecord],
        skipped: u64,
        index: Option<&LedgerIndex>,
    ) -> LoadReport {
        let mut classes = Vec::new();
        for (path, load_path) in settings.paths.iter().enumerate() {
            for class in 0..settings.classes.len() {
                let has_path_and_class =
                    |record: &&RequestRecord| record.path == path && record.class == class;
                let class_records: Vec<_> = records.iter().filter(has_path_and_class).collect();
                if !class_records.is_empty() {
                    let report = report_class(settings, class, &class_records, index);
                    classes.push(ClassReport { path: load_path.label.clone(), ..report });
                }
            }
        }
        LoadReport {
            seed: settings.seed,
            rate: settings.rate,
            duration_ms: settings.duration_ms,
            skipped,
            violations: classes.iter().map(ClassReport::violations).sum(),
            classes,
        }
    }

    /// Returns the report on a class over a path.
    pub fn class(&self, path: &str, class: &str) -> Option<&ClassReport> {
        self.classes.iter().find(|report| report.path == path && report.class == class)
    }
}

fn report_class(
    settings: &LoadSettings,
    class: usize,
    records: &[&RequestRecord],
    index: Option<&LedgerIndex>,
) -> ClassReport {
    let class = &settings.classes[class];
    let mut report = ClassReport { class: class.label.clone(), ..ClassReport::default() };
    let mut ledger = LedgerCounts::default();
    // Three significant digits are enough to distinguish 1.300 ms from 1.301 ms.
    let mut latency: Histogram<u64> =
        Histogram::new(3).expect("three significant digits are valid");
    let mut overhead = latency.clone();
    for record in records {
        report.count_request(record);
        if let Some(index) = index {
            ledger.count_runs(record, class.kind.is_idempotent(), index);
        }
        if let [attempt] = &record.attempts[..]
            && let AnswerVerdict::Done { held_us } = attempt.answer.verdict
        {
            // `saturating_record` does not resize the histogram and would clamp values to its initial range.
            latency += record.latency_us;
            overhead += record.latency_us.saturating_sub(held_us);
        }
    }
    report.latency = TimeQuantiles::new(&latency);
    report.overhead = TimeQuantiles::new(&overhead);
    report.ledger = index.map(|_| ledger);
    report
}

impl MeasureReport {
    /// Compares the two paths of a load that has ended.
    pub fn new(load: LoadReport) -> MeasureReport {
        let node_reports = load.classes.iter().filter(|report| report.path == NODE_PATH);
        let added = node_reports.filter_map(|node| {
            let direct = load.class(DIRECT_PATH, &node.class)?;
            let difference = |node: u64, direct: u64| node as i64 - direct as i64;
            Some(AddedLatency {
                class: node.class.clone(),
                p50_us: difference(node.overhead.p50_us, direct.overhead.p50_us),
                p99_us: difference(node.overhead.p99_us, direct.overhead.p99_us),
                p999_us: difference(node.overhead.p999_us, direct.overhead.p999_us),
            })
        });
        MeasureReport { added: added.collect(), load }
    }
}
