use std::sync::Arc;

use smallvec::SmallVec;

use super::AcceptedDocument;
use super::Decision;
use super::DocumentVersion;
use super::Refusal;
use super::Source;
use super::slot::Document;
use super::slot::MAX_REFUSED_VERSIONS;
use super::slot::Offer;
use super::slot::Slot;
use crate::holder::config::Config;
use crate::holder::event::Event;
use crate::holder::member::VmList;
use crate::holder::port::Journal;
use crate::lock::Mutex;
use crate::lock::Rank;
use crate::time::Instant;

/// The configuration and the VM list in force together, as one consistent value for a request.
#[derive(Debug, Clone)]
pub struct Intent {
    /// The configuration.
    pub config: Arc<Config>,
    /// The VM list.
    pub list: Arc<VmList>,
    /// Version of the configuration.
    pub config_version: DocumentVersion,
    /// Version of the VM list.
    pub list_version: DocumentVersion,
}

/// The state of one kind of document, for operators and peers.
#[derive(Debug, Clone)]
pub struct DocumentStatus<T> {
    /// The document in force.
    pub accepted: Option<AcceptedDocument<T>>,
    /// The newest refused document; `None` once a later one was accepted or the platform serves the
    /// one in force again.
    pub refusal: Option<Refusal>,
    /// Version of the document that the platform serves, if that is older than the one in force.
    pub stale: Option<DocumentVersion>,
    /// Versions of the documents refused since the last one was accepted, which need not be fetched
    /// again.
    pub refused: SmallVec<[DocumentVersion; MAX_REFUSED_VERSIONS]>,
}

/// The latest reads of the platform. Each time is the earlier one of those for the two kinds of
/// documents, and is the time at which the answered read was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PlatformReads {
    /// Latest read that the platform answered, whatever the answer.
    pub answered_at: Option<Instant>,
    /// Latest read that the platform answered with a document not older than the one in force.
    pub current_at: Option<Instant>,
}

#[derive(Debug, Default)]
struct State {
    config: Slot<Config>,
    list: Slot<VmList>,
    snapshot: Option<Arc<Intent>>,
}

/// The documents in force, shared by all workers.
///
/// Offers are rare (a few per minute), so some work is done under the lock.
/// [`DocumentTable::snapshot`] only clones an `Arc`.
#[derive(Debug)]
pub struct DocumentTable {
    state: Mutex<State>,
}

impl Default for DocumentTable {
    fn default() -> Self {
        Self::new()
    }
}

impl DocumentTable {
    /// Creates a table without documents.
    pub fn new() -> Self {
        Self { state: Mutex::new(Rank::Intent, State::default()) }
    }

    /// The documents in force, once there are both.
    pub fn snapshot(&self) -> Option<Arc<Intent>> {
        self.state.lock().snapshot.clone()
    }

    /// Decides whether a configuration comes into force. `document` is the parsed configuration, or
    /// the reason why it is not valid; `bytes` is the document as published. Events are recorded
    /// after the lock is released.
    pub fn offer_config(
        &self,
        now: Instant,
        version: DocumentVersion,
        document: Result<Config, String>,
        bytes: &[u8],
        source: Source<'_>,
        journal: &impl Journal,
    ) -> Decision {
        let bytes = Arc::from(bytes);
        self.offer(Offer { now, version, document, bytes, source }, journal)
    }

    /// Decides whether a VM list comes into force; see [`DocumentTable::offer_config`].
    pub fn offer_list(
        &self,
        now: Instant,
        version: DocumentVersion,
        document: Result<VmList, String>,
        bytes: &[u8],
        source: Source<'_>,
        journal: &impl Journal,
    ) -> Decision {
        let bytes = Arc::from(bytes);
        self.offer(Offer { now, version, document, bytes, source }, journal)
    }

    /// Records that the platform answered a read sent at `sent_at` with the same configuration as
    /// in its previous answer.
    pub fn mark_config_unchanged(&self, sent_at: Instant, journal: &impl Journal) {
        self.mark_unchanged::<Config>(sent_at, journal);
    }

    /// Records that the platform answered a read sent at `sent_at` with the same VM list as in its
    /// previous answer.
    pub fn mark_list_unchanged(&self, sent_at: Instant, journal: &impl Journal) {
        self.mark_unchanged::<VmList>(sent_at, journal);
    }

    /// Records that the platform answered a read sent at `sent_at` that it has no configuration.
    /// The one in force stays.
    pub fn mark_config_missing(&self, sent_at: Instant) {
        self.state.lock().config.record_missing(sent_at);
    }

    /// Records that the platform answered a read sent at `sent_at` that it has no VM list. The one
    /// in force stays.
    pub fn mark_list_missing(&self, sent_at: Instant) {
        self.state.lock().list.record_missing(sent_at);
    }

    /// Version of the configuration in the platform's last answer.
    pub fn served_config_version(&self) -> Option<DocumentVersion> {
        self.state.lock().config.platform().served_version
    }

    /// Version of the VM list in the platform's last answer.
    pub fn served_list_version(&self) -> Option<DocumentVersion> {
        self.state.lock().list.platform().served_version
    }

    /// The versions of the configuration and the VM list in force.
    pub fn versions(&self) -> (Option<DocumentVersion>, Option<DocumentVersion>) {
        let state = self.state.lock();
        (state.config.version(), state.list.version())
    }

    /// The state of the configuration.
    pub fn config_status(&self) -> DocumentStatus<Config> {
        status(&self.state.lock().config)
    }

    /// The state of the VM list.
    pub fn list_status(&self) -> DocumentStatus<VmList> {
        status(&self.state.lock().list)
    }

    /// The latest reads of the platform.
    pub fn platform_reads(&self) -> PlatformReads {
        let state = self.state.lock();
        let (config, list) = (state.config.platform(), state.list.platform());
        // `None` is less than any time, so the minimum is `None` until both documents were read.
        PlatformReads {
            answered_at: config.answered_at.min(list.answered_at),
            current_at: config.current_at.min(list.current_at),
        }
    }

    fn offer<T: Slotted>(&self, offer: Offer<'_, T>, journal: &impl Journal) -> Decision {
        let mut state = self.state.lock();
        let result = T::slot(&mut state).offer(offer);
        let previous = match result.decision {
            Decision::Accepted => state.rebuild_snapshot(),
            _ => None,
        };
        drop(state);
        for event in result.events {
            journal.record(event);
        }
        // Freed here, after the lock is released.
        drop((result.replaced, result.unused, previous));
        result.decision
    }

    fn mark_unchanged<T: Slotted>(&self, sent_at: Instant, journal: &impl Journal) {
        let event = T::slot(&mut self.state.lock()).record_answer(sent_at);
        if let Some(event) = event {
            journal.record(event);
        }
    }
}

impl State {
    /// Builds the snapshot from the documents in force and returns the previous one.
    fn rebuild_snapshot(&mut self) -> Option<Arc<Intent>> {
        let config = self.config.accepted()?;
        let list = self.list.accepted()?;
        self.snapshot.replace(Arc::new(Intent {
            config: Arc::clone(&config.value),
            list: Arc::clone(&list.value),
            config_version: config.version,
            list_version: list.version,
        }))
    }
}

fn status<T>(slot: &Slot<T>) -> DocumentStatus<T> {
    DocumentStatus {
        accepted: slot.accepted().cloned(),
        refusal: slot.latest_refusal().cloned(),
        stale: slot.stale(),
        refused: slot.refused_versions().clone(),
    }
}

/// A kind of document that has a slot in the table.
trait Slotted: Document + Sized {
    fn slot(state: &mut State) -> &mut Slot<Self>;
}

impl Slotted for Config {
    fn slot(state: &mut State) -> &mut Slot<Self> {
        &mut state.config
    }
}

impl Slotted for VmList {
    fn slot(state: &mut State) -> &mut Slot<Self> {
        &mut state.list
    }
}

impl Document for Config {
    fn accepted(number: u64) -> Event {
        Event::ConfigAccepted(number)
    }

    fn refused(number: u64, reason: String) -> Event {
        Event::ConfigRefused(number, reason)
    }

    fn conflict(number: u64) -> Event {
        Event::ConfigConflict(number)
    }

    fn stale(served: u64, in_force: u64) -> Event {
        Event::ConfigStale(served, in_force)
    }
}

impl Document for VmList {
    fn accepted(number: u64) -> Event {
        Event::ListAccepted(number)
    }

    fn refused(number: u64, reason: String) -> Event {
        Event::ListRefused(number, reason)
    }

    fn conflict(number: u64) -> Event {
        Event::ListConflict(number)
    }

    fn stale(served: u64, in_force: u64) -> Event {
        Event::ListStale(served, in_force)
    }
}
