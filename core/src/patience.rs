//! How long a caller waits at a given time of day.

use std::str::FromStr;

use chrono::{DateTime, Timelike};
use chrono_tz::Tz;

use crate::clock::{ClockSpan, ClockTime};
use crate::config::{CallerClass, PatiencePeriod};

/// Minutes of a day without a change of the clocks.
pub const DAY_MINUTES: u16 = 24 * 60;

/// A time zone with its summer time rules.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PatienceZone(Tz);

impl PatienceZone {
    /// Parses an IANA name such as `Europe/Athens`.
    pub fn scan(name: &str) -> Option<PatienceZone> {
        Tz::from_str(name).ok().map(PatienceZone)
    }

    /// The minute of the local day at `now`, counted from local midnight.
    pub fn minute(self, now: ClockTime) -> u16 {
        let millis = i64::try_from(now.millis()).unwrap_or(i64::MAX);
        let utc = DateTime::from_timestamp_millis(millis).unwrap_or(DateTime::UNIX_EPOCH);
        let local = utc.with_timezone(&self.0);
        (local.hour() * 60 + local.minute()) as u16
    }
}

impl PatiencePeriod {
    /// Whether the period holds `minute` of the local day.
    pub fn contains(&self, minute: u16) -> bool {
        if self.from_minute < self.to_minute {
            self.from_minute <= minute && minute < self.to_minute
        } else {
            self.from_minute <= minute || minute < self.to_minute
        }
    }
}

impl CallerClass {
    /// The patience at `now`, or `None` when no period holds that time of day.
    pub fn patience(&self, zone: PatienceZone, now: ClockTime) -> Option<ClockSpan> {
        let minute = zone.minute(now);
        let period = self.patience.iter().find(|period| period.contains(minute))?;
        Some(ClockSpan::new(period.patience_ms))
    }
}
