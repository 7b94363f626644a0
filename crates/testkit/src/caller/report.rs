use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::Class;
use super::Record;

/// Longest latency that the histogram distinguishes, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Precision of recorded latencies in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Latencies in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct Latency {
    /// Median.
    pub p50_us: u64,
    /// 90th percentile.
    pub p90_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// 99.9th percentile.
    pub p999_us: u64,
    /// Largest.
    pub max_us: u64,
}

/// Counts of requests by outcome, and the latency of those answered.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize)]
pub struct Report {
    /// Requests sent.
    pub sent: u64,
    /// Requests that received their own, complete answer.
    pub answered: u64,
    /// Answered requests with a status of 500 or more.
    pub answered_5xx: u64,
    /// Requests that did not run.
    pub refused: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Requests with no reported outcome, or with a wrong answer.
    pub unexplained: u64,
    /// Unexplained requests whose answer was malformed or another request's.
    pub wrong_answers: u64,
    /// Whether the counts add up to the requests sent.
    pub balanced: bool,
    /// Connection attempts that failed before a request was sent elsewhere.
    pub moves: u64,
    /// Counts by class and reason, without answered requests.
    pub reasons: BTreeMap<String, u64>,
    /// Latency of answered requests.
    pub latency: Latency,
}

impl Report {
    /// Summarises the records of a run.
    pub fn from_records<'a>(records: impl IntoIterator<Item = &'a Record>) -> Self {
        let mut report = Self::default();
        // The bounds are constants that the histogram accepts, so the fallback is never used.
        let mut histogram = Histogram::<u64>::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS).ok();
        for record in records {
            report.add(record);
            if record.class == Class::Answered
                && let Some(histogram) = &mut histogram
            {
                histogram.saturating_record(to_micros(record.latency));
            }
        }
        if let Some(histogram) = &histogram {
            report.latency = Latency::from_histogram(histogram);
        }
        let sum = report.answered + report.refused + report.unknown + report.unexplained;
        report.balanced = sum == report.sent;
        report
    }

    fn add(&mut self, record: &Record) {
        self.sent += 1;
        self.moves += u64::from(record.moves);
        match record.class {
            Class::Answered => self.answered += 1,
            Class::Refused => self.refused += 1,
            Class::Unknown => self.unknown += 1,
            Class::Unexplained => self.unexplained += 1,
        }
        if record.class == Class::Answered {
            self.answered_5xx += u64::from(record.status >= 500);
            return;
        }
        self.wrong_answers += u64::from(record.reason == "wrong_answer");
        let reason = format!("{:?}: {}", record.class, record.reason).to_lowercase();
        *self.reasons.entry(reason).or_default() += 1;
    }
}

impl Latency {
    fn from_histogram(histogram: &Histogram<u64>) -> Self {
        if histogram.is_empty() {
            return Self::default();
        }
        Self {
            p50_us: histogram.value_at_quantile(0.5),
            p90_us: histogram.value_at_quantile(0.9),
            p99_us: histogram.value_at_quantile(0.99),
            p999_us: histogram.value_at_quantile(0.999),
            max_us: histogram.max(),
        }
    }
}

impl fmt::Display for Latency {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = |us: u64| Duration::from_micros(us).as_secs_f64() * 1e3;
        write!(
            f,
            "p50 {:.2} ms, p90 {:.2} ms, p99 {:.2} ms, p99.9 {:.2} ms, max {:.2} ms",
            ms(self.p50_us),
            ms(self.p90_us),
            ms(self.p99_us),
            ms(self.p999_us),
            ms(self.max_us)
        )
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "sent {} = answered {} + refused {} + unknown {} + unexplained {}{}",
            self.sent,
            self.answered,
            self.refused,
            self.unknown,
            self.unexplained,
            if self.balanced { "" } else { "  (DOES NOT ADD UP)" }
        )?;
        if self.answered_5xx > 0 {
            writeln!(f, "answered with status 5xx: {}", self.answered_5xx)?;
        }
        if self.moves > 0 {
            writeln!(f, "connection attempts that failed before sending: {}", self.moves)?;
        }
        for (reason, count) in &self.reasons {
            writeln!(f, "{reason}: {count}")?;
        }
        write!(f, "latency of answered requests: {}", self.latency)
    }
}

fn to_micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
