use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Overruns kept in detail; later ones are only counted.
const MAX_OVERRUNS: usize = 100;

/// What became of one request id.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Entry {
    /// The id.
    pub id: String,
    /// How often it started to run.
    pub runs: u32,
    /// How often it ended by itself.
    pub completed: u32,
    /// Attempt numbers that it ran with, in order.
    pub attempts: Vec<u32>,
}

/// A cold server got more than one request at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Overrun {
    /// When, in milliseconds since the start.
    pub at_ms: u64,
    /// How long the server had been cold then, in milliseconds.
    pub cold_for_ms: u64,
    /// Requests on the server, the one too many included.
    pub load: usize,
}

impl Overrun {
    /// An overrun at `now` of a server that was cold for `cold_for`.
    pub fn new(now: Duration, cold_for: Duration, load: usize) -> Self {
        let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        Self { at_ms: millis(now), cold_for_ms: millis(cold_for), load }
    }
}

/// What a server writes down at once, so that it is known even if the process is killed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// A request starts to run.
    Start {
        /// Its id.
        id: String,
        /// Number of the attempt.
        attempt: u32,
    },
    /// The server falls over.
    Overrun(Overrun),
    /// A new request came in while the server was draining.
    WhileDraining {
        /// Its id.
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
    /// Requests whose work started, and those that failed without proof.
    pub started: u64,
    /// Requests that ended by themselves.
    pub completed: u64,
    /// Requests that were refused as not run.
    pub shed: u64,
    /// Requests that failed without proof.
    pub failed: u64,
    /// Requests broken off by their sender or their deadline.
    pub stopped: u64,
    /// Times that the server fell over.
    pub overrun: u64,
    /// The first of them in detail.
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
    /// Connections closed at once, because too many were open.
    pub rejected: u64,
}

/// Which requests ran, and how often.
#[derive(Debug, Default)]
pub struct Ledger {
    entries: BTreeMap<String, Entry>,
    events: Vec<Event>,
    /// Counts since the start.
    pub counts: Counts,
}

impl Ledger {
    /// Records that a request starts to run.
    pub fn start(&mut self, id: &str, attempt: u32) {
        self.counts.started += 1;
        let entry = self.entries.entry(id.to_owned()).or_default();
        entry.runs += 1;
        entry.attempts.push(attempt);
        self.events.push(Event::Start { id: id.to_owned(), attempt });
    }

    /// Records that a request ended by itself.
    pub fn complete(&mut self, id: &str) {
        self.counts.completed += 1;
        if let Some(entry) = self.entries.get_mut(id) {
            entry.completed += 1;
        }
    }

    /// Records that the server fell over.
    pub fn overrun(&mut self, overrun: Overrun) {
        self.counts.overrun += 1;
        if self.counts.overruns.len() < MAX_OVERRUNS {
            self.counts.overruns.push(overrun);
        }
        self.events.push(Event::Overrun(overrun));
    }

    /// Records a new request while the server is draining.
    pub fn while_draining(&mut self, id: &str) {
        self.counts.while_draining += 1;
        self.events.push(Event::WhileDraining { id: id.to_owned() });
    }

    /// Records again what a process wrote down.
    pub fn replay(&mut self, event: &Event) {
        match event {
            Event::Start { id, attempt } => self.start(id, *attempt),
            Event::Overrun(overrun) => self.overrun(*overrun),
            Event::WhileDraining { id } => self.while_draining(id),
        }
    }

    /// The events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Records the number of requests on the server.
    pub fn load(&mut self, load: usize, cold: bool) {
        self.counts.max_load = self.counts.max_load.max(load);
        if cold {
            self.counts.max_load_cold = self.counts.max_load_cold.max(load);
        }
    }

    /// How often a request ran.
    pub fn runs(&self, id: &str) -> u32 {
        self.entries.get(id).map_or(0, |entry| entry.runs)
    }

    /// The entries in order of their ids.
    pub fn entries(&self) -> impl Iterator<Item = Entry> + '_ {
        self.entries.iter().map(|(id, entry)| Entry { id: id.clone(), ..entry.clone() })
    }
}
