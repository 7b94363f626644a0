//! Ports of direct choice: how servers are reached, directly or through another entry.

use std::future::Future;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use crate::direct::fleet::LoadReport;
use crate::direct::rate_limit::RateLimit;
use crate::name;
use crate::outcome::Answer;
use crate::outcome::Refusal;
use crate::request::Content;
use crate::time::Instant;

/// The result of one attempt, as far as it shows whether the request ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The server ran the request and this is its whole answer.
    Ran(Answer),
    /// The server answered that it did not run the request.
    Shed,
    /// Another server has the address, and it did not run the request.
    Misdirected,
    /// No byte of the request was sent.
    NotSent,
    /// The request may have run. The text is the cause, as a word for the log.
    MayHaveRun(&'static str),
}

impl Verdict {
    /// Cause of [`Verdict::MayHaveRun`] if the answer did not arrive in time.
    pub const TIMEOUT: &'static str = "timeout";

    /// Cause of [`Verdict::MayHaveRun`] if the connection broke before an answer.
    pub const CONNECTION_BROKEN: &'static str = "connection_broken";

    /// Cause of [`Verdict::MayHaveRun`] if the answer broke off.
    pub const ANSWER_CUT: &'static str = "answer_cut";

    /// Cause of [`Verdict::MayHaveRun`] if the caller did not send the whole body.
    pub const BODY_CUT: &'static str = "body_cut";

    /// Whether the server may have crashed while it ran the request.
    pub fn may_be_crash(&self) -> bool {
        let causes = [Self::CONNECTION_BROKEN, Self::ANSWER_CUT, Self::TIMEOUT];
        matches!(self, Self::MayHaveRun(cause) if causes.contains(cause))
    }

    /// The verdict as a word for the log.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Ran(_) => "ran",
            Self::Shed => "shed",
            Self::Misdirected => "misdirected",
            Self::NotSent => "not_sent",
            Self::MayHaveRun(cause) => cause,
        }
    }
}

/// The rate limit that an answer of a server names.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum NamedLimit {
    /// The answer names no limit.
    #[default]
    None,
    /// The answer names a limit that cannot be read.
    Unreadable,
    /// The answer names this limit.
    Limit(RateLimit),
}

/// What a server says of itself in an answer, whatever the answer is about.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Notice {
    /// The rate limit that the server names.
    pub rate_limit: NamedLimit,
    /// Whether the server says that it is leaving.
    pub leaving: bool,
    /// How long the server wants no requests from this entry, if it turned one away for a time.
    pub pause: Option<Duration>,
}

/// The end of one attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct Reply {
    /// What it shows about the request.
    pub verdict: Verdict,
    /// What the server said of itself; `None` without an answer of this server.
    pub notice: Option<Notice>,
}

impl From<Verdict> for Reply {
    /// The end of an attempt without an answer of its server.
    fn from(verdict: Verdict) -> Self {
        Self { verdict, notice: None }
    }
}

/// The body of a request that is passed on as it arrives, instead of being held whole.
pub trait Upload: Send + Sync + 'static {
    /// Whether a part of the body has been passed on. It then cannot be sent to another server.
    fn has_begun(&self) -> bool;
}

/// One attempt: a request, and the server that it is sent to.
#[derive(Debug)]
pub struct Attempt<'a, U> {
    /// The caller's id of the request.
    pub id: &'a str,
    /// The server that must run the request; any other one refuses it.
    pub server: &'a name::Vm,
    /// Address of the server.
    pub address: SocketAddr,
    /// The part of the request that the server sees.
    pub content: &'a Content,
    /// The body, if it is not in `content`.
    pub upload: Option<&'a U>,
    /// When the server must have answered.
    pub deadline: Instant,
}

/// A request that another entry is to send to a server.
#[derive(Debug)]
pub struct Forward<'a, U> {
    /// The entry that it is passed on to.
    pub entry: Ipv4Addr,
    /// The caller's id of the request.
    pub id: &'a str,
    /// The service that was chosen for the request.
    pub service: &'a name::Service,
    /// Version of the configuration that was used. The other entry needs the same or a later one.
    pub config_version: u64,
    /// Servers that the other entry may send the request to.
    pub max_attempts: u32,
    /// How long the caller has waited since its first try.
    pub waited: Duration,
    /// The part of the request that the server sees.
    pub content: &'a Content,
    /// The body, if it is not in `content`.
    pub upload: Option<&'a U>,
    /// When the other entry must have answered.
    pub deadline: Instant,
}

/// How a forward ended, as far as that shows whether the request ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ForwardEnd {
    /// A server ran the request and this is its whole answer.
    Answered(Answer),
    /// The other entry refused the request, which did not run; it would go on to do so for the time
    /// that it names, if any.
    Refused(Refusal, Option<Duration>),
    /// No byte of the request was sent.
    NotSent,
    /// The request may have run. The text is the cause, as a word for the log.
    MayHaveRun(&'static str),
}

impl ForwardEnd {
    /// The end as a word for the log.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Refused(..) => "refused",
            Self::NotSent => "not_sent",
            Self::MayHaveRun(cause) => cause,
        }
    }

    /// Whether the other entry cannot serve requests for the service, so that a further entry may.
    pub fn shows_unusable_entry(&self) -> bool {
        match self {
            Self::NotSent | Self::MayHaveRun(_) => true,
            Self::Refused(refusal, _) => matches!(
                refusal,
                Refusal::Fenced
                    | Refusal::Leaving
                    | Refusal::NotReady
                    | Refusal::UnknownService
                    | Refusal::NoServer
                    | Refusal::Full
                    | Refusal::Memory
            ),
            Self::Answered(_) => false,
        }
    }
}

/// The end of a forward, and what else the other entry says about it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardReply {
    /// How it ended.
    pub end: ForwardEnd,
    /// Attempts of the other entry that may have reached a server.
    pub sends: u32,
    /// The server that answered, if it says that it is leaving.
    pub leaving: Option<name::Vm>,
}

impl From<ForwardEnd> for ForwardReply {
    /// The end of a forward without a reply of the other entry.
    fn from(end: ForwardEnd) -> Self {
        Self { end, sends: 0, leaving: None }
    }
}

/// The answer to a probe.
#[derive(Debug, Clone, PartialEq)]
pub struct ProbeAnswer {
    /// Name of the server that answered, unless the answer has none.
    pub server: Option<name::Vm>,
    /// Whether the server reports that it is healthy and not draining.
    pub healthy: bool,
    /// Load of the server.
    pub report: LoadReport,
    /// What else the server says of itself.
    pub notice: Notice,
}

/// Sends requests and probes to servers, and requests to entries that reach servers.
pub trait Backend: Send + Sync + 'static {
    /// Bodies that are passed on as they arrive.
    type Upload: Upload;

    /// Sends one attempt and waits for its whole answer, at most until its deadline. Dropping the
    /// future closes the connection.
    fn send(&self, attempt: Attempt<'_, Self::Upload>) -> impl Future<Output = Reply> + Send;

    /// Passes a request on to another entry and waits for its whole answer, at most until its
    /// deadline. Dropping the future closes the connection.
    fn forward(
        &self,
        forward: Forward<'_, Self::Upload>,
    ) -> impl Future<Output = ForwardReply> + Send;

    /// Keeps at most `max` idle connections to each server from now on.
    fn set_max_idle(&self, max: usize);

    /// Asks the server at `address` for its load. `None` if it does not answer within `timeout`.
    fn probe(
        &self,
        address: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> impl Future<Output = Option<ProbeAnswer>> + Send;
}
