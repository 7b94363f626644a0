//! Formats of single values.

use std::borrow::Cow;

use chrono::DateTime;
use chrono::SecondsFormat;

use jackdawpin_wire::DocumentVersion;
use jackdawpin_wire::Stamp;

/// The number and the digest of a document version.
pub fn version(version: Option<DocumentVersion>) -> String {
    match version {
        Some(version) => format!("{} ({:016x})", version.number, version.digest),
        None => "none".to_owned(),
    }
}

/// A duration given in milliseconds, in at most two units.
pub fn duration(millis: u64) -> String {
    let seconds = millis / 1_000;
    match seconds {
        0 => format!("{millis}ms"),
        1..60 => format!("{seconds}.{}s", millis % 1_000 / 100),
        60..3_600 => format!("{}m {}s", seconds / 60, seconds % 60),
        3_600..86_400 => format!("{}h {}m", seconds / 3_600, seconds % 3_600 / 60),
        _ => format!("{}d {}h", seconds / 86_400, seconds % 86_400 / 3_600),
    }
}

/// A latency given in microseconds, in milliseconds.
pub fn latency_ms(micros: u64) -> String {
    format!("{}.{:02}", micros / 1_000, micros % 1_000 / 10)
}

/// A stamp as UTC time, with the counter if it is not 0.
pub fn timestamp(stamp: Stamp) -> String {
    let millis = i64::try_from(stamp.millis).ok();
    let time = match millis.and_then(DateTime::from_timestamp_millis) {
        Some(time) => time.to_rfc3339_opts(SecondsFormat::Millis, true),
        None => format!("{}ms", stamp.millis),
    };
    match stamp.counter {
        0 => time,
        counter => format!("{time}#{counter}"),
    }
}

/// The text with control characters escaped, so that it can neither change the state of a terminal
/// nor start a new line.
pub fn escape_control(text: &str) -> Cow<'_, str> {
    if !text.contains(char::is_control) {
        return text.into();
    }
    let mut escaped = String::with_capacity(text.len());
    for c in text.chars() {
        if c.is_control() { escaped.extend(c.escape_default()) } else { escaped.push(c) }
    }
    escaped.into()
}
