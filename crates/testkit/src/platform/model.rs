use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;

/// How the platform fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Down {
    /// Connections are closed without an answer.
    Close,
    /// Calls are answered with status 500.
    Error,
}

/// A key's value at some index.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer<'a> {
    /// The value, if the key exists.
    pub value: Option<&'a Bytes>,
    /// Index at which the key was made.
    pub created: u64,
    /// Index at which the key changed last; the store's index if the key does not exist.
    pub index: u64,
}

/// What a read does now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Read<'a> {
    /// There is something to say.
    Ready(Answer<'a>),
    /// The index has not moved past the caller's; this is the answer when the wait ends.
    Unchanged(Answer<'a>),
    /// The platform is down.
    Down(Down),
}

/// Counts of calls since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct Counts {
    /// Calls received.
    pub calls: u64,
    /// Calls that were answered with a value or 404.
    pub answered: u64,
    /// Calls that wait now.
    pub waiting: u64,
    /// Largest number of calls that waited at once.
    pub max_waiting: u64,
    /// Calls that failed because the platform was down.
    pub failed: u64,
}

#[derive(Debug)]
struct Version {
    index: u64,
    value: Bytes,
}

/// The keys and the faults that are switched on.
#[derive(Debug)]
pub struct Model {
    index: u64,
    keys: BTreeMap<String, Vec<Version>>,
    down: Option<Down>,
    stale: Option<u64>,
    delay: Duration,
    counts: Counts,
}

impl Default for Model {
    fn default() -> Self {
        Self {
            index: 1,
            keys: BTreeMap::new(),
            down: None,
            stale: None,
            delay: Duration::ZERO,
            counts: Counts::default(),
        }
    }
}

impl Model {
    /// Sets a key and returns the index. An equal value changes nothing, as with a file that was only touched.
    pub fn put(&mut self, key: &str, value: impl Into<Bytes>) -> u64 {
        let value = value.into();
        let versions = self.keys.entry(key.to_owned()).or_default();
        if versions.last().is_none_or(|last| last.value != value) {
            self.index += 1;
            versions.push(Version { index: self.index, value });
        }
        self.index
    }

    /// Reads a key for a caller that knows the state at `known`, 0 for none.
    pub fn read(&self, key: &str, known: u64) -> Read<'_> {
        if let Some(down) = self.down {
            return Read::Down(down);
        }
        let answer = self.answer(key);
        if known == 0 || answer.index > known {
            Read::Ready(answer)
        } else {
            Read::Unchanged(answer)
        }
    }

    fn answer(&self, key: &str) -> Answer<'_> {
        let visible = self.stale.unwrap_or(self.index);
        let versions = self.keys.get(key).map_or(&[][..], Vec::as_slice);
        let seen = versions.partition_point(|version| version.index <= visible);
        match versions[..seen].last() {
            Some(last) => {
                Answer { value: Some(&last.value), created: versions[0].index, index: last.index }
            }
            None => Answer { value: None, created: 0, index: visible.max(1) },
        }
    }

    /// Fails all calls from now on.
    pub fn go_down(&mut self, how: Down) {
        self.down = Some(how);
    }

    /// Answers as of `index` from now on, whatever is put later; without an index, as of now.
    pub fn go_stale(&mut self, index: Option<u64>) {
        self.stale = Some(index.unwrap_or(self.index));
    }

    /// Delays each answer.
    pub fn set_delay(&mut self, delay: Duration) {
        self.delay = delay;
    }

    /// Delay of each answer.
    pub fn delay(&self) -> Duration {
        self.delay
    }

    /// Ends all faults.
    pub fn recover(&mut self) {
        self.down = None;
        self.stale = None;
        self.delay = Duration::ZERO;
    }

    /// Starts again with the present values and without history, so indexes go backwards.
    pub fn reset(&mut self) {
        self.index = 1;
        self.stale = None;
        for versions in self.keys.values_mut() {
            versions.drain(..versions.len().saturating_sub(1));
            for version in versions {
                version.index = 1;
            }
        }
    }

    /// Counts of calls.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Counts a call that came in.
    pub fn count_call(&mut self) {
        self.counts.calls += 1;
    }

    /// Counts the end of a call that was not broken off by its caller.
    pub fn count_end(&mut self, answered: bool) {
        if answered {
            self.counts.answered += 1;
        } else {
            self.counts.failed += 1;
        }
    }

    /// Counts a call that begins to wait.
    pub fn count_wait(&mut self) {
        self.counts.waiting += 1;
        self.counts.max_waiting = self.counts.max_waiting.max(self.counts.waiting);
    }

    /// Counts a call that no longer waits.
    pub fn count_wake(&mut self) {
        self.counts.waiting = self.counts.waiting.saturating_sub(1);
    }
}
