//! Encodes log lines.

use std::fmt;
use std::fmt::Write;
use std::time::SystemTime;

use chrono::DateTime;
use chrono::SecondsFormat;
use chrono::Utc;
use log::Record;
use serde::Serialize;

use crate::settings::LogFormat;
use jackdawpin_core::name;

/// One log line: a message with its time, VM, level and target.
#[derive(Debug, Clone, Copy)]
pub struct Line<'a> {
    /// When it was logged.
    pub time: SystemTime,
    /// The VM that logged it.
    pub vm: &'a name::Vm,
    /// Level, target and message.
    pub record: &'a Record<'a>,
}

/// The JSON form of a line.
#[derive(Serialize)]
struct JsonLine<'a> {
    time: &'a str,
    level: &'a str,
    target: &'a str,
    vm: &'a str,
    message: &'a str,
}

impl Line<'_> {
    /// Encodes the line in `format`, with a line break at its end.
    pub fn encode(&self, format: LogFormat) -> String {
        let time = DateTime::<Utc>::from(self.time).to_rfc3339_opts(SecondsFormat::Millis, true);
        let mut line = match format {
            LogFormat::Text => self.encode_text(&time),
            LogFormat::Json => self.encode_json(&time),
        };
        line.push('\n');
        line
    }

    fn encode_text(&self, time: &str) -> String {
        let Self { vm, record, .. } = self;
        let mut line = format!("{time} {:<5} {} {vm}: ", record.level(), record.target());
        // Writing to a String does not fail.
        let _ = write!(EscapingWriter(&mut line), "{}", record.args());
        line
    }

    fn encode_json(&self, time: &str) -> String {
        let message = self.record.args().to_string();
        let fields = JsonLine {
            time,
            level: self.record.level().as_str(),
            target: self.record.target(),
            vm: self.vm.as_str(),
            message: &message,
        };
        // Encoding a map of strings does not fail.
        serde_json::to_string(&fields).unwrap_or_default()
    }
}

/// Escapes control characters, so that a message with text from outside cannot look like two lines.
struct EscapingWriter<'a>(&'a mut String);

impl fmt::Write for EscapingWriter<'_> {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        for c in text.chars() {
            if c.is_control() {
                self.0.extend(c.escape_default());
            } else {
                self.0.push(c);
            }
        }
        Ok(())
    }
}
