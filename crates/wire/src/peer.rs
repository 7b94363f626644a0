use serde::Deserialize;
use serde::Serialize;

/// A stamp of the sender's hybrid logical clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Stamp {
    /// Milliseconds since the Unix epoch.
    pub millis: u64,
    /// Orders stamps with equal milliseconds.
    pub counter: u32,
}

/// Place of a document in the order of acceptance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Order {
    /// Revision of a configuration or version of a VM list.
    pub number: u64,
    /// xxh3 digest of the document's bytes, 64 bits.
    pub digest: u64,
}

/// What an entry can take on for one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacity {
    /// The service.
    pub service: String,
    /// Sum of the limits of the servers held.
    pub limit: u32,
    /// Requests that could be dispatched at once.
    pub free: u32,
}

/// What an entry tells its peers about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the entry's VM.
    pub from: String,
    /// Changes with each start of the process.
    pub incarnation: u64,
    /// The entry's clock.
    pub clock: Stamp,
    /// Configuration in force.
    pub config: Option<Order>,
    /// VM list in force.
    pub vms: Option<Order>,
    /// Whether the entry serves callers.
    pub ready: bool,
    /// Whether the entry's planned stop has begun.
    pub leaving: bool,
    /// Per service with a held server.
    pub capacity: Vec<Capacity>,
}

/// A server of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service.
    pub service: String,
    /// Name of the server's VM.
    pub server: String,
}

/// Asks a witness to promise cold servers to the claimant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Name of the claimant's VM.
    pub claimant: String,
    /// The claimant's incarnation.
    pub incarnation: u64,
    /// Number of the message; grows with each round of one incarnation.
    pub round: u64,
    /// The claimant's clock.
    pub clock: Stamp,
    /// The servers claimed.
    pub servers: Vec<Target>,
    /// The servers given back; the witness may promise them to another entry at once.
    #[serde(default)]
    pub released: Vec<Target>,
}

/// Answers a [`Claim`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Name of the witness's VM.
    pub witness: String,
    /// The witness's clock.
    pub clock: Stamp,
    /// For each claimed server, in order, whether it is promised.
    pub granted: Vec<bool>,
}

/// A header field that is passed through.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Field<'a> {
    /// Name of the field.
    pub name: &'a str,
    /// Value of the field.
    #[serde(borrow, with = "serde_bytes")]
    pub value: &'a [u8],
}

/// One attempt at a request, for an entry that holds servers of the service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forward<'a> {
    /// Request id.
    pub id: &'a str,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// The service.
    pub service: &'a str,
    /// Time left until the deadline, in microseconds.
    pub remaining_us: u64,
    /// Whether the request is idempotent.
    pub idempotent: bool,
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Header fields.
    #[serde(borrow)]
    pub headers: Vec<Field<'a>>,
    /// The whole body.
    #[serde(with = "serde_bytes")]
    pub body: &'a [u8],
}

/// What became of a forwarded attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict<'a> {
    /// The server's whole answer.
    Ran {
        /// HTTP status code.
        status: u16,
        /// Header fields.
        #[serde(borrow)]
        headers: Vec<Field<'a>>,
        /// The whole body.
        #[serde(with = "serde_bytes")]
        body: &'a [u8],
    },
    /// The attempt did not run; the reason as the code of a refusal, `not_sent` or `shed`.
    NotRun(&'a str),
    /// The attempt may have run; the reason as the code of a doubt.
    MayHaveRun(&'a str),
}

/// Answers a [`Forward`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply<'a> {
    /// Request id, as in the [`Forward`].
    pub id: &'a str,
    /// Number of the attempt, as in the [`Forward`].
    pub attempt: u32,
    /// What became of it.
    #[serde(borrow)]
    pub verdict: Verdict<'a>,
    /// Requests of the service that could be dispatched at once.
    pub free: u32,
}

/// Waits until the entry can dispatch a request of the service at once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watch<'a> {
    /// The service.
    pub service: &'a str,
    /// Longest wait, in milliseconds.
    pub wait_ms: u32,
}

/// Answers a [`Watch`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vacancy {
    /// Requests that could be dispatched at once; 0 if the wait ended without room.
    pub free: u32,
}

/// A document as the platform published it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document<'a> {
    /// Place in the order of acceptance.
    pub order: Order,
    /// The bytes of the document.
    #[serde(borrow, with = "serde_bytes")]
    pub bytes: &'a [u8],
}
