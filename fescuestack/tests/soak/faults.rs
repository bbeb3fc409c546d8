//! Faults that the soak injects, and the choice among them.

use std::time::Duration;

use fescuestack_platform_standin::{
    AnswerCopies, ApplicationMode, CopiedAnswers, StandinApplication, StoreMode,
};
use http::StatusCode;
use rand::{Rng, RngExt};
use rand_pcg::Pcg64;

/// Answers that targets copy.
const COPIED_ANSWERS: [CopiedAnswers; 3] =
    [CopiedAnswers::All, CopiedAnswers::Refusals, CopiedAnswers::Results];

/// Answers that targets copy which refuse each request once.
const COPIED_REFUSALS: [CopiedAnswers; 2] = [CopiedAnswers::All, CopiedAnswers::Refusals];

/// Delays of copied answers in milliseconds. Those without a delay are sent in one write with the answer.
const COPY_DELAYS_MS: [u64; 7] = [0, 1, 5, 10, 15, 50, 150];

/// Statuses of answers that a request was not executed.
const REFUSAL_STATUSES: [u16; 4] = [503, 429, 421, 400];

/// Statuses of failures of requests that were executed.
const FAILURE_STATUSES: [u16; 3] = [500, 503, 429];

/// Processing times of targets, in milliseconds.
const PROCESSING_TIMES_MS: [u64; 3] = [20, 60, 150];

/// A fault, or the end of one. Those of processes and targets act on one node and its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SoakFault {
    /// Kills a process.
    Kill,
    /// Stops a process with its grace period.
    Stop,
    /// Pauses a process, or continues it if it is paused.
    Pause,
    /// Asks a process to read its settings again.
    Reload,
    /// Stops a process, and kills its neighbour while it stops.
    KillBesideStop,
    /// Stops several processes, one shortly after the other.
    StopSeries,
    /// Changes the settings file, with or without a signal.
    SettingsChange,
    StoreUnavailable,
    StoreUnresponsive,
    StoreWatchUnresponsive,
    StoreHealthy,
    StoreCompaction,
    /// Writes a configuration in which routes may lead to the other service.
    ConfigChange,
    /// Writes several configurations, one shortly after the other.
    ConfigSeries,
    TargetServes,
    TargetDrops,
    TargetRefuses,
    /// The target refuses each request once.
    TargetRefusesFirst,
    TargetFails,
    /// Changes the processing time of the target.
    TargetSpeed,
    /// All targets become slow, so that queues grow.
    SlowTargets,
    /// All targets have their usual processing time again.
    FastTargets,
    /// The target sends copies of answers.
    AnswerCopies,
    AnswerCopiesEnd,
    /// The target is listed under a second id, which it takes.
    SecondId,
    /// The target is listed under an id that it refuses with 421.
    FormerId,
    /// Both ids are removed.
    IdsRemoved,
    /// A target with a second id refuses each request once and sends copies.
    CopiedRefusals,
}

/// All faults. More frequent ones are listed more than once.
const FAULTS: [SoakFault; 36] = {
    use SoakFault::*;
    [
        Kill,
        Stop,
        Pause,
        Pause,
        Reload,
        KillBesideStop,
        StopSeries,
        SettingsChange,
        StoreUnavailable,
        StoreUnresponsive,
        StoreWatchUnresponsive,
        StoreHealthy,
        StoreHealthy,
        StoreCompaction,
        ConfigChange,
        ConfigSeries,
        TargetServes,
        TargetServes,
        TargetServes,
        TargetDrops,
        TargetRefuses,
        TargetRefusesFirst,
        TargetFails,
        TargetSpeed,
        SlowTargets,
        FastTargets,
        FastTargets,
        AnswerCopies,
        AnswerCopies,
        AnswerCopiesEnd,
        SecondId,
        FormerId,
        IdsRemoved,
        CopiedRefusals,
        CopiedRefusals,
        CopiedRefusals,
    ]
};

impl SoakFault {
    pub fn choose(random: &mut Pcg64) -> SoakFault {
        choose(&FAULTS, random)
    }

    /// Returns what the store does from now on, if the fault concerns that.
    pub fn store_mode(self) -> Option<StoreMode> {
        match self {
            SoakFault::StoreUnavailable => Some(StoreMode::Unavailable),
            SoakFault::StoreUnresponsive => Some(StoreMode::Unresponsive),
            SoakFault::StoreWatchUnresponsive => Some(StoreMode::WatchUnresponsive),
            SoakFault::StoreHealthy => Some(StoreMode::Healthy),
            _ => None,
        }
    }

    /// Changes how the target behaves, if the fault concerns that.
    pub fn apply_to_target(self, target: &StandinApplication, random: &mut Pcg64) {
        match self {
            SoakFault::TargetServes => target.set_mode(ApplicationMode::Serve),
            SoakFault::TargetDrops => target.set_mode(ApplicationMode::Drop),
            SoakFault::TargetRefuses => refuse(target, ApplicationMode::Refuse, random),
            SoakFault::TargetRefusesFirst => refuse(target, ApplicationMode::RefuseFirst, random),
            SoakFault::TargetFails => {
                target.set_failure_status(choose_status(&FAILURE_STATUSES, random));
                target.set_mode(ApplicationMode::Fail);
            }
            SoakFault::TargetSpeed => {
                let time_ms = choose(&PROCESSING_TIMES_MS, random);
                target.set_processing_time(Duration::from_millis(time_ms));
            }
            SoakFault::AnswerCopies => {
                target.set_answer_copies(Some(choose_copies(&COPIED_ANSWERS, random)))
            }
            SoakFault::AnswerCopiesEnd => end_copies(target),
            SoakFault::CopiedRefusals => {
                target.set_answer_copies(Some(choose_copies(&COPIED_REFUSALS, random)));
                refuse(target, ApplicationMode::RefuseFirst, random);
            }
            _ => (),
        }
    }
}

fn refuse(target: &StandinApplication, mode: ApplicationMode, random: &mut Pcg64) {
    target.set_refusal_status(choose_status(&REFUSAL_STATUSES, random));
    target.set_mode(mode);
}

/// Ends copies. A rule without copies stays, so that later ones apply to the connections of the meantime.
pub fn end_copies(target: &StandinApplication) {
    let copies = AnswerCopies::new(CopiedAnswers::All, Duration::ZERO).with_count(0);
    target.set_answer_copies(Some(copies));
}

fn choose_copies(answers: &[CopiedAnswers], random: &mut Pcg64) -> AnswerCopies {
    let answers = choose(answers, random);
    let delay = Duration::from_millis(choose(&COPY_DELAYS_MS, random));
    AnswerCopies::new(answers, delay).with_count(random.random_range(1..=2))
}

fn choose_status(statuses: &[u16], random: &mut Pcg64) -> StatusCode {
    StatusCode::from_u16(choose(statuses, random)).expect("a status")
}

fn choose<T: Copy>(items: &[T], random: &mut Pcg64) -> T {
    items[random.next_u64() as usize % items.len()]
}
