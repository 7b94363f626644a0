use std::time::Duration;

/// Largest work time as a multiple of the mean, so that one outlier does not decide a test.
const MAX_WORK_FACTOR: f64 = 20.0;

/// Distribution of the time that the work of a request takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Work {
    /// Always this time.
    Fixed(Duration),
    /// Exponentially distributed with this mean.
    Exponential(Duration),
}

impl Work {
    /// Draws the work time of one request.
    pub fn draw(self, rng: &mut fastrand::Rng) -> Duration {
        match self {
            Self::Fixed(time) => time,
            Self::Exponential(mean) => {
                let factor = -(1.0 - rng.f64()).ln();
                mean.mul_f64(factor.min(MAX_WORK_FACTOR))
            }
        }
    }
}

/// Behaviour of a server.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name in the ledger's counts.
    pub name: String,
    /// Requests that can run concurrently.
    pub slots: usize,
    /// Requests that can wait for a slot.
    pub queue: usize,
    /// Time that the work of a request takes.
    pub work: Work,
    /// Factor on the work time while the server is cold.
    pub cold_factor: f64,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Whether the server starts warm.
    pub warm: bool,
    /// Completed requests after which a cold server is warm.
    pub warm_requests: u32,
    /// Time after which a cold server is warm.
    pub warm_time: Duration,
    /// Time for which a server fails every request after an overrun.
    pub outage_time: Duration,
    /// Age of the load reports that probes receive.
    pub probe_lag: Duration,
    /// Identifies the process in load reports; below 2^53, because load reports contain JSON
    /// numbers.
    pub boot: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            name: "server".to_owned(),
            slots: 3,
            queue: 2,
            work: Work::Exponential(Duration::from_millis(5)),
            cold_factor: 1.0,
            seed: 1,
            warm: false,
            warm_requests: 10,
            warm_time: Duration::from_secs(10),
            outage_time: Duration::from_millis(500),
            probe_lag: Duration::ZERO,
            boot: 1,
        }
    }
}
