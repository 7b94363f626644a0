//! What is known of one suspect request.

use std::time::Duration;

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::name;
use crate::time::Instant;

/// Servers that crashed under a request, after which it is held back. Fewer crashes are likely to
/// have other causes: many servers may fail at once, each with requests in flight.
pub const CRASH_LIMIT: usize = 3;

/// How long a request is held back after the last crash. Then one entry tries it again, since the
/// software of the servers may have been mended.
pub const HOLD_TIME: Duration = Duration::from_secs(600);

/// How long a crash is remembered: long enough for the trial after [`HOLD_TIME`].
pub(super) const CRASH_MEMORY: Duration = Duration::from_secs(1_800);

/// Largest number of crashes that are kept of one request.
const MAX_CRASHES: usize = CRASH_LIMIT + 1;

/// One process of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerProcess(u64);

impl ServerProcess {
    /// The process of `server` that started at `started_ms`, in milliseconds since the Unix epoch.
    pub fn new(server: &name::Vm, started_ms: u64) -> Self {
        Self(xxh3_64(format!("{server}\n{started_ms}").as_bytes()))
    }

    /// The process as a number.
    pub fn to_bits(self) -> u64 {
        self.0
    }

    /// The process with the number `bits`.
    pub fn from_bits(bits: u64) -> Self {
        Self(bits)
    }
}

/// The crash of a server that was running a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Crash {
    /// The process that crashed.
    pub process: ServerProcess,
    /// When that was known.
    pub at: Instant,
}

/// The crashes under one request, and when a server last ran it without a crash.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Record {
    /// The latest crashes, the earliest first, one of each process.
    pub crashes: SmallVec<[Crash; MAX_CRASHES]>,
    /// When a server last answered the request.
    pub answered_at: Option<Instant>,
}

impl Record {
    /// Number of crashes since a server last answered the request.
    pub fn crash_count(&self) -> usize {
        self.crashes.iter().filter(|crash| self.counts(crash)).count()
    }

    /// When the last crash was, if the request was not answered since.
    pub(super) fn last_crash(&self) -> Option<Instant> {
        self.crashes.iter().filter(|crash| self.counts(crash)).map(|crash| crash.at).max()
    }

    /// When the record was last changed.
    pub(super) fn changed_at(&self) -> Instant {
        let crashed_at = self.crashes.iter().map(|crash| crash.at).max();
        crashed_at.max(self.answered_at).unwrap_or_default()
    }

    /// Until when the request is held back; `None` if it may be sent.
    pub(super) fn held_until(&self) -> Option<Instant> {
        let last = self.last_crash()?;
        (self.crash_count() >= CRASH_LIMIT).then(|| last + HOLD_TIME)
    }

    /// Adds what another record knows of the same request.
    pub(super) fn merge(&mut self, other: &Self) {
        self.answered_at = self.answered_at.max(other.answered_at);
        for crash in &other.crashes {
            self.add_crash(*crash);
        }
    }

    fn add_crash(&mut self, crash: Crash) {
        match self.crashes.iter_mut().find(|known| known.process == crash.process) {
            // Entries learn of a crash at slightly different times; all keep the earliest one.
            Some(known) => known.at = known.at.min(crash.at),
            None => self.crashes.push(crash),
        }
        self.crashes.sort_by_key(|crash| (crash.at, crash.process));
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
    }

    fn counts(&self, crash: &Crash) -> bool {
        self.answered_at.is_none_or(|answered_at| crash.at > answered_at)
    }
}
