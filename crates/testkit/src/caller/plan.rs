use std::time::Duration;

/// Work is not planned further apart than this multiple of the mean gap.
const MAX_GAP: f64 = 20.0;

/// When requests are sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Arrivals {
    /// Independent arrivals (a Poisson process) at this mean rate per second, whatever the answers do.
    Open(f64),
    /// This many workers, each with one request at a time.
    Closed(usize),
}

/// What load to produce.
#[derive(Debug, Clone)]
pub struct Options {
    /// When requests are sent.
    pub arrivals: Arrivals,
    /// How long new requests are sent.
    pub duration: Duration,
    /// Most requests that are sent.
    pub max_requests: u64,
    /// Most requests in flight; more wait, and their latency includes the wait.
    pub max_in_flight: usize,
    /// Share of idempotent requests, 0 to 1.
    pub idempotent_share: f64,
    /// Time that each request has.
    pub timeout: Duration,
    /// Path of the requests, with a leading `/`.
    pub path: String,
    /// Bytes in the body of a non-idempotent request.
    pub body_bytes: usize,
    /// Seed of everything random.
    pub seed: u64,
    /// Start of each request id; it must be unique per run.
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
    /// Its number, from 0.
    pub number: u64,
    /// Its id.
    pub id: String,
    /// Whether it may run more than once.
    pub idempotent: bool,
}

/// Draws the requests of a run, the same ones for the same options.
#[derive(Debug)]
pub struct Plan {
    rng: fastrand::Rng,
    prefix: String,
    idempotent: f64,
    left: u64,
    number: u64,
    at: Duration,
}

impl Plan {
    /// The requests that the options describe.
    pub fn new(options: &Options) -> Self {
        Self {
            rng: fastrand::Rng::with_seed(options.seed),
            prefix: options.id_prefix.clone(),
            idempotent: options.idempotent_share,
            left: options.max_requests,
            number: 0,
            at: Duration::ZERO,
        }
    }

    /// The next request, unless enough were sent.
    pub fn next_request(&mut self) -> Option<PlannedRequest> {
        self.left = self.left.checked_sub(1)?;
        let number = self.number;
        self.number += 1;
        let idempotent = self.rng.f64() < self.idempotent;
        Some(PlannedRequest { number, id: format!("{}-{number}", self.prefix), idempotent })
    }

    /// The time of the next arrival, counted from the start, at a mean rate per second.
    pub fn next_arrival(&mut self, rate: f64) -> Duration {
        let gap = -(1.0 - self.rng.f64()).ln();
        self.at += Duration::from_secs_f64(gap.min(MAX_GAP) / rate.max(0.001));
        self.at
    }
}
