use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Class;

/// The outcome and the times of one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Id of the request.
    pub id: String,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Index of the target that it was sent to.
    pub target: usize,
    /// Time at which it was scheduled to be sent, counted from the start of the run.
    pub at: Duration,
    /// Time from `at` to its end.
    pub latency: Duration,
    /// Part of `latency` before the request was sent, caused by the load generator itself: its
    /// timer and its limit of requests in flight.
    pub late: Duration,
    /// What is known about its outcome.
    pub class: Class,
    /// Reason, empty if it was answered.
    pub reason: String,
    /// Status code of the answer, 0 without one.
    pub status: u16,
    /// Connection attempts that failed before it was sent.
    pub moves: u32,
}
