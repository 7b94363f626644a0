use std::time::Duration;

/// Longest gap between two arrivals, as a multiple of the mean gap.
const MAX_GAP_FACTOR: f64 = 20.0;

/// How requests arrive.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Arrivals {
    /// Open loop: independent arrivals (a Poisson process) at this mean rate per second, whether or
    /// not earlier requests have been answered.
    Open(f64),
    /// Closed loop: this number of workers, each with one request at a time.
    Closed(usize),
}

/// The load to generate.
#[derive(Debug, Clone)]
pub struct Options {
    /// How requests arrive: in an open or a closed loop.
    pub arrivals: Arrivals,
    /// Time for which new requests are sent.
    pub duration: Duration,
    /// Largest number of requests that are sent.
    pub max_requests: u64,
    /// Largest number of requests in flight in an open loop; more wait, and their latency includes
    /// the wait.
    pub max_in_flight: usize,
    /// Share of idempotent requests, 0 to 1.
    pub idempotent_share: f64,
    /// Timeout of each request.
    pub timeout: Duration,
    /// Path of the requests, with a leading `/`.
    pub path: String,
    /// Bytes in the body of a non-idempotent request.
    pub body_bytes: usize,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Prefix of each request id; must be unique per run.
    pub id_prefix: String,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            arrivals: Arrivals::Open(100.0),
            duration: Duration::from_secs(1),
            max_requests: 1_000_000,
            max_in_flight: 1_000,
            idempotent_share: 0.5,
            timeout: Duration::from_secs(2),
            path: "/task".to_owned(),
            body_bytes: 64,
            seed: 1,
            id_prefix: unique_prefix(),
        }
    }
}

/// A prefix that differs between processes and between runs in one process.
fn unique_prefix() -> String {
    format!("{:x}-{:x}", std::process::id(), fastrand::u32(..))
}

/// A request to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedRequest {
    /// Number of the request, from 0.
    pub number: u64,
    /// Id of the request.
    pub id: String,
    /// Whether the request may run more than once.
    pub idempotent: bool,
}

/// Generates the requests of a run, the same ones for the same options.
#[derive(Debug)]
pub struct Plan {
    rng: fastrand::Rng,
    id_prefix: String,
    idempotent_share: f64,
    remaining: u64,
    next_number: u64,
    last_arrival: Duration,
}

impl Plan {
    /// A plan of the requests that the options describe.
    pub fn new(options: &Options) -> Self {
        Self {
            rng: fastrand::Rng::with_seed(options.seed),
            id_prefix: options.id_prefix.clone(),
            idempotent_share: options.idempotent_share,
            remaining: options.max_requests,
            next_number: 0,
            last_arrival: Duration::ZERO,
        }
    }

    /// The next request, or `None` after the largest number of requests.
    pub fn next_request(&mut self) -> Option<PlannedRequest> {
        self.remaining = self.remaining.checked_sub(1)?;
        let number = self.next_number;
        self.next_number += 1;
        let idempotent = self.rng.f64() < self.idempotent_share;
        Some(PlannedRequest { number, id: format!("{}-{number}", self.id_prefix), idempotent })
    }

    /// The time of the next arrival, counted from the start, at a mean rate per second.
    pub fn next_arrival(&mut self, rate: f64) -> Duration {
        let gap = -(1.0 - self.rng.f64()).ln();
        self.last_arrival += Duration::from_secs_f64(gap.min(MAX_GAP_FACTOR) / rate.max(0.001));
        self.last_arrival
    }
}
