//! Answers to callers that the entry gives itself before a server has answered, and their reasons.

use std::fmt;
use std::fmt::Write;
use std::time::Duration;

use http::StatusCode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::EncodeLabelValue;
use prometheus_client::encoding::LabelValueEncoder;
use quick_error::quick_error;

use crate::exchange::upload;
use crate::listen::body;
use jackdawpin_core::outcome::Refusal;

/// Longest part of a host or path that is logged, in characters.
const MAX_LOGGED_CHARS: usize = 80;

quick_error! {
    /// Why the entry answers a request itself.
    #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
    pub enum Reason {
        /// There is no route, or the entry cannot know whether there is one.
        Unrouted(refusal: Refusal) { display("{}", refusal) }
        /// The head is larger than the configuration allows.
        LargeHead { display("head_too_large") }
        /// The body is larger than the configuration allows.
        LargeBody { display("body_too_large") }
        /// The body did not arrive in time.
        SlowBody { display("body_timeout") }
        /// The entry holds too many bytes of bodies.
        Memory { display("buffer_full") }
        /// The connection broke within the body, or the encoding of the body is not valid.
        BrokenBody { display("body_broken") }
        /// An upload was passed on by another exchange.
        TakenUpload { display("upload_taken") }
        /// The parser found no valid head of a request.
        InvalidHead { display("invalid_head") }
        /// The head is larger than the parser accepts.
        LargeHeadAtParser { display("parser_head_too_large") }
        /// The connection is above the limit on connections.
        Connections { display("too_many_connections") }
    }
}

impl Reason {
    /// The status of the answer.
    pub(super) fn status(self) -> StatusCode {
        match self {
            Self::Unrouted(Refusal::UnknownService) => StatusCode::NOT_FOUND,
            Self::LargeHead | Self::LargeHeadAtParser => {
                StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE
            }
            Self::LargeBody => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Self::BrokenBody | Self::InvalidHead => StatusCode::BAD_REQUEST,
            Self::TakenUpload => StatusCode::BAD_GATEWAY,
            Self::Unrouted(_) | Self::Memory | Self::Connections => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

impl From<body::Error> for Reason {
    fn from(err: body::Error) -> Self {
        match err {
            body::Error::Large(_) => Self::LargeBody,
            body::Error::Timeout(_) => Self::SlowBody,
            body::Error::Budget => Self::Memory,
            body::Error::Broken => Self::BrokenBody,
        }
    }
}

impl From<upload::Error> for Reason {
    fn from(err: upload::Error) -> Self {
        match err {
            upload::Error::Large(_) => Self::LargeBody,
            upload::Error::Broken => Self::BrokenBody,
            upload::Error::Taken => Self::TakenUpload,
        }
    }
}

impl EncodeLabelValue for Reason {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> fmt::Result {
        write!(encoder, "{self}")
    }
}

/// Labels of the counter of the entry's own answers.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ReasonLabels {
    pub(super) reason: Reason,
}

/// A request that the entry answers itself, as its log line describes it.
#[derive(Debug)]
pub(super) struct OwnAnswer<'a> {
    pub(super) id: &'a str,
    pub(super) host: &'a str,
    pub(super) path: &'a str,
    pub(super) status: StatusCode,
    pub(super) reason: Reason,
    /// Version of the configuration that decided, 0 if there was none.
    pub(super) config_version: u64,
    /// Age of the proof that this configuration is the latest one; `None` if there is none.
    pub(super) proof_age: Option<Duration>,
}

impl fmt::Display for OwnAnswer<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "status={} reason={} host={:?} path={:?} config={:08x} proof_age_ms={:?}",
            self.status.as_u16(),
            self.reason,
            prefix(self.host),
            prefix(self.path),
            self.config_version,
            self.proof_age.map(|age| age.as_millis()),
        )
    }
}

/// The part of `text` that is logged.
fn prefix(text: &str) -> &str {
    text.char_indices().nth(MAX_LOGGED_CHARS).map_or(text, |(end, _)| &text[..end])
}
