use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Overruns listed in the counts; later ones are only counted.
const MAX_LISTED_OVERRUNS: usize = 100;

/// The runs of one request id.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Entry {
    /// The caller's id.
    pub id: String,
    /// Number of times that it started to run.
    pub runs: u32,
    /// Number of times that its work was completed.
    pub completed: u32,
    /// Numbers of the attempts that ran, in the order of their starts.
    pub attempts: Vec<u32>,
}

/// A cold server had more than one request at the same time, which begins an outage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Overrun {
    /// Time of the overrun in milliseconds since the start.
    pub at_ms: u64,
    /// Time for which the server had been cold, in milliseconds.
    pub cold_for_ms: u64,
    /// Requests on the server, including the one that caused the overrun.
    pub load: usize,
}

impl Overrun {
    /// An overrun at `now` of a server that has been cold for `cold_for`.
    pub fn new(now: Duration, cold_for: Duration, load: usize) -> Self {
        let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        Self { at_ms: millis(now), cold_for_ms: millis(cold_for), load }
    }
}

/// An event that is written to the journal immediately, so that it survives a kill of the process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// A request started to run.
    Start {
        /// The caller's id of the request.
        id: String,
        /// Number of the attempt.
        attempt: u32,
    },
    /// The server had an overrun.
    Overrun(Overrun),
    /// A new request arrived while the server was draining.
    WhileDraining {
        /// The caller's id of the request.
        id: String,
    },
}

/// Counts since the start.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Name of the server.
    pub name: String,
    /// Requests received, probes excluded.
    pub received: u64,
    /// Requests whose work started, and those that failed without proof for the sender that they
    /// did not run.
    pub started: u64,
    /// Requests whose work was completed.
    pub completed: u64,
    /// Requests that were declined without running.
    pub shed: u64,
    /// Requests that failed without proof for the sender that they did not run.
    pub failed: u64,
    /// Requests cancelled by their sender or at their deadline.
    pub stopped: u64,
    /// Number of overruns.
    pub overrun: u64,
    /// The first overruns in detail.
    pub overruns: Vec<Overrun>,
    /// Largest number of requests on the server.
    pub max_load: usize,
    /// Largest number of requests on the server while it was cold.
    pub max_load_cold: usize,
    /// New requests received while draining.
    pub while_draining: u64,
    /// Probes answered.
    pub probes: u64,
    /// Connections accepted.
    pub connections: u64,
    /// Connections closed on accept, because too many were open.
    pub rejected: u64,
}

/// The requests that ran, with the number of their runs.
#[derive(Debug, Default)]
pub struct Ledger {
    entries: BTreeMap<String, Entry>,
    events: Vec<Event>,
    /// Counts since the start.
    pub counts: Counts,
}

impl Ledger {
    /// Records that a request started to run.
    pub fn record_start(&mut self, id: &str, attempt: u32) {
        self.counts.started += 1;
        let entry = self.entries.entry(id.to_owned()).or_default();
        entry.runs += 1;
        entry.attempts.push(attempt);
        self.events.push(Event::Start { id: id.to_owned(), attempt });
    }

    /// Records that the work of a request was completed.
    pub fn record_completion(&mut self, id: &str) {
        self.counts.completed += 1;
        if let Some(entry) = self.entries.get_mut(id) {
            entry.completed += 1;
        }
    }

    /// Records an overrun.
    pub fn record_overrun(&mut self, overrun: Overrun) {
        self.counts.overrun += 1;
        if self.counts.overruns.len() < MAX_LISTED_OVERRUNS {
            self.counts.overruns.push(overrun);
        }
        self.events.push(Event::Overrun(overrun));
    }

    /// Records a new request that arrived while the server was draining.
    pub fn record_while_draining(&mut self, id: &str) {
        self.counts.while_draining += 1;
        self.events.push(Event::WhileDraining { id: id.to_owned() });
    }

    /// Applies an event read from a journal.
    pub fn replay(&mut self, event: &Event) {
        match event {
            Event::Start { id, attempt } => self.record_start(id, *attempt),
            Event::Overrun(overrun) => self.record_overrun(*overrun),
            Event::WhileDraining { id } => self.record_while_draining(id),
        }
    }

    /// The events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Records the number of requests on the server.
    pub fn record_load(&mut self, load: usize, cold: bool) {
        self.counts.max_load = self.counts.max_load.max(load);
        if cold {
            self.counts.max_load_cold = self.counts.max_load_cold.max(load);
        }
    }

    /// Number of runs of a request.
    pub fn runs(&self, id: &str) -> u32 {
        self.entries.get(id).map_or(0, |entry| entry.runs)
    }

    /// The entries in the order of their ids.
    pub fn entries(&self) -> impl Iterator<Item = Entry> + '_ {
        self.entries.iter().map(|(id, entry)| Entry { id: id.clone(), ..entry.clone() })
    }
}
