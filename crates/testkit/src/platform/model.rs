use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;

/// How calls fail during an outage of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outage {
    /// Connections are closed without an answer.
    Close,
    /// Calls are answered with status 500.
    Error,
}

/// State of a key as a read sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyState<'a> {
    /// The value, if the key exists.
    pub value: Option<&'a Bytes>,
    /// Index at which the key was created, 0 if it does not exist.
    pub created_index: u64,
    /// Index of the key's last change; the visible index of the store if the key does not exist.
    pub modified_index: u64,
}

/// Result of a read at this moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadResult<'a> {
    /// The read is answered immediately: the client knows no index, or the key has changed since.
    Ready(KeyState<'a>),
    /// The key has not changed since the client's index. The read blocks, and this is its answer
    /// when the wait ends without a change.
    Unchanged(KeyState<'a>),
    /// The platform is unavailable.
    Unavailable(Outage),
}

/// Counts of calls since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct Counts {
    /// Calls received.
    pub calls: u64,
    /// Calls answered without a server error: a value, or status 404.
    pub answered: u64,
    /// Calls that are blocked now.
    pub waiting: u64,
    /// Largest number of calls that were blocked at the same time.
    pub max_waiting: u64,
    /// Calls that failed in an outage.
    pub failed: u64,
}

#[derive(Debug)]
struct Version {
    index: u64,
    value: Bytes,
}

/// State of the platform's key-value store: the keys with their history, the active faults, and the
/// counts.
#[derive(Debug)]
pub struct Model {
    index: u64,
    keys: BTreeMap<String, Vec<Version>>,
    outage: Option<Outage>,
    stale_index: Option<u64>,
    delay: Duration,
    counts: Counts,
}

impl Default for Model {
    fn default() -> Self {
        Self {
            index: 1,
            keys: BTreeMap::new(),
            outage: None,
            stale_index: None,
            delay: Duration::ZERO,
            counts: Counts::default(),
        }
    }
}

impl Model {
    /// Sets a key and returns the store's index. An equal value changes nothing, as when only the
    /// modification time of a file has changed.
    pub fn put(&mut self, key: &str, value: impl Into<Bytes>) -> u64 {
        let value = value.into();
        let versions = self.keys.entry(key.to_owned()).or_default();
        if versions.last().is_none_or(|last| last.value != value) {
            self.index += 1;
            versions.push(Version { index: self.index, value });
        }
        self.index
    }

    /// Reads a key for a client that knows its state at `known_index`, 0 for none.
    pub fn read(&self, key: &str, known_index: u64) -> ReadResult<'_> {
        if let Some(outage) = self.outage {
            return ReadResult::Unavailable(outage);
        }
        let state = self.key_state(key);
        if known_index == 0 || state.modified_index > known_index {
            ReadResult::Ready(state)
        } else {
            ReadResult::Unchanged(state)
        }
    }

    fn key_state(&self, key: &str) -> KeyState<'_> {
        let visible_index = self.stale_index.unwrap_or(self.index);
        let versions = self.keys.get(key).map_or(&[][..], Vec::as_slice);
        let visible_count = versions.partition_point(|version| version.index <= visible_index);
        match versions[..visible_count].last() {
            Some(last) => KeyState {
                value: Some(&last.value),
                created_index: versions[0].index,
                modified_index: last.index,
            },
            None => {
                KeyState { value: None, created_index: 0, modified_index: visible_index.max(1) }
            }
        }
    }

    /// Fails all calls from now on.
    pub fn set_outage(&mut self, outage: Outage) {
        self.outage = Some(outage);
    }

    /// Answers with the state at `index` from now on, regardless of later changes; without an
    /// index, with the current state.
    pub fn set_stale(&mut self, index: Option<u64>) {
        self.stale_index = Some(index.unwrap_or(self.index));
    }

    /// Delays each later answer.
    pub fn set_delay(&mut self, delay: Duration) {
        self.delay = delay;
    }

    /// Delay of each answer.
    pub fn delay(&self) -> Duration {
        self.delay
    }

    /// Ends all faults.
    pub fn clear_faults(&mut self) {
        self.outage = None;
        self.stale_index = None;
        self.delay = Duration::ZERO;
    }

    /// Restarts with the current values and without history, so that indexes decrease.
    pub fn reset(&mut self) {
        self.index = 1;
        self.stale_index = None;
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

    /// Counts a received call.
    pub fn count_call(&mut self) {
        self.counts.calls += 1;
    }

    /// Counts the end of a call that its client did not cancel.
    pub fn count_end(&mut self, answered: bool) {
        if answered {
            self.counts.answered += 1;
        } else {
            self.counts.failed += 1;
        }
    }

    /// Counts a call that starts to block.
    pub fn count_wait_start(&mut self) {
        self.counts.waiting += 1;
        self.counts.max_waiting = self.counts.max_waiting.max(self.counts.waiting);
    }

    /// Counts a call that is no longer blocked.
    pub fn count_wait_end(&mut self) {
        self.counts.waiting = self.counts.waiting.saturating_sub(1);
    }
}
