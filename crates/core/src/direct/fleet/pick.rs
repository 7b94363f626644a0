//! The conditions of a choice, and its result.

use std::net::SocketAddr;
use std::time::Duration;

use super::score;
use super::score::Work;
use super::server::LoadReport;
use crate::direct::rate_limit::RateLimit;
use crate::name;
use crate::time::Instant;

/// The conditions under which a server is chosen.
#[derive(Debug, Clone, Copy)]
pub struct Criteria {
    /// The work of the request.
    pub work: Work,
    /// Time within which an accepted server is to answer.
    pub accept_within: Duration,
    /// Least probability of that.
    pub min_probability: f64,
    /// Expected time that is accepted whatever the probability.
    pub accepted_time: Duration,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u32,
    /// When a missing answer starts to count as a failure.
    pub overdue_at: Instant,
    /// Requests per second that this entry may send to a cold server that it owns.
    pub cold_limit: usize,
    /// Requests per second for the service that the other entries receive together.
    pub competing_rate: f64,
}

impl Criteria {
    /// Whether a server with this expected time is accepted.
    pub(super) fn accepts(&self, expected_time: Duration) -> bool {
        expected_time <= self.accepted_time
            || score::success_probability(expected_time, self.accept_within) >= self.min_probability
    }
}

/// The server that was chosen. The attempt counts as in flight until [`Fleet::finish`].
#[derive(Debug, Clone, PartialEq)]
pub struct Pick {
    /// The server.
    pub server: name::Vm,
    /// Address of the server.
    pub address: SocketAddr,
    /// When the server started, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Identifies the attempt for [`Fleet::finish`].
    pub attempt_id: u64,
    /// The load report on which the choice is based.
    pub report: LoadReport,
    /// The rate limit that the server names, as it was known at the choice.
    pub rate_limit: Option<RateLimit>,
    /// Age of the load report at the time of the choice.
    pub report_age: Duration,
    /// Fraction of the server's slots in use with this attempt; above 1 if it has to wait.
    pub occupancy: f64,
    /// Expected time until the answer.
    pub expected_time: Duration,
    /// Probability that the answer arrives within the latency target.
    pub success_probability: f64,
}

/// The result of a choice.
#[derive(Debug, Clone, PartialEq)]
pub enum Choice {
    /// This server was chosen.
    Pick(Pick),
    /// The best server would answer too late; this is its expected time.
    Overloaded(Duration),
    /// No server can be used.
    NoServer,
}
