//! Which target of a service takes a call.

use std::fmt;
use std::sync::Arc;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use crate::clock::{ClockSpan, ClockTime};
use crate::config::{NodeName, TargetEntry};
use crate::snapshot::ServiceView;

/// Age from which a load report counts less.
const REPORT_FRESH: ClockSpan = ClockSpan::new(2_000);

/// Time over which a target that is new or has come back takes up its full share.
const SLOW_START: ClockSpan = ClockSpan::new(10_000);

/// Failures in a row after which a target is ejected.
const EJECT_FAILURES: u32 = 5;

/// At most one in this many targets of a service is ejected at the same time.
const EJECT_SHARE: usize = 3;

/// A wait this many times as long as the usual answer is a failure.
const SILENCE_FACTOR: u64 = 4;

/// Length of a first ejection.
const EJECT_MINIMUM: ClockSpan = ClockSpan::new(1_000);

/// Doublings of the ejection, to 32 s, which is cut to `EJECT_MAXIMUM`.
const EJECT_DOUBLINGS: u32 = 5;

/// Longest ejection.
const EJECT_MAXIMUM: ClockSpan = ClockSpan::new(30_000);

/// Random choices among the targets of the own data centre, and as many among the others.
const DRAWS: usize = 2;

/// Service time that is assumed for a target before anything is known of it, in µs.
const FIRST_SERVICE_MICROS: u64 = 1_000;

/// Weight of a new observation in a running mean: 1 / 8.
const MEAN_SHIFT: u64 = 8;

/// Load of a target, as its node reports it with each answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LoadReport {
    /// Calls that the upstream is running.
    pub running: u32,
    /// Calls that wait for a slot.
    pub queued: u32,
    /// Calls that the upstream runs at the same time.
    pub slots: u32,
    /// Mean service time, in µs.
    pub service_micros: u32,
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {} {}", self.running, self.queued, self.slots, self.service_micros)
    }
}

/// Parses the value of `fescuestack-load`: running, queued, slots and service time in µs.
pub fn scan_load(text: &str) -> Option<LoadReport> {
    let mut numbers = text.split(' ').map(|number| number.parse().ok());
    let mut next = || numbers.next().flatten();
    let report =
        LoadReport { running: next()?, queued: next()?, slots: next()?, service_micros: next()? };
    numbers.next().is_none().then_some(report)
}

/// What membership knows of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum TargetLiveness {
    /// It answers, or nothing to the contrary is known.
    #[default]
    Alive,
    /// It may be dead. It takes calls only when no target is alive.
    Suspect,
    /// It is shutting down and takes no new calls.
    Leaving,
    /// It takes no calls.
    Dead,
}

/// How a call to a target ended, as far as it concerns the target's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetOutcome {
    /// It answered after this time, in µs, without the delay of the link.
    Answered {
        /// Time from dispatch to the end of the answer.
        micros: u64,
    },
    /// It refused the call because of load.
    Refused,
    /// No connection, or a broken one.
    Failed,
    /// No answer before the caller's patience was over, after this time, in µs. It counts as a failure
    /// only when the target's answers usually take much less: the patience may have been short.
    Silent {
        /// Time since dispatch.
        micros: u64,
    },
    /// The call says nothing about the target: it was cancelled, or refused for its content.
    Uncounted,
}

/// A target chosen for a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetChoice {
    /// Name of the target.
    pub name: NodeName,
    /// Position among the service's targets at the time of the choice.
    pub index: usize,
}

#[derive(Debug, Clone)]
struct TargetState {
    name: NodeName,
    slots: u32,
    /// Time of a round trip, in µs.
    link_micros: u64,
    liveness: TargetLiveness,
    /// Calls of this node that have not ended.
    own: u32,
    report: LoadReport,
    seen_at: ClockTime,
    /// Running mean of the answer time, in µs; zero before the first answer.
    answer_micros: u64,
    failures: u32,
    ejections: u32,
    ejected_until: ClockTime,
    warm_from: ClockTime,
}

/// Chooses targets of a service for the calls of one node.
#[derive(Debug)]
pub struct TargetBalancer {
    data_centre: Arc<str>,
    link_delay: ClockSpan,
    rng: Pcg32,
    targets: Vec<TargetState>,
    /// Indexes of targets that may be chosen, in the own data centre and elsewhere.
    near: Vec<usize>,
    far: Vec<usize>,
    /// When an ejection ends and the candidates change.
    stale_at: Option<ClockTime>,
}

impl TargetBalancer {
    /// Creates the balancer of a node in `data_centre`. `link_delay` is the one-way delay to another
    /// data centre.
    pub fn new(
        service: &ServiceView,
        data_centre: Arc<str>,
        link_delay: ClockSpan,
        seed: u64,
    ) -> TargetBalancer {
        let mut balancer = TargetBalancer {
            data_centre,
            link_delay,
            rng: Pcg32::seed_from_u64(seed),
            targets: Vec::new(),
            near: Vec::new(),
            far: Vec::new(),
            stale_at: None,
        };
        // What exists when this node starts is not cold for that reason.
        balancer.replace_targets(&service.targets, ClockTime::ZERO);
        balancer
    }

    /// Takes over the targets of a new configuration. Targets that stay keep what is known of them.
    pub fn update(&mut self, now: ClockTime, service: &ServiceView) {
        self.replace_targets(&service.targets, now);
        self.refresh(now);
    }

    /// Notes what membership knows of a target. One that comes back from dead starts slowly.
    pub fn set_liveness(&mut self, now: ClockTime, name: &str, liveness: TargetLiveness) {
        let Some(index) = self.find(name) else { return };
        let state = &mut self.targets[index];
        if state.liveness == liveness {
            return;
        }
        if state.liveness == TargetLiveness::Dead {
            state.warm_from = now;
            state.failures = 0;
        }
        state.liveness = liveness;
        self.refresh(now);
    }

    /// Notes that a target's upstream has been restarted, so that it is cold.
    pub fn restarted(&mut self, now: ClockTime, name: &str) {
        if let Some(index) = self.find(name) {
            self.targets[index].warm_from = now;
        }
    }

    /// Chooses a target other than those in `exclude` and counts the call as in flight there. `None`
    /// when no target can take the call. Every choice is ended with `finish`.
    pub fn choose(&mut self, now: ClockTime, exclude: &[NodeName]) -> Option<TargetChoice> {
        if self.stale_at.is_some_and(|at| at <= now) {
            self.refresh(now);
        }
        let index = self.sample(now, exclude)?;
        Some(self.begin(index))
    }

    /// Counts a call to a target that was determined by other means, such as the owner of a key.
    /// `None` when the service has no such target.
    pub fn choose_named(&mut self, name: &str) -> Option<TargetChoice> {
        let index = self.find(name)?;
        Some(self.begin(index))
    }

    /// What membership knows of a target.
    pub fn liveness(&self, name: &str) -> Option<TargetLiveness> {
        Some(self.targets[self.find(name)?].liveness)
    }

    /// Ends a call and learns from it.
    pub fn finish(
        &mut self,
        now: ClockTime,
        choice: &TargetChoice,
        outcome: TargetOutcome,
        load: Option<LoadReport>,
    ) {
        let known = self.targets.get(choice.index).is_some_and(|state| state.name == choice.name);
        let index = if known { Some(choice.index) } else { self.find(&choice.name) };
        let Some(index) = index else { return };
        let state = &mut self.targets[index];
        state.own = state.own.saturating_sub(1);
        if let Some(load) = load {
            state.report = load;
            state.seen_at = now;
        }
        if state.learn(outcome) {
            self.eject(now, index);
        }
    }

    /// One-way delay to a target.
    pub fn delay_to(&self, choice: &TargetChoice) -> ClockSpan {
        match self.targets.get(choice.index) {
            Some(state) if state.link_micros == 0 => ClockSpan::ZERO,
            _ => self.link_delay,
        }
    }

    /// Time that another attempt is expected to take, the link included.
    pub fn expected_time(&self) -> ClockSpan {
        let times = self.near.iter().chain(&self.far).map(|index| {
            let state = &self.targets[*index];
            state.answer_micros + state.link_micros
        });
        ClockSpan::new(times.min().unwrap_or(0).div_ceil(1000))
    }

    fn begin(&mut self, index: usize) -> TargetChoice {
        let state = &mut self.targets[index];
        state.own += 1;
        TargetChoice { name: state.name.clone(), index }
    }

    fn find(&self, name: &str) -> Option<usize> {
        self.targets.binary_search_by(|state| state.name.as_ref().cmp(name)).ok()
    }

    fn replace_targets(&mut self, entries: &[TargetEntry], now: ClockTime) {
        let mut before = std::mem::take(&mut self.targets);
        for entry in entries {
            let known = before.iter().position(|state| state.name == entry.name);
            let mut state = match known {
                Some(index) => before.swap_remove(index),
                None => TargetState::new(entry.name.clone(), now),
            };
            state.slots = entry.slots;
            let is_near = entry.data_centre == self.data_centre;
            state.link_micros = if is_near { 0 } else { self.link_delay.millis() * 2000 };
            self.targets.push(state);
        }
        self.refresh(now);
    }

    /// Two random targets of the own data centre and two of others; the least score wins. Two of all
    /// targets would often be far ones while near ones are idle.
    fn sample(&mut self, now: ClockTime, exclude: &[NodeName]) -> Option<usize> {
        let mut best: Option<(u64, usize)> = None;
        for draw in 0..2 * DRAWS {
            let pool = if draw < DRAWS { &self.near } else { &self.far };
            if pool.is_empty() {
                continue;
            }
            let index = pool[self.rng.random_range(0..pool.len())];
            if exclude.contains(&self.targets[index].name) {
                continue;
            }
            // A cold target takes part in a growing share of the draws.
            let warmth = self.targets[index].warmth(now);
            if warmth < SLOW_START.millis()
                && self.rng.random_range(0..SLOW_START.millis()) >= warmth
            {
                continue;
            }
            let score = self.targets[index].score(now);
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, index));
            }
        }
        match best {
            Some((_, index)) => Some(index),
            // Every draw was excluded or cold.
            None => {
                let pool = self.near.iter().chain(&self.far).copied();
                pool.filter(|index| !exclude.contains(&self.targets[*index].name))
                    .min_by_key(|index| self.targets[*index].score(now))
            }
        }
    }

    /// Ejects a target, unless a third of the service is ejected already.
    fn eject(&mut self, now: ClockTime, index: usize) {
        let ejected = self.targets.iter().filter(|state| now < state.ejected_until).count();
        let most = self.targets.len() / EJECT_SHARE;
        let state = &mut self.targets[index];
        state.failures = 0;
        if now < state.ejected_until || ejected >= most {
            return;
        }
        let span = EJECT_MINIMUM.millis() << state.ejections.min(EJECT_DOUBLINGS);
        state.ejections += 1;
        state.ejected_until = now + ClockSpan::new(span).min(EJECT_MAXIMUM);
        state.warm_from = state.ejected_until;
        self.refresh(now);
    }

    /// Determines the candidates: targets that are alive and not ejected, else suspects.
    fn refresh(&mut self, now: ClockTime) {
        self.stale_at = None;
        let mut fill = |liveness: TargetLiveness, with_ejected: bool| {
            self.near.clear();
            self.far.clear();
            for (index, state) in self.targets.iter().enumerate() {
                if state.liveness != liveness {
                    continue;
                }
                if now < state.ejected_until && !with_ejected {
                    let until = state.ejected_until;
                    self.stale_at = Some(self.stale_at.map_or(until, |at| at.min(until)));
                    continue;
                }
                let pool = if state.link_micros == 0 { &mut self.near } else { &mut self.far };
                pool.push(index);
            }
            !self.near.is_empty() || !self.far.is_empty()
        };
        let _ = fill(TargetLiveness::Alive, false)
            || fill(TargetLiveness::Alive, true)
            || fill(TargetLiveness::Suspect, true);
    }
}

impl TargetState {
    fn new(name: NodeName, warm_from: ClockTime) -> TargetState {
        TargetState {
            name,
            slots: 1,
            link_micros: 0,
            liveness: TargetLiveness::Alive,
            own: 0,
            report: LoadReport::default(),
            seen_at: ClockTime::ZERO,
            answer_micros: 0,
            failures: 0,
            ejections: 0,
            ejected_until: ClockTime::ZERO,
            warm_from,
        }
    }

    /// Expected time to an answer, in µs. What was learned long ago counts less, so that a target which
    /// was slow or loaded once is tried again; calls in flight count in full, so that a target which has
    /// gone silent is not.
    fn score(&self, now: ClockTime) -> u64 {
        let reported = u64::from(self.report.running) + u64::from(self.report.queued);
        let own = u64::from(self.own);
        let service = self.service_micros(reported + own);
        let age = now.since(self.seen_at).max(REPORT_FRESH);
        let learned = (reported + 1) * service * REPORT_FRESH.millis() / age.millis();
        (learned + own * service) / u64::from(self.slots.max(1)) + self.link_micros
    }

    /// Service time in µs. The report is believed within what the observed answers allow: an answer
    /// takes no less than the service time, and no more than the service times of the calls ahead.
    fn service_micros(&self, load: u64) -> u64 {
        let reported = u64::from(self.report.service_micros);
        if self.answer_micros == 0 {
            return if reported == 0 { FIRST_SERVICE_MICROS } else { reported };
        }
        let slots = u64::from(self.slots.max(1));
        let least = self.answer_micros * slots / load.max(slots);
        reported.clamp(least, self.answer_micros)
    }

    /// Time since the target began to take calls, at least a tenth of the slow start and at most all.
    fn warmth(&self, now: ClockTime) -> u64 {
        let age = now.since(self.warm_from).millis();
        age.clamp(SLOW_START.millis() / 10, SLOW_START.millis())
    }

    /// Learns from the end of a call. True when the target is to be ejected.
    fn learn(&mut self, outcome: TargetOutcome) -> bool {
        match outcome {
            TargetOutcome::Answered { micros } => {
                self.failures = 0;
                self.ejections = 0;
                self.answer_micros = match self.answer_micros {
                    0 => micros,
                    mean => (mean * (MEAN_SHIFT - 1) + micros) / MEAN_SHIFT,
                };
            }
            TargetOutcome::Refused => self.failures = 0,
            TargetOutcome::Failed => self.failures += 1,
            TargetOutcome::Silent { micros } => {
                let is_long = micros > self.answer_micros * SILENCE_FACTOR;
                self.failures += u32::from(is_long);
            }
            TargetOutcome::Uncounted => (),
        }
        self.failures >= EJECT_FAILURES
    }
}
