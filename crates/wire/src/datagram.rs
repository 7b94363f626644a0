use serde::Deserialize;
use serde::Serialize;
use serde_bytes::ByteBuf;

/// What an entry tells of itself or of another entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// IPv4 address of its VM.
    pub ip: u32,
    /// Its failure domain, as an index into [`Beat::domains`].
    pub domain: u16,
    /// Tells its processes apart; a later one has a higher number.
    pub incarnation: u64,
    /// Beats of the process.
    pub beat: u64,
    /// Whether its planned stop has begun.
    pub leaving: bool,
}

/// Signs of life.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// Names of failure domains.
    pub domains: Vec<String>,
    /// The entries, the sender first.
    pub members: Vec<Member>,
}

/// An item of the platform's store, or the mark of one that ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Key.
    pub key: String,
    /// Revision of the last change.
    pub revision: u64,
    /// Value; `None` if the item ended.
    pub value: Option<ByteBuf>,
}

/// Changes of the platform's store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Revision that the changes start from; 0 if they are the whole state.
    pub from: u64,
    /// Revision that they reach.
    pub to: u64,
    /// Age in milliseconds of the proof that `to` is the store's revision.
    pub age_ms: u64,
    /// The changes.
    pub items: Vec<Item>,
}

/// What changes lead to, without them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ahead {
    /// Revision that the changes reach.
    pub to: u64,
    /// Age in milliseconds of the proof that `to` is the store's revision.
    pub age_ms: u64,
}

/// News of the platform's store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum News {
    /// Changes.
    Delta(Delta),
    /// Changes that do not fit in datagrams and are to be fetched at
    /// [`path::FEED`](crate::path::FEED).
    Ahead(Ahead),
}

/// A message between entries that may get lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// Signs of life.
    Beat(Beat),
    /// News for the receiver.
    News(News),
    /// News for the receiver and all entries of its failure domain, to which it passes them on.
    Relay(News),
}
