//! Table of the refused, failed and late requests of a fleet by cause, from the logs of its nodes.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};
use std::io::{self, BufRead};

use fescuestack_routing::LossCause;
use serde::Deserialize;

/// Maximum number of rows in the table by second. The seconds with the most losses are shown.
const MAX_SECOND_ROWS: usize = 12;

/// Label of a data centre, route or second that is missing in the logs.
const UNKNOWN: &str = "?";

/// Text of the log line with the data centre of a node.
const NODE_STARTED_TEXT: &str = "node started";

/// Text of the log line of a request without a response of a target.
const NOT_SERVED_TEXT: &str = "request not served";

/// Text of the log line of a request whose response was late or a failure.
const LATE_OR_FAILED_TEXT: &str = "request answered late or with a failure";

/// Kind of a lost request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LossKind {
    /// The client was told that the request did not run.
    Refused,
    /// The outcome is unknown or a failure.
    Failed,
    /// The response came after the latency aim.
    Late,
}

/// Fields of a log line that the table uses.
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

/// Numbers of lost requests by kind.
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
    /// Counts per second, and the number of losses per cause to find the most frequent cause.
    seconds: BTreeMap<String, (LossCounts, BTreeMap<LossCause, u64>)>,
    /// Data centre of each node.
    node_data_centres: BTreeMap<String, String>,
    unreadable_lines: u64,
}

impl LossTable {
    /// Creates an empty table.
    pub fn new() -> LossTable {
        LossTable::default()
    }

    /// Adds the log of one or more nodes. Lines of a collected log may start with the name of the node. For
    /// lines without one, `name` is the name of the node. Fails if the log cannot be read.
    pub fn read_log(&mut self, name: &str, log: impl BufRead) -> io::Result<()> {
        for line in log.split(b'\n') {
            let line = line?;
            let line = String::from_utf8_lossy(&line);
            let Some(start) = line.find('{') else { continue };
            let (prefix, json) = line.split_at(start);
            let node = prefix.split_whitespace().last().unwrap_or(name);
            match serde_json::from_str::<LogLine<'_>>(json) {
                Ok(line) => self.add_line(node, &line),
                // A truncated line of a lost request.
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
