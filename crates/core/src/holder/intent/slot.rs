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
pub(super) const MAX_REFUSED: usize = 8;

/// The places of refused documents.
pub(super) type Refused = SmallVec<[DocumentVersion; MAX_REFUSED]>;

/// A kind of document, with the events about it.
pub(super) trait Document {
    /// The document of this number came into force.
    fn accepted(number: u64) -> Event;
    /// The document of this number is not valid.
    fn refused(number: u64, why: String) -> Event;
    /// There are two documents of this number.
    fn conflict(number: u64) -> Event;
    /// The platform serves `served`, which is older than `in_force`.
    fn stale(served: u64, in_force: u64) -> Event;
}

/// A document in force.
#[derive(Debug)]
pub struct AcceptedDocument<T> {
    /// The document.
    pub value: Arc<T>,
    /// Its place in the order.
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
    /// Its place in the order.
    pub version: DocumentVersion,
    /// Why it is not valid, cut to [`event::MAX_TEXT_BYTES`] bytes.
    pub reason: String,
    /// When it was refused first.
    pub refused_at: Instant,
    /// The peer it came from; `None` if it came from the platform.
    pub from: Option<name::Vm>,
}

/// A document offered to a slot.
pub(super) struct Offer<'a, T> {
    pub now: Instant,
    pub order: DocumentVersion,
    pub document: Result<T, String>,
    pub bytes: Arc<[u8]>,
    pub source: Source<'a>,
}

/// What an offer changed. Documents that are no longer needed are handed back, so that they are
/// freed after the table's lock is released: a VM list of the design target has thousands of names.
pub(super) struct Change<T> {
    pub decision: Decision,
    pub events: SmallVec<[Event; 2]>,
    pub replaced: Option<AcceptedDocument<T>>,
    pub unused: Option<T>,
}

/// What the platform answered about one document.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Served {
    /// When the latest answered read was sent.
    pub answered: Option<Instant>,
    /// When the latest read was sent whose answer was not older than the document in force.
    pub current: Option<Instant>,
    /// Place of the document in the latest answer.
    pub order: Option<DocumentVersion>,
    reported: Option<DocumentVersion>,
}

/// One kind of document: the one in force, and what was refused or contradicts it.
#[derive(Debug)]
pub(super) struct Slot<T> {
    accepted: Option<AcceptedDocument<T>>,
    refusal: Option<Refusal>,
    refused: Refused,
    conflict: Option<(DocumentVersion, DocumentVersion)>,
    served: Served,
}

impl<T> Default for Slot<T> {
    fn default() -> Self {
        Self {
            accepted: None,
            refusal: None,
            refused: Refused::new(),
            conflict: None,
            served: Served::default(),
        }
    }
}

impl<T> Slot<T> {
    pub fn accepted(&self) -> Option<&AcceptedDocument<T>> {
        self.accepted.as_ref()
    }

    pub fn order(&self) -> Option<DocumentVersion> {
        self.accepted.as_ref().map(|accepted| accepted.version)
    }

    pub fn refusal(&self) -> Option<&Refusal> {
        self.refusal.as_ref()
    }

    pub fn refused(&self) -> &Refused {
        &self.refused
    }

    pub fn served(&self) -> Served {
        self.served
    }

    /// The place of the document that the platform serves, if that is older than the one in force.
    /// A document too damaged to have a number is not older: it is a new mistake.
    pub fn stale(&self) -> Option<DocumentVersion> {
        let served = self.served.order.filter(|served| served.number > 0)?;
        (served < self.order()?).then_some(served)
    }

    /// The platform answered a read sent at `asked` that it has no such document.
    pub fn missing(&mut self, asked: Instant) {
        self.served.answered = self.served.answered.max(Some(asked));
        self.served.order = None;
    }
}

impl<T: Document> Slot<T> {
    /// Decides about a document and takes it over if it is valid and comes after the one in force.
    pub fn offer(&mut self, offer: Offer<'_, T>) -> Change<T> {
        let Offer { now, order, document, bytes, source } = offer;
        let decision = decide(self.order(), order, document.is_ok());
        let mut events = SmallVec::new();
        events.extend(self.conflicting(order));
        let from = match source {
            Source::Platform { .. } => None,
            Source::Peer(peer) => Some(peer.clone()),
        };
        let (mut replaced, mut unused) = (None, None);
        match (decision, document) {
            (Decision::Accepted, Ok(value)) => {
                let accepted = AcceptedDocument {
                    value: Arc::new(value),
                    version: order,
                    bytes,
                    accepted_at: now,
                    from,
                };
                replaced = self.accept(accepted);
                events.push(T::accepted(order.number));
            }
            (Decision::Refused, Err(reason)) => {
                events.extend(self.refuse(Refusal {
                    version: order,
                    reason,
                    refused_at: now,
                    from,
                }));
            }
            (_, document) => unused = document.ok(),
        }
        if let Source::Platform { sent_at: asked } = source {
            self.withdraw(decision);
            self.served.order = Some(order);
            events.extend(self.answered(asked));
        }
        Change { decision, events, replaced, unused }
    }

    /// The platform answered a read sent at `asked` with the same document as before, or with none
    /// if it had none before. Reports a document that became stale because a peer had a newer one.
    pub fn answered(&mut self, asked: Instant) -> Option<Event> {
        self.served.answered = self.served.answered.max(Some(asked));
        let Some(stale) = self.stale() else {
            self.served.reported = None;
            if self.served.order.is_some() {
                self.served.current = self.served.current.max(Some(asked));
            }
            return None;
        };
        let in_force = self.order()?;
        // A document with the same number was reported as a conflict.
        if stale.number == in_force.number || self.served.reported == Some(stale) {
            return None;
        }
        self.served.reported = Some(stale);
        Some(T::stale(stale.number, in_force.number))
    }

    fn accept(&mut self, accepted: AcceptedDocument<T>) -> Option<AcceptedDocument<T>> {
        let order = accepted.version;
        self.refused.retain(|refused| *refused > order);
        self.refusal = self.refusal.take().filter(|refusal| refusal.version > order);
        self.accepted.replace(accepted)
    }

    /// Keeps the refusal if it is the newest, and reports it if it is new.
    fn refuse(&mut self, mut refusal: Refusal) -> Option<Event> {
        let order = refusal.version;
        refusal.reason = event::truncate(refusal.reason);
        let reason = refusal.reason.clone();
        let newest = match &self.refusal {
            None => true,
            Some(kept) => kept.version != order && (order.number == 0 || order > kept.version),
        };
        if newest {
            self.refusal = Some(refusal);
        }
        if self.refused.contains(&order) {
            return None;
        }
        if self.refused.len() == MAX_REFUSED {
            self.refused.remove(0);
        }
        self.refused.push(order);
        Some(T::refused(order.number, reason))
    }

    /// Forgets the platform's refused document when it serves the one in force again: the operators
    /// withdrew it.
    fn withdraw(&mut self, decision: Decision) {
        if decision == Decision::InForce {
            self.refusal = self.refusal.take().filter(|refusal| refusal.from.is_some());
        }
    }

    /// Reports a document with the number of the one in force and another digest, once for each
    /// pair.
    fn conflicting(&mut self, order: DocumentVersion) -> Option<Event> {
        let in_force = self.order()?;
        if order.number != in_force.number || order.digest == in_force.digest {
            return None;
        }
        let pair = (order.min(in_force), order.max(in_force));
        if self.conflict == Some(pair) {
            return None;
        }
        self.conflict = Some(pair);
        Some(T::conflict(order.number))
    }
}

fn decide(in_force: Option<DocumentVersion>, order: DocumentVersion, valid: bool) -> Decision {
    let numbered = valid || order.number > 0;
    match in_force {
        Some(in_force) if order == in_force => Decision::InForce,
        Some(in_force) if order < in_force && numbered => Decision::Older,
        _ if valid => Decision::Accepted,
        _ => Decision::Refused,
    }
}
