//! Requests under which servers crashed.
//!
//! Load pattern: a request that crashes each server that begins to run it comes again and again, at
//! any entry. Sent as any other, it ends more servers than return, and other requests find no room.
//!
//! A single crash says little about the requests that its server was running. But a request under
//! which [`CRASH_LIMIT`] servers crashed one after the other, and which no server has answered in
//! between, is held back for [`HOLD_TIME`]. Any answer clears it, also an error: its server has
//! survived. So a request that was in flight at servers that failed for another reason is not held
//! back, even if a caller repeats it all the time.
//!
//! After a crash, an entry repeats all requests that were in flight at the server at the same moment. It
//! sends each of them to a server of its own, so that only the one that is the cause gets a further
//! crash.
//!
//! Entries exchange their records, since each of them may see only one of the crashes. Merging two
//! records is commutative and idempotent, so it doesn't matter how often and in which order they
//! arrive.

mod fingerprint;
mod record;

use std::collections::HashMap;
use std::time::Duration;

use smallvec::SmallVec;
use smallvec::smallvec;
use tokio::sync::Notify;

use self::record::CRASH_MEMORY;
use crate::direct::fleet::ServerNames;
use crate::lock::Mutex;
use crate::lock::Rank;
use crate::name;
use crate::time::Instant;

pub use self::fingerprint::Fingerprint;
pub use self::fingerprint::LEN as FINGERPRINT_LEN;
pub use self::record::CRASH_LIMIT;
pub use self::record::Crash;
pub use self::record::HOLD_TIME;
pub use self::record::Record;
pub use self::record::ServerProcess;

/// Largest number of records. One is added only if a server cannot be reached after an attempt.
const MAX_RECORDS: usize = 1_024;

/// Number of crashes from which on a record is sent to all entries at once. A single crash of a
/// server may concern many requests, of which each entry learns with the next heartbeats.
const URGENT_COUNT: usize = 2;

/// Time between two trials of a request that was held back.
const TRIAL_INTERVAL: Duration = Duration::from_secs(60);

/// What may be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Judgement {
    /// It may be sent.
    Clear,
    /// It is held back for this time.
    Held(Duration),
}

/// A record and the request that it is of.
pub type Suspect = (Fingerprint, Record);

/// The records of suspect requests that this entry knows.
#[derive(Debug)]
pub struct Suspects {
    records: Mutex<HashMap<Fingerprint, Record>>,
    /// When this entry last tried each request that was held back.
    trials: Mutex<HashMap<Fingerprint, Instant>>,
    /// The servers that are running a suspect request of this entry.
    occupied: Mutex<Vec<name::Vm>>,
    /// Changed records that all entries are to be told at once.
    urgent: Mutex<Vec<Suspect>>,
    /// Notified when there are urgent records.
    has_urgent: Notify,
}

impl Default for Suspects {
    fn default() -> Self {
        Self {
            records: Mutex::new(Rank::Ledger, HashMap::new()),
            trials: Mutex::new(Rank::Ledger, HashMap::new()),
            occupied: Mutex::new(Rank::Ledger, Vec::new()),
            urgent: Mutex::new(Rank::Ledger, Vec::new()),
            has_urgent: Notify::new(),
        }
    }
}

impl Suspects {
    /// Whether there are no records, so that no fingerprint needs to be computed.
    pub fn is_empty(&self) -> bool {
        self.records.lock().is_empty()
    }

    /// Whether a server has crashed under the request, and none has answered it since.
    pub fn is_suspect(&self, request: &Fingerprint) -> bool {
        self.records.lock().get(request).is_some_and(|record| record.crash_count() > 0)
    }

    /// The servers that are running a suspect request of this entry.
    pub fn occupied(&self) -> ServerNames {
        self.occupied.lock().iter().cloned().collect()
    }

    /// Reserves `server` for one suspect request until the result is dropped; `None` if it is running
    /// another one.
    pub fn occupy(&self, server: &name::Vm) -> Option<Occupancy<'_>> {
        let mut occupied = self.occupied.lock();
        if occupied.contains(server) {
            return None;
        }
        occupied.push(server.clone());
        Some(Occupancy { suspects: self, server: server.clone() })
    }

    /// Number of requests that are held back.
    pub fn held_count(&self, now: Instant) -> usize {
        let records = self.records.lock();
        let held = |record: &&Record| record.held_until().is_some_and(|until| now < until);
        records.values().filter(held).count()
    }

    /// Whether a request may be sent at `now`. Once its time is over, only the one entry that `may_try`
    /// sends it, once in [`TRIAL_INTERVAL`].
    pub fn judge(
        &self,
        request: &Fingerprint,
        now: Instant,
        may_try: impl Fn() -> bool,
    ) -> Judgement {
        let held_until = self.records.lock().get(request).and_then(Record::held_until);
        match held_until {
            None => Judgement::Clear,
            Some(until) if now < until => Judgement::Held(until.since(now)),
            Some(_) if may_try() && self.begin_trial(*request, now) => Judgement::Clear,
            Some(_) => Judgement::Held(TRIAL_INTERVAL),
        }
    }

    fn begin_trial(&self, request: Fingerprint, now: Instant) -> bool {
        let mut trials = self.trials.lock();
        trials.retain(|_, at| now.since(*at) < TRIAL_INTERVAL);
        let begun = !trials.contains_key(&request);
        if begun {
            trials.insert(request, now);
            log::info!("event=suspect request={request} state=trial");
        }
        begun
    }

    /// Records that a server crashed while it ran the request.
    pub fn record_crash(&self, request: Fingerprint, process: ServerProcess, now: Instant) {
        let crash = Record { crashes: smallvec![Crash { process, at: now }], answered_at: None };
        let record = self.merge_one(request, &crash, now);
        let count = record.crash_count();
        log::warn!("event=suspect request={request} state=crash count={count}");
        self.share_urgently(count, request, record);
    }

    /// Records that a server answered the request, if it is suspect.
    pub fn record_answer(&self, request: Fingerprint, now: Instant) {
        let mut records = self.records.lock();
        let Some(record) = records.get_mut(&request) else {
            return;
        };
        let count = record.crash_count();
        if count == 0 {
            return;
        }
        record.answered_at = Some(now);
        let record = record.clone();
        drop(records);
        log::info!("event=suspect request={request} state=answered count={count}");
        self.share_urgently(count, request, record);
    }

    fn share_urgently(&self, count: usize, request: Fingerprint, record: Record) {
        if count >= URGENT_COUNT {
            self.urgent.lock().push((request, record));
            self.has_urgent.notify_one();
        }
    }

    /// Waits for records that all entries are to be told at once.
    pub async fn next_urgent(&self) -> Vec<Suspect> {
        loop {
            let urgent = std::mem::take(&mut *self.urgent.lock());
            if !urgent.is_empty() {
                return urgent;
            }
            self.has_urgent.notified().await;
        }
    }

    /// Merges what another entry knows of a request.
    pub fn merge(&self, request: Fingerprint, other: &Record, now: Instant) {
        let recent = |crash: &&Crash| now.since(crash.at) < CRASH_MEMORY;
        let crashes: SmallVec<_> = other.crashes.iter().filter(recent).copied().collect();
        if !crashes.is_empty() {
            let other = Record { crashes, answered_at: other.answered_at };
            self.merge_one(request, &other, now);
        }
    }

    /// The records that other entries should have, at most `max_count`: those with the most crashes
    /// first, the latest of them first.
    pub fn to_share(&self, max_count: usize, now: Instant) -> Vec<Suspect> {
        let mut records = self.records.lock();
        remove_old(&mut records, now);
        let mut shared: Vec<_> =
            records.iter().map(|(request, record)| (*request, record.clone())).collect();
        drop(records);
        shared.sort_by_key(|(_, record)| {
            std::cmp::Reverse((record.crashes.len().min(CRASH_LIMIT), record.changed_at()))
        });
        shared.truncate(max_count);
        shared
    }

    fn merge_one(&self, request: Fingerprint, other: &Record, now: Instant) -> Record {
        let mut records = self.records.lock();
        if !records.contains_key(&request) && records.len() >= MAX_RECORDS {
            remove_old(&mut records, now);
            remove_least(&mut records);
        }
        let record = records.entry(request).or_default();
        let was_held = record.held_until().is_some();
        record.merge(other);
        let record = record.clone();
        drop(records);
        if !was_held && record.held_until().is_some() {
            log::warn!("event=suspect request={request} state=held hold_s={}", HOLD_TIME.as_secs());
        }
        record
    }
}

/// A server that is reserved for one suspect request.
#[derive(Debug)]
pub struct Occupancy<'a> {
    suspects: &'a Suspects,
    server: name::Vm,
}

impl Drop for Occupancy<'_> {
    fn drop(&mut self) {
        self.suspects.occupied.lock().retain(|server| *server != self.server);
    }
}

/// Removes records whose last change is long ago.
fn remove_old(records: &mut HashMap<Fingerprint, Record>, now: Instant) {
    records.retain(|_, record| now.since(record.changed_at()) < CRASH_MEMORY);
}

/// Removes a record with the fewest crashes if there is no room for another one, of these the one
/// whose last change is longest ago.
fn remove_least(records: &mut HashMap<Fingerprint, Record>) {
    if records.len() < MAX_RECORDS {
        return;
    }
    let least =
        records.iter().min_by_key(|(_, record)| (record.crash_count(), record.changed_at()));
    if let Some(request) = least.map(|(request, _)| *request) {
        records.remove(&request);
    }
}
