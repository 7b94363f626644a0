use serde::Deserialize;
use serde::Serialize;
use serde_bytes::ByteBuf;

/// An entry's membership record, as the sender knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// IPv4 address of its VM.
    pub ip: u32,
    /// Its failure domain, as an index into [`GossipHeartbeat::domains`].
    pub domain: u16,
    /// Number of the entry's process; a process that starts later has a higher one.
    pub incarnation: u64,
    /// Number of heartbeats that the process has sent.
    pub beat: u64,
    /// Whether its planned stop has begun.
    pub leaving: bool,
}

/// Heartbeat of the gossip membership: the sender and other entries that it knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipHeartbeat {
    /// Names of the failure domains of [`Self::members`].
    pub domains: Vec<String>,
    /// The entries, the sender first.
    pub members: Vec<Member>,
}

/// An item of the platform's store, or the tombstone of a removed item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Key.
    pub key: String,
    /// Revision of the last change.
    pub revision: u64,
    /// Value; `None` in a tombstone.
    pub value: Option<ByteBuf>,
}

/// Changes of the platform's store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Revision that the changes apply to; 0 if they are the whole state.
    pub from: u64,
    /// Revision of the store after the changes.
    pub to: u64,
    /// Age in milliseconds of the proof that `to` is the store's latest revision.
    pub age_ms: u64,
    /// The changes.
    pub items: Vec<Item>,
    /// Epoch of the revisions; 0 for the first one.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub epoch: u64,
}

/// Announces a revision of the platform's store without its changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionNotice {
    /// Revision of the store after the changes.
    pub to: u64,
    /// Age in milliseconds of the proof that `to` is the store's latest revision.
    pub age_ms: u64,
    /// Epoch of the revision; 0 for the first one.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub epoch: u64,
}

/// Entries that know no epochs can read the messages of the first one.
#[allow(clippy::trivially_copy_pass_by_ref, reason = "the signature that serde requires")]
fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// An update from the platform's store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreUpdate {
    /// Changes.
    Delta(Delta),
    /// A revision whose changes do not fit in datagrams; the receiver fetches them at
    /// [`path::STORE_CHANGES`](crate::path::STORE_CHANGES).
    Ahead(RevisionNotice),
}

/// An update that the receiver sends on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedUpdate {
    /// The update.
    pub update: StoreUpdate,
    /// IPv4 addresses of the entries that the receiver sends it on to, in some order.
    pub targets: Vec<u32>,
}

/// The crash of a server that was running a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// A number of the process that crashed.
    pub process: u64,
    /// Time since then in milliseconds.
    pub age_ms: u64,
}

/// A request under which servers crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Fingerprint of the request, 16 bytes.
    pub request: ByteBuf,
    /// The latest crashes.
    pub crashes: Vec<Crash>,
    /// Time since a server last answered the request, in milliseconds; `None` if none did.
    pub answered_age_ms: Option<u64>,
}

/// The answer to [`Datagram::ReachQuery`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reach {
    /// The services, of those asked about, whose servers the sender reaches.
    pub services: Vec<String>,
    /// Requests of other entries that the sender is serving.
    pub load: u32,
}

/// A message between entries, sent as a UDP datagram and not repeated when it is lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// A heartbeat.
    Beat(GossipHeartbeat),
    /// An update for the receiver.
    News(StoreUpdate),
    /// An update for the receiver and for further entries.
    Relay(RelayedUpdate),
    /// Requests under which servers crashed. Entries that do not know this message ignore it.
    Suspects(Vec<Suspect>),
    /// Asks the receiver which of these services it reaches, because the sender does not. Entries that
    /// do not know this message ignore it.
    ReachQuery(Vec<String>),
    /// The answer to it. Its sender takes forwarded requests.
    Reach(Reach),
}
