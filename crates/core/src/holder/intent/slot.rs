use std::sync::Arc;

use smallvec::SmallVec;

use super::Decision;
use super::DocumentVersion;
use super::Source;
use crate::holder::event;
use crate::holder::event::Event;
use crate::name;
use crate::time::Instant;

/// How many refused documents are remembered, so that each is reported once and not fetched again.
/// More than one is only needed when peers of several program versions disagree on what is valid.
pub(super) const MAX_REFUSED_VERSIONS: usize = 8;

/// The versions of refused documents.
pub(super) type RefusedVersions = SmallVec<[DocumentVersion; MAX_REFUSED_VERSIONS]>;

/// A kind of document, which determines the events about documents of that kind.
pub(super) trait Document {
    /// The event that the document with this number came into force.
    fn accepted(number: u64) -> Event;
    /// The event that the document with this number is not valid.
    fn refused(number: u64, reason: String) -> Event;
    /// The event that there are two documents with this number.
    fn conflict(number: u64) -> Event;
    /// The event that the platform serves number `served`, older than number `in_force`.
    fn stale(served: u64, in_force: u64) -> Event;
}

/// A document in force.
#[derive(Debug)]
pub struct AcceptedDocument<T> {
    /// The document.
    pub value: Arc<T>,
    /// Its version.
    pub version: DocumentVersion,
    /// Its bytes as published, for peers that fetch it.
    pub bytes: Arc<[u8]>,
    /// When it came into force on this entry.
    pub accepted_at: Instant,
    /// The peer it came from; `None` if it came from the platform.
    pub from: Option<name::Vm>,
}

impl<T> Clone for AcceptedDocument<T> {
    fn clone(&self) -> Self {
        Self {
            value: Arc::clone(&self.value),
            version: self.version,
            bytes: Arc::clone(&self.bytes),
            accepted_at: self.accepted_at,
            from: self.from.clone(),
        }
    }
}

/// A document that was refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Its version.
    pub version: DocumentVersion,
    /// Why it is not valid, truncated to [`event::MAX_TEXT_BYTES`].
    pub reason: String,
    /// When it was first refused.
    pub refused_at: Instant,
    /// The peer it came from; `None` if it came from the platform.
    pub from: Option<name::Vm>,
}

/// A document offered to a slot.
pub(super) struct Offer<'a, T> {
    pub now: Instant,
    pub version: DocumentVersion,
    pub document: Result<T, String>,
    pub bytes: Arc<[u8]>,
    pub source: Source<'a>,
}

/// The result of an offer. It returns the documents that are no longer needed, so that they are
/// freed after the table's lock is released: a VM list of the design target has thousands of names.
pub(super) struct OfferResult<T> {
    pub decision: Decision,
    pub events: SmallVec<[Event; 2]>,
    pub replaced: Option<AcceptedDocument<T>>,
    pub unused: Option<T>,
}

/// The platform's answers about one kind of document.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PlatformAnswers {
    /// When the latest answered read was sent.
    pub answered_at: Option<Instant>,
    /// When the latest read was sent whose answer was not older than the document in force.
    pub current_at: Option<Instant>,
    /// Version of the document in the latest answer; `None` if there was no document.
    pub served_version: Option<DocumentVersion>,
    /// The stale version that was last reported by an event.
    reported_stale: Option<DocumentVersion>,
}

/// The state of one kind of document: the one in force, refused ones and conflicts.
#[derive(Debug)]
pub(super) struct Slot<T> {
    accepted: Option<AcceptedDocument<T>>,
    latest_refusal: Option<Refusal>,
    refused_versions: RefusedVersions,
    /// The conflicting versions that were last reported, the lower one first.
    reported_conflict: Option<(DocumentVersion, DocumentVersion)>,
    platform: PlatformAnswers,
}

impl<T> Default for Slot<T> {
    fn default() -> Self {
        Self {
            accepted: None,
            latest_refusal: None,
            refused_versions: RefusedVersions::new(),
            reported_conflict: None,
            platform: PlatformAnswers::default(),
        }
    }
}

impl<T> Slot<T> {
    pub fn accepted(&self) -> Option<&AcceptedDocument<T>> {
        self.accepted.as_ref()
    }

    pub fn version(&self) -> Option<DocumentVersion> {
        self.accepted.as_ref().map(|accepted| accepted.version)
    }

    pub fn latest_refusal(&self) -> Option<&Refusal> {
        self.latest_refusal.as_ref()
    }

    pub fn refused_versions(&self) -> &RefusedVersions {
        &self.refused_versions
    }

    pub fn platform(&self) -> PlatformAnswers {
        self.platform
    }

    /// The version of the document that the platform serves, if that is older than the one in
    /// force. A document too damaged to have a number does not count as older.
    pub fn stale(&self) -> Option<DocumentVersion> {
        let served = self.platform.served_version.filter(|served| served.number > 0)?;
        (served < self.version()?).then_some(served)
    }

    /// Records that the platform answered a read sent at `sent_at` that it has no such document.
    pub fn record_missing(&mut self, sent_at: Instant) {
        self.platform.answered_at = self.platform.answered_at.max(Some(sent_at));
        self.platform.served_version = None;
    }
}

impl<T: Document> Slot<T> {
    /// Decides about a document and puts it in force if it is valid and later than the one in
    /// force.
    pub fn offer(&mut self, offer: Offer<'_, T>) -> OfferResult<T> {
        let Offer { now, version, document, bytes, source } = offer;
        let decision = decide(self.version(), version, document.is_ok());
        let mut events = SmallVec::new();
        events.extend(self.report_conflict(version));
        let from = match source {
            Source::Platform { .. } => None,
            Source::Peer(peer) => Some(peer.clone()),
        };
        let (mut replaced, mut unused) = (None, None);
        match (decision, document) {
            (Decision::Accepted, Ok(value)) => {
                let accepted = AcceptedDocument {
                    value: Arc::new(value),
                    version,
                    bytes,
                    accepted_at: now,
                    from,
                };
                replaced = self.accept(accepted);
                events.push(T::accepted(version.number));
            }
            (Decision::Refused, Err(reason)) => {
                events.extend(self.refuse(Refusal { version, reason, refused_at: now, from }));
            }
            (_, document) => unused = document.ok(),
        }
        if let Source::Platform { sent_at } = source {
            self.clear_withdrawn(decision);
            self.platform.served_version = Some(version);
            events.extend(self.record_answer(sent_at));
        }
        OfferResult { decision, events, replaced, unused }
    }

    /// Records that the platform answered a read sent at `sent_at` with the document in
    /// `platform.served_version`, or with none if that is `None`. Returns an event if that document
    /// is stale and this was not reported yet; a document becomes stale when a peer has a newer
    /// one.
    pub fn record_answer(&mut self, sent_at: Instant) -> Option<Event> {
        self.platform.answered_at = self.platform.answered_at.max(Some(sent_at));
        let Some(stale) = self.stale() else {
            self.platform.reported_stale = None;
            if self.platform.served_version.is_some() {
                self.platform.current_at = self.platform.current_at.max(Some(sent_at));
            }
            return None;
        };
        let in_force = self.version()?;
        // A document with the same number is reported as a conflict.
        if stale.number == in_force.number || self.platform.reported_stale == Some(stale) {
            return None;
        }
        self.platform.reported_stale = Some(stale);
        Some(T::stale(stale.number, in_force.number))
    }

    fn accept(&mut self, accepted: AcceptedDocument<T>) -> Option<AcceptedDocument<T>> {
        let version = accepted.version;
        self.refused_versions.retain(|refused| *refused > version);
        self.latest_refusal =
            self.latest_refusal.take().filter(|refusal| refusal.version > version);
        self.accepted.replace(accepted)
    }

    /// Stores the refusal if its document is the newest refused one. Returns an event if this
    /// version was not refused before.
    fn refuse(&mut self, mut refusal: Refusal) -> Option<Event> {
        let version = refusal.version;
        refusal.reason = event::truncate(refusal.reason);
        let reason = refusal.reason.clone();
        let newest = match &self.latest_refusal {
            None => true,
            // A document too damaged to have a number counts as the newest.
            Some(previous) => {
                previous.version != version && (version.number == 0 || version > previous.version)
            }
        };
        if newest {
            self.latest_refusal = Some(refusal);
        }
        if self.refused_versions.contains(&version) {
            return None;
        }
        if self.refused_versions.len() == MAX_REFUSED_VERSIONS {
            self.refused_versions.remove(0);
        }
        self.refused_versions.push(version);
        Some(T::refused(version.number, reason))
    }

    /// Clears the refusal of a document from the platform once the platform serves the document in
    /// force again, that is, once the operators withdrew the refused one.
    fn clear_withdrawn(&mut self, decision: Decision) {
        if decision == Decision::InForce {
            self.latest_refusal =
                self.latest_refusal.take().filter(|refusal| refusal.from.is_some());
        }
    }

    /// Returns an event for a document with the number of the one in force and another digest, once
    /// for each pair of versions.
    fn report_conflict(&mut self, version: DocumentVersion) -> Option<Event> {
        let in_force = self.version()?;
        if version.number != in_force.number || version.digest == in_force.digest {
            return None;
        }
        let pair = (version.min(in_force), version.max(in_force));
        if self.reported_conflict == Some(pair) {
            return None;
        }
        self.reported_conflict = Some(pair);
        Some(T::conflict(version.number))
    }
}

fn decide(in_force: Option<DocumentVersion>, version: DocumentVersion, valid: bool) -> Decision {
    let numbered = valid || version.number > 0;
    match in_force {
        Some(in_force) if version == in_force => Decision::InForce,
        Some(in_force) if version < in_force && numbered => Decision::Older,
        _ if valid => Decision::Accepted,
        _ => Decision::Refused,
    }
}
