use std::time::Duration;

/// The settings that apply to requests to a service or a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Policy {
    /// Requests that a warm server runs concurrently.
    pub slots: u32,
    /// Connections that a server accepts at a time.
    pub connections: u32,
    /// Requests that may wait for the service on one entry.
    pub queue: u32,
    /// Timeout of a request whose caller sets none.
    pub timeout: Duration,
    /// Longest timeout that a caller may set.
    pub max_timeout: Duration,
    /// Attempts per request, including the first.
    pub attempts: u32,
    /// Retry tokens earned per request, in thousandths.
    pub retry_permille: u32,
    /// Largest number of retry tokens that accumulate.
    pub retry_burst: u32,
    /// Probes per server and minute from all entries together.
    pub probes_per_minute: u32,
    /// How long callers may cache addresses of servers.
    pub address_ttl: Duration,
    /// Consecutive normal answers after which the concurrency limit of a server grows by one.
    pub warm_after: u32,
    /// Multiple of the usual latency above which an answer counts as slow.
    pub cold_factor: u32,
    /// Largest body of a request or an answer, in bytes.
    pub body_limit: u64,
    /// Methods whose requests are idempotent.
    pub idempotent_methods: Vec<Box<str>>,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            slots: 3,
            connections: 250,
            queue: 256,
            timeout: Duration::from_secs(2),
            max_timeout: Duration::from_secs(30),
            attempts: 3,
            retry_permille: 100,
            retry_burst: 10,
            probes_per_minute: 30,
            address_ttl: Duration::from_secs(2),
            warm_after: 10,
            cold_factor: 8,
            body_limit: 1 << 20,
            idempotent_methods: vec!["GET".into(), "HEAD".into()],
        }
    }
}

/// Settings that replace those of a [`Policy`]. `None` leaves a setting as it is.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Override {
    /// See [`Policy::slots`].
    pub slots: Option<u32>,
    /// See [`Policy::connections`].
    pub connections: Option<u32>,
    /// See [`Policy::queue`].
    pub queue: Option<u32>,
    /// See [`Policy::timeout`].
    pub timeout: Option<Duration>,
    /// See [`Policy::max_timeout`].
    pub max_timeout: Option<Duration>,
    /// See [`Policy::attempts`].
    pub attempts: Option<u32>,
    /// See [`Policy::retry_permille`].
    pub retry_permille: Option<u32>,
    /// See [`Policy::retry_burst`].
    pub retry_burst: Option<u32>,
    /// See [`Policy::probes_per_minute`].
    pub probes_per_minute: Option<u32>,
    /// See [`Policy::address_ttl`].
    pub address_ttl: Option<Duration>,
    /// See [`Policy::warm_after`].
    pub warm_after: Option<u32>,
    /// See [`Policy::cold_factor`].
    pub cold_factor: Option<u32>,
    /// See [`Policy::body_limit`].
    pub body_limit: Option<u64>,
    /// See [`Policy::idempotent_methods`].
    pub idempotent_methods: Option<Vec<Box<str>>>,
}

impl Policy {
    /// Replaces the settings that `changes` sets.
    pub fn apply(&mut self, changes: &Override) {
        replace(&mut self.slots, &changes.slots);
        replace(&mut self.connections, &changes.connections);
        replace(&mut self.queue, &changes.queue);
        replace(&mut self.timeout, &changes.timeout);
        replace(&mut self.max_timeout, &changes.max_timeout);
        replace(&mut self.attempts, &changes.attempts);
        replace(&mut self.retry_permille, &changes.retry_permille);
        replace(&mut self.retry_burst, &changes.retry_burst);
        replace(&mut self.probes_per_minute, &changes.probes_per_minute);
        replace(&mut self.address_ttl, &changes.address_ttl);
        replace(&mut self.warm_after, &changes.warm_after);
        replace(&mut self.cold_factor, &changes.cold_factor);
        replace(&mut self.body_limit, &changes.body_limit);
        replace(&mut self.idempotent_methods, &changes.idempotent_methods);
    }
}

fn replace<T: Clone>(value: &mut T, change: &Option<T>) {
    if let Some(change) = change {
        value.clone_from(change);
    }
}
