//! Classifies why requests are refused, fail or are answered late.

use crate::plan::AttemptEnd;

/// Cause of a refused, failed or late request. Logs identify it by its label.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LossCause {
    /// The node had no configuration yet.
    NoConfiguration,
    /// The node was shutting down.
    Stopping,
    /// No untried target of the service was listed and reachable.
    NoTarget,
    /// The queues of the targets were too long.
    QueueFull,
    /// The node next to the target, or the link to it, was not reachable.
    NodeUnreachable,
    /// The target had shut down or been replaced.
    FormerTarget,
    /// The target was down, and its node refused the request.
    TargetDown,
    /// The target itself rejected the request.
    TargetRejected,
    /// The memory for request bodies was used up.
    MemoryFull,
    /// The request has crashed several targets.
    CrashesTargets,
    /// The connection to another node broke while the call was open.
    LostOnLink,
    /// The target closed the connection early, or its answer was invalid.
    LostAtTarget,
    /// The target answered with an error.
    TargetFailed,
    /// No answer had arrived by the deadline.
    DeadlinePassed,
    /// The client disconnected first.
    ClientLeft,
    /// The client sent an invalid request.
    BadRequest,
    /// Late: the soft deadline had passed before the request arrived, because its caller had been
    /// refused before.
    CameBackLate,
    /// Late: earlier attempts took too long.
    SeveralAttempts,
    /// Late: the request waited in a queue for too long.
    LongWait,
    /// Late: the target took too long.
    SlowTarget,
}

impl LossCause {
    /// All causes.
    pub const ALL: [LossCause; 20] = [
        LossCause::NoConfiguration,
        LossCause::Stopping,
        LossCause::NoTarget,
        LossCause::QueueFull,
        LossCause::NodeUnreachable,
        LossCause::FormerTarget,
        LossCause::TargetDown,
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

    /// Returns the label that identifies the cause in logs.
    pub const fn label(self) -> &'static str {
        match self {
            LossCause::NoConfiguration => "no-configuration",
            LossCause::Stopping => "stopping",
            LossCause::NoTarget => "no-target",
            LossCause::QueueFull => "queue-full",
            LossCause::NodeUnreachable => "node-unreachable",
            LossCause::FormerTarget => "former-target",
            LossCause::TargetDown => "target-down",
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

    /// Returns the cause with a label.
    pub fn from_label(label: &str) -> Option<LossCause> {
        LossCause::ALL.into_iter().find(|cause| cause.label() == label)
    }

    /// Determines why a request failed from the results of its attempts.
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
            AttemptEnd::Down => LossCause::TargetDown,
            AttemptEnd::Answered { .. } => LossCause::TargetFailed,
            AttemptEnd::Lost => LossCause::LostAtTarget,
            AttemptEnd::LinkLost => LossCause::LostOnLink,
        };
        lost.unwrap_or_else(|| ends.last().map_or(LossCause::NoTarget, refused))
    }
}

/// Breakdown of the time to an answer, in milliseconds.
#[derive(Debug, Clone, Copy, Default)]
pub struct LatencyBreakdown {
    /// Time from arrival to the soft deadline. Zero if the soft deadline had already passed.
    pub soft_timeout: u64,
    /// Time from arrival to the start of the last attempt.
    pub before_last_attempt: u64,
    /// Time in the queue of the target.
    pub queued: u64,
    /// Total time to the answer.
    pub total: u64,
}

impl LatencyBreakdown {
    /// Returns the phase that took the longest as the cause if the answer was late, else `None`.
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
