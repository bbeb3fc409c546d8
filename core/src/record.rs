//! Recording of a control state's inputs, and their replay.

use std::collections::VecDeque;
use std::fmt::Write;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::clock::ClockTime;
use crate::config::NodeName;
use crate::control::{ControlAction, ControlInput, ControlSettings, ReadAnswer};
use crate::message::{MemberState, PeerMessage};
use crate::state::ControlState;
use crate::status::ControlStatus;
use crate::version::{PartHash, VersionId};
use crate::versions::content_bytes;

/// Hexadecimal digits of an actions digest that are kept. Eight tell a changed decision from the
/// recorded one with near certainty.
const DIGEST_DIGITS: usize = 8;

/// Bytes of content that a ring holds. Without it, the 64 KB pieces of transfers would fill 256 MB in a
/// ring of 4,096 inputs.
const RING_BYTES: usize = 8 * 1024 * 1024;

/// First line of a recording.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordHeader {
    /// Settings of the recorded state.
    pub settings: ControlSettings,
    /// Seed of its random numbers.
    pub seed: u64,
    /// Inputs dropped from the start because the ring was full. Such a recording can be read but
    /// not replayed.
    pub dropped: u64,
}

/// An input with the time it came and a digest of the actions it led to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedInput {
    /// When the input came.
    pub at: ClockTime,
    /// The input.
    pub input: ControlInput,
    /// Digest of the actions.
    pub actions: String,
}

/// What must hold at a point of a recording.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StatedOutcome {
    /// This version is active.
    Active(VersionId),
    /// This version was not installed up to here.
    NeverInstalled(VersionId),
    /// A member is seen in this state.
    Member {
        /// Name of the member.
        name: NodeName,
        /// Its state.
        state: MemberState,
    },
    /// The version is among the rejected ones.
    Rejected(VersionId),
    /// At most so many calls to the platform were made up to here.
    PlatformCallsAtMost(u64),
}

/// A line of a recording after the first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
enum RecordLine {
    Input(RecordedInput),
    Outcome { outcome: StatedOutcome },
}

/// A bounded ring of the latest inputs of a control state.
#[derive(Debug, Clone)]
pub struct ControlRecorder {
    header: RecordHeader,
    limit: usize,
    ring: VecDeque<RecordedInput>,
    bytes: usize,
}

impl ControlRecorder {
    /// Creates a recorder that keeps the latest `limit` inputs.
    pub fn new(settings: ControlSettings, seed: u64, limit: usize) -> ControlRecorder {
        let header = RecordHeader { settings, seed, dropped: 0 };
        ControlRecorder { header, limit, ring: VecDeque::new(), bytes: 0 }
    }

    /// Records an input and the actions it led to.
    pub fn record(&mut self, at: ClockTime, input: ControlInput, actions: &[ControlAction]) {
        self.bytes += input_bytes(&input);
        while self.ring.len() >= self.limit || (self.bytes > RING_BYTES && !self.ring.is_empty()) {
            if let Some(oldest) = self.ring.pop_front() {
                self.bytes -= input_bytes(&oldest.input);
            }
            self.header.dropped += 1;
        }
        self.ring.push_back(RecordedInput { at, input, actions: digest_actions(actions) });
    }

    /// The recording as lines of JSON, the header first.
    pub fn lines(&self) -> impl Iterator<Item = String> + '_ {
        let header = encode_line(&self.header);
        std::iter::once(header).chain(self.ring.iter().map(encode_line))
    }
}

/// Bytes of configuration content in an input.
fn input_bytes(input: &ControlInput) -> usize {
    match input {
        ControlInput::Peer { message: PeerMessage::Push { delta, .. }, .. } => content_bytes(delta),
        ControlInput::Peer { message: PeerMessage::Chunk { content, .. }, .. } => content.len(),
        ControlInput::HeadRead { result }
        | ControlInput::VmsRead { result }
        | ControlInput::ValueRead { result, .. } => match result {
            Ok(ReadAnswer::Found(record)) => record.content.len(),
            _ => 0,
        },
        _ => 0,
    }
}

/// A stated outcome as a line to append to a recording.
pub fn outcome_line(outcome: StatedOutcome) -> String {
    encode_line(&RecordLine::Outcome { outcome })
}

fn encode_line(line: &impl Serialize) -> String {
    serde_json::to_string(line).expect("recordings hold only values that JSON can express")
}

/// Digest of what the host is told to do. Installed snapshots are represented by their version.
fn digest_actions(actions: &[ControlAction]) -> String {
    let mut text = String::new();
    for action in actions {
        let written = match action {
            ControlAction::Send { to, message } => {
                write!(text, "send {} {};", to.name, encode_line(message))
            }
            ControlAction::Install(snapshot) => write!(text, "install {};", snapshot.version()),
            other => write!(text, "{other:?};"),
        };
        written.expect("writing to a string does not fail");
    }
    let mut digest = PartHash::new(text.as_bytes()).to_string();
    digest.truncate(DIGEST_DIGITS);
    digest
}

/// Result of a replay without differences.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplayReport {
    /// Inputs replayed.
    pub inputs: usize,
    /// Stated outcomes that were checked.
    pub outcomes: usize,
    /// Versions installed, in order.
    pub installed: Vec<VersionId>,
    /// State at the end.
    pub status: ControlStatus,
}

/// Why a replay stopped. Lines are counted from 1.
#[derive(Debug, Snafu)]
pub enum ReplayMismatch {
    /// The recording has no header.
    #[snafu(display("the recording is empty"))]
    Empty,
    /// A line cannot be parsed.
    #[snafu(display("line {line}: {source}"))]
    Syntax {
        /// The line.
        line: usize,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// The start of the recording is missing.
    #[snafu(display("the first {dropped} inputs are missing, so it cannot be replayed"))]
    Incomplete {
        /// Number of missing inputs.
        dropped: u64,
    },
    /// An input led to other actions than recorded.
    #[snafu(display("line {line}: {input} led to actions {found}, recorded are {recorded}"))]
    Actions {
        /// The line.
        line: usize,
        /// The input.
        input: String,
        /// Digest of the recorded actions.
        recorded: String,
        /// Digest of the actions in the replay.
        found: String,
    },
    /// A stated outcome does not hold.
    #[snafu(display("line {line}: stated {stated}, found {found}"))]
    Outcome {
        /// The line.
        line: usize,
        /// What is stated.
        stated: String,
        /// What holds instead.
        found: String,
    },
}

/// Feeds a recording to a new control state. Fails at the first input that leads to other actions
/// than recorded and at the first stated outcome that does not hold.
pub fn replay<'a>(
    lines: impl IntoIterator<Item = &'a str>,
) -> Result<ReplayReport, ReplayMismatch> {
    let mut lines = lines.into_iter().enumerate().map(|(index, text)| (index + 1, text));
    let (line, text) = lines.next().ok_or(ReplayMismatch::Empty)?;
    let header: RecordHeader = parse_line(line, text)?;
    if header.dropped > 0 {
        return Err(ReplayMismatch::Incomplete { dropped: header.dropped });
    }
    let mut state = ControlState::new(header.settings, header.seed);
    let mut installed = Vec::new();
    let (mut inputs, mut outcomes) = (0, 0);
    for (line, text) in lines.filter(|(_, text)| !text.trim().is_empty()) {
        match parse_line(line, text)? {
            RecordLine::Input(recorded) => {
                replay_input(&mut state, line, recorded, &mut installed)?;
                inputs += 1;
            }
            RecordLine::Outcome { outcome } => {
                check_outcome(&state.status(), &installed, line, &outcome)?;
                outcomes += 1;
            }
        }
    }
    Ok(ReplayReport { inputs, outcomes, installed, status: state.status() })
}

fn parse_line<'a, T: Deserialize<'a>>(line: usize, text: &'a str) -> Result<T, ReplayMismatch> {
    serde_json::from_str(text).map_err(|source| ReplayMismatch::Syntax { line, source })
}

fn replay_input(
    state: &mut ControlState,
    line: usize,
    recorded: RecordedInput,
    installed: &mut Vec<VersionId>,
) -> Result<(), ReplayMismatch> {
    let label = input_label(&recorded.input);
    let mut actions = Vec::new();
    state.handle(recorded.at, recorded.input, &mut actions);
    for action in &actions {
        if let ControlAction::Install(snapshot) = action {
            installed.push(snapshot.version());
        }
    }
    let found = digest_actions(&actions);
    if found == recorded.actions {
        return Ok(());
    }
    let input = format!("{label} at {}", recorded.at.millis());
    Err(ReplayMismatch::Actions { line, input, recorded: recorded.actions, found })
}

fn input_label(input: &ControlInput) -> String {
    match input {
        ControlInput::Tick => "tick".to_owned(),
        ControlInput::Peer { from, message } => format!("{} from {}", message.label(), from.name),
        ControlInput::HeadRead { .. } => "head read".to_owned(),
        ControlInput::ValueRead { key, .. } => format!("read of {key}"),
        ControlInput::VmsRead { .. } => "VM list read".to_owned(),
        ControlInput::LinkLost { peer } => format!("lost link to {}", peer.name),
        ControlInput::CrashSeen { .. } => "crash".to_owned(),
        ControlInput::RunsCompleted { .. } => "completed runs".to_owned(),
        ControlInput::Leave => "leave".to_owned(),
    }
}

fn check_outcome(
    status: &ControlStatus,
    installed: &[VersionId],
    line: usize,
    outcome: &StatedOutcome,
) -> Result<(), ReplayMismatch> {
    let (holds, found) = match outcome {
        StatedOutcome::Active(version) => {
            (status.active == *version, format!("active {}", status.active))
        }
        StatedOutcome::NeverInstalled(version) => {
            (!installed.contains(version), format!("installed {installed:?}"))
        }
        StatedOutcome::Member { name, state } => {
            let member = status.members.iter().find(|member| member.name == *name);
            let found = member.map(|member| member.state);
            (found == Some(*state), format!("{name} is {found:?}"))
        }
        StatedOutcome::Rejected(version) => {
            let rejected = status.rejected.iter().any(|entry| entry.version == *version);
            (rejected, format!("rejected {:?}", status.rejected))
        }
        StatedOutcome::PlatformCallsAtMost(limit) => {
            let calls = status.counters.platform_calls;
            (calls <= *limit, format!("{calls} calls"))
        }
    };
    if holds {
        return Ok(());
    }
    Err(ReplayMismatch::Outcome { line, stated: format!("{outcome:?}"), found })
}
