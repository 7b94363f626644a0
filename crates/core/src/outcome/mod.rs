//! How attempts and requests end.
//!
//! Each admitted request ends in exactly one [`Outcome`]. "Refused" means that the request did not
//! run, and it is reported only if that is proved: [`Evidence`] is what one attempt proves, and
//! [`Outcome`] is derived from it.

use bytes::Bytes;
use quick_error::quick_error;

use crate::request::Header;

/// A whole answer of a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Header fields that are passed on to the caller.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Bytes,
}

impl Answer {
    /// Whether the status reports an error of the server.
    pub fn is_failure(&self) -> bool {
        self.status >= 500
    }
}

quick_error! {
    /// Why a request was not run.
    #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
    pub enum Refusal {
        /// This entry is cut off and cannot know the operators' latest settings.
        Fenced { display("fenced") }
        /// This entry is leaving.
        Leaving { display("leaving") }
        /// No configuration is in force yet.
        NotReady { display("not_ready") }
        /// The service is not in the configuration in force.
        UnknownService { display("unknown_service") }
        /// The request breaks a limit or is malformed.
        Invalid { display("invalid_request") }
        /// Too many requests wait for the service, or all servers are overloaded.
        QueueFull { display("queue_full") }
        /// All servers are held back by rate limits that they name or pauses that they want.
        RateLimit { display("rate_limit") }
        /// Servers crashed while they ran the request.
        Suspect { display("suspect") }
        /// No server could take the request before the deadline.
        Deadline { display("deadline") }
        /// No server of the service may receive requests.
        NoServer { display("no_server") }
        /// All attempts were refused, or the retry budget is used up.
        Attempts { display("attempts") }
        /// The entry that it was forwarded to had no capacity for it.
        Full { display("full") }
        /// This entry has too many bytes of bodies in memory.
        Memory { display("buffer_full") }
    }
}

impl Refusal {
    /// All reasons.
    pub const ALL: [Self; 13] = [
        Self::Fenced,
        Self::Leaving,
        Self::NotReady,
        Self::UnknownService,
        Self::Invalid,
        Self::QueueFull,
        Self::RateLimit,
        Self::Suspect,
        Self::Deadline,
        Self::NoServer,
        Self::Attempts,
        Self::Full,
        Self::Memory,
    ];

    /// The reason with the code `code`, as its `Display` writes it.
    pub fn from_code(code: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|refusal| refusal.to_string() == code)
    }
}

quick_error! {
    /// Why it is not known whether a request ran.
    #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
    pub enum UnknownReason {
        /// The connection broke when the request may have been sent.
        Broken { display("connection_broken") }
        /// No whole answer arrived before the deadline.
        Timeout { display("timeout") }
        /// The answer was cut off, is too large, or belongs to another request.
        BadAnswer { display("bad_answer") }
        /// A request with the same id is in flight on this entry, and may run.
        Duplicate { display("duplicate_id") }
    }
}

/// What one attempt proves about the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Evidence {
    /// The server ran the request and this is its whole answer.
    Ran(Answer),
    /// The request did not run.
    NotRun(NotRun),
    /// The request may have run.
    MayHaveRun(UnknownReason),
}

quick_error! {
    /// The proof that an attempt did not run.
    #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
    pub enum NotRun {
        /// No connection could be made, or it closed before the first byte was written.
        NotSent { display("not_sent") }
        /// The server answered that it did not run the request.
        Shed { display("shed") }
        /// The entry that holds the server refused the request before sending it to a server.
        Refused(reason: Refusal) { display("{}", reason) }
    }
}

impl From<Refusal> for Outcome {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The caller gets the server's whole answer.
    Answered(Answer),
    /// The request did not run.
    Refused(Refusal),
    /// The request may have run.
    Unknown(UnknownReason),
}
