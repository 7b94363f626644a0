use std::sync::Arc;

use smallvec::SmallVec;

use super::AcceptedDocument;
use super::Decision;
use super::DocumentVersion;
use super::Refusal;
use super::Source;
use super::slot::Document;
use super::slot::MAX_REFUSED;
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
    /// Place of the configuration in the order.
    pub config_version: DocumentVersion,
    /// Place of the VM list in the order.
    pub list_version: DocumentVersion,
}

/// What operators and peers see of one kind of document.
#[derive(Debug, Clone)]
pub struct DocumentStatus<T> {
    /// The document in force.
    pub accepted: Option<AcceptedDocument<T>>,
    /// The newest refused document, until a later one is accepted or the platform serves the one in
    /// force again.
    pub refusal: Option<Refusal>,
    /// Place of the document that the platform serves, if that is older than the one in force.
    pub stale: Option<DocumentVersion>,
    /// Places of the documents refused since the last one was accepted, which need not be fetched
    /// again.
    pub refused: SmallVec<[DocumentVersion; MAX_REFUSED]>,
}

/// When the platform was read, for both documents: each time is that of the document read longer
/// ago. Times are those at which the answered reads were sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PlatformReads {
    /// The platform answered, with whatever document.
    pub answered_at: Option<Instant>,
    /// The platform answered with documents not older than those in force.
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
/// Offers are rare (a few per minute) and may do some work under the lock;
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

    /// Decides about a configuration, which is valid or has the reason why it is not. `bytes` is
    /// the document as published. Events are recorded after the lock is released.
    pub fn offer_config(
        &self,
        now: Instant,
        order: DocumentVersion,
        document: Result<Config, String>,
        bytes: &[u8],
        source: Source<'_>,
        journal: &impl Journal,
    ) -> Decision {
        let bytes = Arc::from(bytes);
        self.offer(Offer { now, order, document, bytes, source }, journal)
    }

    /// Decides about a VM list; see [`DocumentTable::offer_config`].
    pub fn offer_list(
        &self,
        now: Instant,
        order: DocumentVersion,
        document: Result<VmList, String>,
        bytes: &[u8],
        source: Source<'_>,
        journal: &impl Journal,
    ) -> Decision {
        let bytes = Arc::from(bytes);
        self.offer(Offer { now, order, document, bytes, source }, journal)
    }

    /// The platform answered a read sent at `asked` that the configuration is as it was in its last
    /// answer.
    pub fn mark_config_unchanged(&self, asked: Instant, journal: &impl Journal) {
        self.unchanged::<Config>(asked, journal);
    }

    /// The platform answered a read sent at `asked` that the VM list is as it was in its last
    /// answer.
    pub fn mark_list_unchanged(&self, asked: Instant, journal: &impl Journal) {
        self.unchanged::<VmList>(asked, journal);
    }

    /// The platform answered a read sent at `asked` that it has no configuration. The one in force
    /// stays.
    pub fn mark_config_missing(&self, asked: Instant) {
        self.state.lock().config.missing(asked);
    }

    /// The platform answered a read sent at `asked` that it has no VM list. The one in force stays.
    pub fn mark_list_missing(&self, asked: Instant) {
        self.state.lock().list.missing(asked);
    }

    /// Place of the configuration in the platform's last answer.
    pub fn served_config(&self) -> Option<DocumentVersion> {
        self.state.lock().config.served().order
    }

    /// Place of the VM list in the platform's last answer.
    pub fn served_list(&self) -> Option<DocumentVersion> {
        self.state.lock().list.served().order
    }

    /// The places of the configuration and the VM list in force.
    pub fn versions(&self) -> (Option<DocumentVersion>, Option<DocumentVersion>) {
        let state = self.state.lock();
        (state.config.order(), state.list.order())
    }

    /// The configuration in force and what was refused.
    pub fn config_status(&self) -> DocumentStatus<Config> {
        view(&self.state.lock().config)
    }

    /// The VM list in force and what was refused.
    pub fn list_status(&self) -> DocumentStatus<VmList> {
        view(&self.state.lock().list)
    }

    /// When the platform was read.
    pub fn platform_reads(&self) -> PlatformReads {
        let state = self.state.lock();
        let (config, list) = (state.config.served(), state.list.served());
        // `None` is less than any time, so the minimum is `None` until both documents were read.
        PlatformReads {
            answered_at: config.answered.min(list.answered),
            current_at: config.current.min(list.current),
        }
    }

    fn offer<T: Kept>(&self, offer: Offer<'_, T>, journal: &impl Journal) -> Decision {
        let mut state = self.state.lock();
        let change = T::slot(&mut state).offer(offer);
        let outdated = match change.decision {
            Decision::Accepted => state.refresh(),
            _ => None,
        };
        drop(state);
        for event in change.events {
            journal.record(event);
        }
        // Freed here, after the lock is released.
        drop((change.replaced, change.unused, outdated));
        change.decision
    }

    fn unchanged<T: Kept>(&self, asked: Instant, journal: &impl Journal) {
        let event = T::slot(&mut self.state.lock()).answered(asked);
        if let Some(event) = event {
            journal.record(event);
        }
    }
}

impl State {
    /// Builds the snapshot again and returns the previous one.
    fn refresh(&mut self) -> Option<Arc<Intent>> {
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

fn view<T>(slot: &Slot<T>) -> DocumentStatus<T> {
    DocumentStatus {
        accepted: slot.accepted().cloned(),
        refusal: slot.refusal().cloned(),
        stale: slot.stale(),
        refused: slot.refused().clone(),
    }
}

/// A kind of document that the table keeps.
trait Kept: Document + Sized {
    fn slot(state: &mut State) -> &mut Slot<Self>;
}

impl Kept for Config {
    fn slot(state: &mut State) -> &mut Slot<Self> {
        &mut state.config
    }
}

impl Kept for VmList {
    fn slot(state: &mut State) -> &mut Slot<Self> {
        &mut state.list
    }
}

impl Document for Config {
    fn accepted(number: u64) -> Event {
        Event::ConfigAccepted(number)
    }

    fn refused(number: u64, why: String) -> Event {
        Event::ConfigRefused(number, why)
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

    fn refused(number: u64, why: String) -> Event {
        Event::ListRefused(number, why)
    }

    fn conflict(number: u64) -> Event {
        Event::ListConflict(number)
    }

    fn stale(served: u64, in_force: u64) -> Event {
        Event::ListStale(served, in_force)
    }
}
