//! A table of what a fleet refused, failed or answered late, and why, from the logs of its nodes.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};
use std::io::{self, BufRead};

use fescuestack_routing::LossCause;
use serde::Deserialize;

/// Rows of the table by second. The ones with most losses are shown.
const MAX_SECOND_ROWS: usize = 12;

/// Name of a data centre or route that the logs do not tell.
const UNKNOWN: &str = "?";

/// The line that tells the data centre of a node.
const NODE_STARTED_TEXT: &str = "node started";

/// The line of a request that got no answer of a target.
const NOT_SERVED_TEXT: &str = "request not served";

/// The line of a request whose answer was late or a failure.
const LATE_OR_FAILED_TEXT: &str = "request answered late or with a failure";

/// How a request was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LossKind {
    /// It was told that it has not run.
    Refused,
    /// Its outcome is not known, or is a failure.
    Failed,
    /// It was answered after its aim.
    Late,
}

/// The fields of a log line that matter here.
#[derive(Debug, Deserialize)]
struct LogLine<'a> {
    #[serde(borrow)]
    text: Cow<'a, str>,
    #[serde(borrow, default)]
    time: Cow<'a, str>,
    #[serde(borrow, default)]
    data_centre: Cow<'a, str>,
    #[serde(borrow, default)]
    route: Cow<'a, str>,
    #[serde(borrow, default)]
    cause: Cow<'a, str>,
    #[serde(borrow, default)]
    fault: Cow<'a, str>,
    #[serde(default)]
    status: u16,
}

/// Numbers of lost requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct LossCounts {
    refused: u64,
    failed: u64,
    late: u64,
}

impl LossCounts {
    fn add(&mut self, kind: LossKind) {
        match kind {
            LossKind::Refused => self.refused += 1,
            LossKind::Failed => self.failed += 1,
            LossKind::Late => self.late += 1,
        }
    }

    fn total(self) -> u64 {
        self.refused + self.failed + self.late
    }
}

/// Lost requests by cause, route, data centre and second.
#[derive(Debug, Default)]
pub struct LossTable {
    causes: BTreeMap<LossCause, LossCounts>,
    routes: BTreeMap<String, LossCounts>,
    data_centres: BTreeMap<String, LossCounts>,
    /// With the causes of each second, to tell the most frequent one.
    seconds: BTreeMap<String, (LossCounts, BTreeMap<LossCause, u64>)>,
    /// Data centres of the nodes.
    node_data_centres: BTreeMap<String, String>,
    unreadable_lines: u64,
}

impl LossTable {
    /// Creates an empty table.
    pub fn new() -> LossTable {
        LossTable::default()
    }

    /// Adds the log of one or more nodes. `name` stands for the node where a line does not tell it. The node's
    /// name may stand before a line. Fails if the log cannot be read.
    pub fn read_log(&mut self, name: &str, log: impl BufRead) -> io::Result<()> {
        for line in log.split(b'\n') {
            let line = line?;
            let line = String::from_utf8_lossy(&line);
            let Some(start) = line.find('{') else { continue };
            let (prefix, json) = line.split_at(start);
            let node = prefix.split_whitespace().last().unwrap_or(name);
            match serde_json::from_str::<LogLine<'_>>(json) {
                Ok(line) => self.add_line(node, &line),
                // A line that was cut off on its way to the file.
                Err(_) if json.contains(NOT_SERVED_TEXT) || json.contains(LATE_OR_FAILED_TEXT) => {
                    self.unreadable_lines += 1;
                }
                Err(_) => (),
            }
        }
        Ok(())
    }

    fn add_line(&mut self, node: &str, line: &LogLine<'_>) {
        let kind = match &*line.text {
            NODE_STARTED_TEXT => {
                self.node_data_centres
                    .insert(node.to_owned(), line.data_centre.clone().into_owned());
                return;
            }
            NOT_SERVED_TEXT if line.fault.starts_with("NotRun") => LossKind::Refused,
            NOT_SERVED_TEXT => LossKind::Failed,
            LATE_OR_FAILED_TEXT if line.status >= 500 => LossKind::Failed,
            LATE_OR_FAILED_TEXT => LossKind::Late,
            _ => return,
        };
        let Some(cause) = LossCause::from_label(&line.cause) else {
            self.unreadable_lines += 1;
            return;
        };
        let data_centre =
            self.node_data_centres.get(node).map_or(UNKNOWN, String::as_str).to_owned();
        let route = if line.route.is_empty() { UNKNOWN } else { &line.route };
        let second = line.time.get(11..19).unwrap_or(UNKNOWN);
        self.causes.entry(cause).or_default().add(kind);
        self.routes.entry(route.to_owned()).or_default().add(kind);
        self.data_centres.entry(data_centre).or_default().add(kind);
        let (counts, causes) = self.seconds.entry(second.to_owned()).or_default();
        counts.add(kind);
        *causes.entry(cause).or_default() += 1;
    }
}

impl Display for LossTable {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        write_rows(
            out,
            "cause",
            self.causes.iter().map(|(cause, counts)| (cause.label(), *counts)),
        )?;
        write_rows(out, "route", self.routes.iter().map(|(name, counts)| (&**name, *counts)))?;
        let data_centres = self.data_centres.iter().map(|(name, counts)| (&**name, *counts));
        write_rows(out, "data centre", data_centres)?;
        let mut seconds: Vec<_> = self.seconds.iter().collect();
        seconds.sort_by_key(|(_, (counts, _))| std::cmp::Reverse(counts.total()));
        seconds.truncate(MAX_SECOND_ROWS);
        seconds.sort_by_key(|(second, _)| *second);
        write_header(out, "second")?;
        for (second, (counts, causes)) in seconds {
            let most_frequent = causes.iter().max_by_key(|(_, count)| **count);
            let cause = most_frequent.map_or("", |(cause, _)| cause.label());
            write_row(out, second, *counts)?;
            writeln!(out, "  mostly {cause}")?;
        }
        if self.unreadable_lines > 0 {
            writeln!(out, "\n{} lines could not be read", self.unreadable_lines)?;
        }
        Ok(())
    }
}

fn write_rows<'a>(
    out: &mut Formatter<'_>,
    title: &str,
    rows: impl Iterator<Item = (&'a str, LossCounts)>,
) -> fmt::Result {
    let mut rows: Vec<_> = rows.collect();
    rows.sort_by_key(|(name, counts)| (std::cmp::Reverse(counts.total()), *name));
    write_header(out, title)?;
    for (name, counts) in rows {
        write_row(out, name, counts)?;
        writeln!(out)?;
    }
    writeln!(out)
}

fn write_header(out: &mut Formatter<'_>, title: &str) -> fmt::Result {
    writeln!(out, "{title:<24} {:>8} {:>8} {:>8}", "refused", "failed", "late")
}

fn write_row(out: &mut Formatter<'_>, name: &str, counts: LossCounts) -> fmt::Result {
    let LossCounts { refused, failed, late } = counts;
    write!(out, "{name:<24} {refused:>8} {failed:>8} {late:>8}")
}
