//! Why a request was refused, failed or answered late.

use crate::plan::AttemptEnd;

/// The cause of a loss. Logs name it by its label.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LossCause {
    /// The node had no configuration yet.
    NoConfiguration,
    /// The node was about to end.
    Stopping,
    /// No target of the service was listed, reachable and untried.
    NoTarget,
    /// The queues of the targets were too long.
    QueueFull,
    /// The node beside the target, or that node's link, could not be reached.
    NodeUnreachable,
    /// Its target had left or been replaced.
    FormerTarget,
    /// The target itself turned it away.
    TargetRejected,
    /// The memory for bodies was used up.
    MemoryFull,
    /// It has crashed several targets.
    CrashesTargets,
    /// The connection to another node broke while the call was under way.
    LostOnLink,
    /// The target broke off, or its answer was not usable.
    LostAtTarget,
    /// The target answered with a failure of its own.
    TargetFailed,
    /// Nothing had come at its deadline.
    DeadlinePassed,
    /// The client left first.
    ClientLeft,
    /// The client sent something that cannot be served.
    BadRequest,
    /// Late: its aim had passed before it arrived, since its caller had been refused before.
    CameBackLate,
    /// Late: other attempts took too long before the last one.
    SeveralAttempts,
    /// Late: it waited in a queue for too long.
    LongWait,
    /// Late: the target took too long.
    SlowTarget,
}

impl LossCause {
    /// All causes.
    pub const ALL: [LossCause; 19] = [
        LossCause::NoConfiguration,
        LossCause::Stopping,
        LossCause::NoTarget,
        LossCause::QueueFull,
        LossCause::NodeUnreachable,
        LossCause::FormerTarget,
        LossCause::TargetRejected,
        LossCause::MemoryFull,
        LossCause::CrashesTargets,
        LossCause::LostOnLink,
        LossCause::LostAtTarget,
        LossCause::TargetFailed,
        LossCause::DeadlinePassed,
        LossCause::ClientLeft,
        LossCause::BadRequest,
        LossCause::CameBackLate,
        LossCause::SeveralAttempts,
        LossCause::LongWait,
        LossCause::SlowTarget,
    ];

    /// Its name in logs.
    pub const fn label(self) -> &'static str {
        match self {
            LossCause::NoConfiguration => "no-configuration",
            LossCause::Stopping => "stopping",
            LossCause::NoTarget => "no-target",
            LossCause::QueueFull => "queue-full",
            LossCause::NodeUnreachable => "node-unreachable",
            LossCause::FormerTarget => "former-target",
            LossCause::TargetRejected => "target-rejected",
            LossCause::MemoryFull => "memory-full",
            LossCause::CrashesTargets => "crashes-targets",
            LossCause::LostOnLink => "lost-on-link",
            LossCause::LostAtTarget => "lost-at-target",
            LossCause::TargetFailed => "target-failed",
            LossCause::DeadlinePassed => "deadline-passed",
            LossCause::ClientLeft => "client-left",
            LossCause::BadRequest => "bad-request",
            LossCause::CameBackLate => "came-back-late",
            LossCause::SeveralAttempts => "several-attempts",
            LossCause::LongWait => "long-wait",
            LossCause::SlowTarget => "slow-target",
        }
    }

    /// The cause with a label.
    pub fn from_label(label: &str) -> Option<LossCause> {
        LossCause::ALL.into_iter().find(|cause| cause.label() == label)
    }

    /// Why a request was given up, by the ends of its attempts.
    pub fn from_attempts(ends: &[AttemptEnd]) -> LossCause {
        let lost = ends.iter().rev().find_map(|end| match end {
            AttemptEnd::Lost => Some(LossCause::LostAtTarget),
            AttemptEnd::LinkLost => Some(LossCause::LostOnLink),
            _ => None,
        });
        let refused = |end: &AttemptEnd| match end {
            AttemptEnd::Busy | AttemptEnd::Refused { .. } => LossCause::QueueFull,
            AttemptEnd::Rejected => LossCause::TargetRejected,
            AttemptEnd::NotSent => LossCause::NodeUnreachable,
            AttemptEnd::Moved => LossCause::FormerTarget,
            AttemptEnd::Answered { .. } => LossCause::TargetFailed,
            AttemptEnd::Lost => LossCause::LostAtTarget,
            AttemptEnd::LinkLost => LossCause::LostOnLink,
        };
        lost.unwrap_or_else(|| ends.last().map_or(LossCause::NoTarget, refused))
    }
}

/// Where the time of an answered request went, in ms.
#[derive(Debug, Clone, Copy, Default)]
pub struct LatencyBreakdown {
    /// Time to its aim when it arrived. Zero if the aim had passed.
    pub soft_timeout: u64,
    /// From its arrival to its last attempt.
    pub before_last_attempt: u64,
    /// In the queue of its target.
    pub queued: u64,
    /// All of it.
    pub total: u64,
}

impl LatencyBreakdown {
    /// Why the answer was late, if it was: what took the largest part.
    pub fn lateness_cause(self) -> Option<LossCause> {
        if self.total <= self.soft_timeout {
            return None;
        }
        let service_time = self.total.saturating_sub(self.before_last_attempt + self.queued);
        Some(match self {
            LatencyBreakdown { soft_timeout: 0, .. } => LossCause::CameBackLate,
            LatencyBreakdown { before_last_attempt, queued, .. }
                if before_last_attempt >= queued.max(service_time) =>
            {
                LossCause::SeveralAttempts
            }
            LatencyBreakdown { queued, .. } if queued >= service_time => LossCause::LongWait,
            _ => LossCause::SlowTarget,
        })
    }
}
