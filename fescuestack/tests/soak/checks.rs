//! Guarantees that follow from what targets ran and what callers received.

use std::collections::BTreeMap;

use fescuestack_platform_standin::StandinApplication;

use crate::callers::CallerRecord;

/// Number of targets that a request may reach, as the routes allow.
const MAX_ATTEMPTS: usize = 2;

/// Returns all violations up to now.
pub fn find_violations<'a>(
    targets: impl Iterator<Item = &'a StandinApplication>,
    record: &CallerRecord,
) -> Vec<String> {
    let mut runs: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for (index, target) in targets.enumerate() {
        for run in target.runs() {
            runs.entry(run.id).or_default().push(format!("t{index}"));
        }
    }
    let mut violations = record.violations.clone();
    for (id, targets) in &runs {
        if id.starts_with('p') && targets.len() > 1 {
            violations.push(format!("{id}: an unsafe request ran more than once: {targets:?}"));
        }
        if targets.len() > MAX_ATTEMPTS {
            violations.push(format!("{id}: ran more often than allowed: {targets:?}"));
        }
    }
    for (id, answer) in &record.answers {
        let targets = runs.get(id).map_or(&[][..], Vec::as_slice);
        let (status, origin) = (answer.status, &answer.origin);
        if answer.is_promise() && !targets.is_empty() {
            violations.push(format!("{id}, {origin}: refused with {status}, but ran: {targets:?}"));
        }
        if let Some(signature) = &answer.signature
            && !targets.contains(signature)
        {
            let text = format!("{id}, {origin}: {status} of {signature}, but ran: {targets:?}");
            violations.push(text);
        }
    }
    violations
}
