use std::time::Duration;

use chrono::DateTime;

use super::Error;

/// Value of `--since`: the start of the selected part of the timeline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Since {
    /// A duration before the current time.
    Ago(Duration),
    /// A point in time, in milliseconds since the Unix epoch.
    At(u64),
}

impl Since {
    /// The point in time at the current time `now_ms`, both in milliseconds since the Unix epoch.
    pub fn unix_millis(self, now_ms: u64) -> u64 {
        match self {
            Self::Ago(duration) => {
                now_ms.saturating_sub(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
            }
            Self::At(millis) => millis,
        }
    }
}

impl TryFrom<&str> for Since {
    type Error = Error;

    fn try_from(text: &str) -> Result<Self, Error> {
        if let Some(duration) = parse_duration(text) {
            return Ok(Self::Ago(duration));
        }
        let time = DateTime::parse_from_rfc3339(text).ok();
        time.and_then(|time| u64::try_from(time.timestamp_millis()).ok())
            .map(Self::At)
            .ok_or_else(|| Error::Since(text.to_owned()))
    }
}

/// Parses an integer with a unit: `s`, `m`, `h` or `d`.
fn parse_duration(text: &str) -> Option<Duration> {
    let digits = text.trim_end_matches(|c: char| c.is_ascii_lowercase());
    let seconds = match text.get(digits.len()..)? {
        "s" => 1,
        "m" => 60,
        "h" => 3_600,
        "d" => 86_400,
        _ => return None,
    };
    digits.parse::<u64>().ok()?.checked_mul(seconds).map(Duration::from_secs)
}
