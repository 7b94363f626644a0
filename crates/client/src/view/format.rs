//! Values as texts.

use std::borrow::Cow;

use chrono::DateTime;
use chrono::SecondsFormat;

use jackdawpin_wire::DocumentVersion;
use jackdawpin_wire::Stamp;

/// A place in the order of documents: the number and the digest.
pub fn order(order: Option<DocumentVersion>) -> String {
    match order {
        Some(order) => format!("{} ({:016x})", order.number, order.digest),
        None => "none".to_owned(),
    }
}

/// A time span given in milliseconds, with two units at most.
pub fn millis(millis: u64) -> String {
    let seconds = millis / 1_000;
    match seconds {
        0 => format!("{millis}ms"),
        1..60 => format!("{seconds}.{}s", millis % 1_000 / 100),
        60..3_600 => format!("{}m {}s", seconds / 60, seconds % 60),
        3_600..86_400 => format!("{}h {}m", seconds / 3_600, seconds % 3_600 / 60),
        _ => format!("{}d {}h", seconds / 86_400, seconds % 86_400 / 3_600),
    }
}

/// A latency given in microseconds, as milliseconds.
pub fn latency(micros: u64) -> String {
    format!("{}.{:02}", micros / 1_000, micros % 1_000 / 10)
}

/// A stamp as UTC time; the counter follows if it is not 0.
pub fn stamp(stamp: Stamp) -> String {
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

/// The text with control characters escaped, so that it cannot change the state of a terminal or
/// start a line.
pub fn clean(text: &str) -> Cow<'_, str> {
    if !text.contains(char::is_control) {
        return text.into();
    }
    let mut clean = String::with_capacity(text.len());
    for c in text.chars() {
        if c.is_control() { clean.extend(c.escape_default()) } else { clean.push(c) }
    }
    clean.into()
}
