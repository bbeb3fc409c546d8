//! Numbered result codes: the outcome of a call or the reason of a refusal.

use std::fmt;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// What a caller may conclude about its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallOutcome {
    /// The upstream ran the request and the answer is complete.
    Done,
    /// The request was certainly not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

macro_rules! result_codes {
    ($($name:ident = $number:literal, $label:literal, $meaning:literal;)*) => {
        /// A numbered result code. `docs/errors.md` lists what operators do about each.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum ResultCode {
            $(#[doc = concat!(stringify!($number), " ", $label, ": ", $meaning, ".")]
            $name = $number,)*
        }

        impl ResultCode {
            /// Every code, in numeric order.
            pub const ALL: &'static [ResultCode] = &[$(ResultCode::$name),*];

            /// A label of a few words.
            pub const fn label(self) -> &'static str {
                match self {
                    $(ResultCode::$name => $label,)*
                }
            }

            /// One sentence on what the code means.
            pub const fn meaning(self) -> &'static str {
                match self {
                    $(ResultCode::$name => $meaning,)*
                }
            }
        }
    };
}

result_codes! {
    Done = 100, "done", "the upstream's complete answer is passed on";
    DoneEarlier = 101, "done earlier", "the idempotency key was completed before; its recorded answer is returned";
    Overload = 201, "overload", "the expected wait and service time exceed the time left";
    PatienceSpent = 202, "patience used up", "the deadline passed before dispatch";
    NoRoute = 203, "no route", "no route matches host, method and path";
    ServiceGone = 204, "service gone", "the service is not in the active configuration";
    InternalOnly = 205, "internal only", "the route serves internal services only";
    Leaving = 206, "leaving", "the node is shutting down and accepts no new work";
    NoTarget = 207, "no target", "no live target can take the call";
    Quarantined = 208, "quarantined", "the request matches a fingerprint that crashed upstreams";
    BodyTooLarge = 209, "body too large", "the request body exceeds the route's limit";
    BadRequest = 210, "bad request", "the request is malformed";
    HeadTooLarge = 211, "head too large", "the request head exceeds 8 KB";
    NotReady = 212, "not ready", "the node has no configuration yet";
    ConnectFailed = 213, "connect failed", "no connection could be opened before dispatch";
    UploadIncomplete = 214, "upload incomplete", "the request body ended early and was not dispatched whole";
    TenantLimit = 215, "tenant limit", "the tenant's share of the queue is used up";
    NotKeyOwner = 216, "not the key's owner", "the idempotency key belongs to another target";
    UpstreamRefused = 217, "refused by the upstream", "the upstream answered that it did not run the request";
    LinkLost = 301, "link lost", "the connection to the target's node broke after dispatch";
    UpstreamLost = 302, "upstream lost", "the connection to the upstream broke after dispatch";
    PatienceOver = 303, "patience over after dispatch", "the deadline passed while the upstream was working";
    AnswerTruncated = 304, "answer truncated", "the upstream's answer ended early";
    KeyOwnerUnreachable = 305, "key owner unreachable", "the owner of the idempotency key cannot be asked";
    KeyOwnerYoung = 306, "key owner recently started", "the owner of the idempotency key may have lost its records";
    KeyInFlight = 307, "key in flight", "a request with the same idempotency key is still running";
    BadPart = 401, "bad part", "a configuration part cannot be parsed";
    HashMismatch = 402, "hash mismatch", "a part's content differs from its hash";
    PartMissing = 403, "part missing", "a part named by the manifest is absent";
    RouteWithoutResource = 404, "route without resource", "a route names a service, target or class that is absent";
    OlderVersion = 405, "older version", "the version is not newer than the active one";
    VersionClash = 406, "version clash", "two versions carry the same number";
    DeltaBaseMismatch = 407, "delta base mismatch", "the delta does not start at the active version";
    PartTooLarge = 408, "part too large", "a published value exceeds 1 MB";
}

impl ResultCode {
    /// The number shown to callers and operators.
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// The code with this number, if there is one.
    pub fn from_number(number: u16) -> Option<ResultCode> {
        ResultCode::ALL.iter().copied().find(|code| code.number() == number)
    }

    /// What a caller may conclude, or `None` for codes that do not answer a call.
    pub const fn outcome(self) -> Option<CallOutcome> {
        match self.number() / 100 {
            1 => Some(CallOutcome::Done),
            2 => Some(CallOutcome::NotRun),
            3 => Some(CallOutcome::Unknown),
            _ => None,
        }
    }
}

impl CallOutcome {
    /// The value of the `fescuestack-outcome` header.
    pub const fn label(self) -> &'static str {
        match self {
            CallOutcome::Done => "done",
            CallOutcome::NotRun => "not-run",
            CallOutcome::Unknown => "unknown",
        }
    }
}

impl fmt::Display for ResultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number(), self.label())
    }
}

impl Serialize for ResultCode {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u16(self.number())
    }
}

impl<'de> Deserialize<'de> for ResultCode {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<ResultCode, D::Error> {
        let number = u16::deserialize(deserializer)?;
        ResultCode::from_number(number)
            .ok_or_else(|| serde::de::Error::custom(format_args!("unknown result code {number}")))
    }
}
