use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Class;

/// What became of one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its id.
    pub id: String,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Index of the target that it went to.
    pub target: usize,
    /// When it was meant to be sent, counted from the start of the run.
    pub at: Duration,
    /// Time from then to the end.
    pub latency: Duration,
    /// The part of it before the request was sent: the load tool's own timer and its limit of requests in flight.
    pub late: Duration,
    /// What is known about it.
    pub class: Class,
    /// Why, if it was not simply answered.
    pub reason: String,
    /// Status code of the answer, 0 if there is none.
    pub status: u16,
    /// Connection attempts that failed before it was sent.
    pub moves: u32,
}
