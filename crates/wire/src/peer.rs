use serde::Deserialize;
use serde::Serialize;

/// A timestamp of the sender's hybrid logical clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Stamp {
    /// Milliseconds since the Unix epoch.
    pub millis: u64,
    /// Orders stamps with equal milliseconds.
    pub counter: u32,
}

/// Version of a document. Versions compare by number and then by digest; an entry replaces a
/// document only by one with a greater version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DocumentVersion {
    /// Revision of a configuration or version of a VM list.
    pub number: u64,
    /// xxh3 digest of the document's bytes, 64 bits.
    pub digest: u64,
}

/// Capacity of an entry for one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacity {
    /// The service.
    pub service: String,
    /// Sum of the concurrency limits of the servers that the entry holds.
    pub limit: u32,
    /// Number of requests that the entry could dispatch without queueing.
    pub free: u32,
}

/// State of an entry that it sends to its peers at a regular interval, and in answer to theirs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the entry's VM.
    pub from: String,
    /// Identifies the process; each start has another value.
    pub incarnation: u64,
    /// The entry's clock.
    pub clock: Stamp,
    /// Configuration in force.
    pub config: Option<DocumentVersion>,
    /// VM list in force.
    pub vms: Option<DocumentVersion>,
    /// Whether the entry serves callers.
    pub ready: bool,
    /// Whether the entry's planned stop has begun.
    pub leaving: bool,
    /// Capacity for each service of which the entry holds a server.
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

/// Requests a witness's promise of cold servers to the claimant.
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
    /// The servers released; the witness may promise them to another entry at once.
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
    /// For each server of the claim, in the same order, whether the witness promises it.
    pub granted: Vec<bool>,
}

/// A header field of a forwarded request or answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header<'a> {
    /// Name of the field.
    pub name: &'a str,
    /// Value of the field.
    #[serde(borrow, with = "serde_bytes")]
    pub value: &'a [u8],
}

/// Forwards one attempt of a request to an entry that holds servers of the service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardRequest<'a> {
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
    pub headers: Vec<Header<'a>>,
    /// The complete body.
    #[serde(with = "serde_bytes")]
    pub body: &'a [u8],
}

/// Result of a forwarded attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict<'a> {
    /// The attempt ran; the server's complete answer.
    Ran {
        /// HTTP status code.
        status: u16,
        /// Header fields.
        #[serde(borrow)]
        headers: Vec<Header<'a>>,
        /// The complete body.
        #[serde(with = "serde_bytes")]
        body: &'a [u8],
    },
    /// The attempt did not run; the code of a refusal, `not_sent` or `shed`.
    NotRun(&'a str),
    /// The attempt may have run; the code that says why its outcome is unknown.
    MayHaveRun(&'a str),
}

/// Answers a [`ForwardRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardReply<'a> {
    /// Request id, as in the [`ForwardRequest`].
    pub id: &'a str,
    /// Number of the attempt, as in the [`ForwardRequest`].
    pub attempt: u32,
    /// Result of the attempt.
    #[serde(borrow)]
    pub verdict: Verdict<'a>,
    /// Number of requests of the service that the entry could dispatch without queueing.
    pub free: u32,
}

/// Waits until the entry can dispatch a request of the service without queueing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VacancyRequest<'a> {
    /// The service.
    pub service: &'a str,
    /// Longest wait, in milliseconds.
    pub wait_ms: u32,
}

/// Answers a [`VacancyRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vacancy {
    /// Number of requests that the entry could dispatch without queueing; 0 if the wait timed out.
    pub free: u32,
}

/// A document, byte for byte as the platform published it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document<'a> {
    /// Version of the document.
    pub order: DocumentVersion,
    /// The bytes of the document.
    #[serde(borrow, with = "serde_bytes")]
    pub bytes: &'a [u8],
}
