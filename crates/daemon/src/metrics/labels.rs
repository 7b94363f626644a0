//! Label sets. They own shared names and copies only, so that a lookup does not allocate.

use std::fmt;
use std::fmt::Write;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::EncodeLabelValue;
use prometheus_client::encoding::LabelValueEncoder;

use jackdawpin_core::name;
use jackdawpin_core::outcome::Outcome;
use jackdawpin_core::outcome::Refusal;
use jackdawpin_core::outcome::UnknownReason;

/// How a request ended, for its counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum End {
    /// The caller got the server's answer.
    Answered,
    /// The request did not run.
    Refused(Refusal),
    /// The request may have run.
    Unknown(UnknownReason),
    /// The caller left before the end.
    GivenUp,
}

impl End {
    /// All ends.
    pub const ALL: [End; 17] = [
        End::Answered,
        End::Refused(Refusal::Fenced),
        End::Refused(Refusal::Leaving),
        End::Refused(Refusal::NotReady),
        End::Refused(Refusal::UnknownService),
        End::Refused(Refusal::Invalid),
        End::Refused(Refusal::QueueFull),
        End::Refused(Refusal::Deadline),
        End::Refused(Refusal::NoServer),
        End::Refused(Refusal::Attempts),
        End::Refused(Refusal::Full),
        End::Refused(Refusal::Memory),
        End::Unknown(UnknownReason::Broken),
        End::Unknown(UnknownReason::Timeout),
        End::Unknown(UnknownReason::BadAnswer),
        End::Unknown(UnknownReason::Duplicate),
        End::GivenUp,
    ];

    /// The word for the label `outcome`.
    fn outcome(self) -> &'static str {
        match self {
            End::Answered => "answered",
            End::Refused(_) => "refused",
            End::Unknown(_) => "unknown",
            End::GivenUp => "given_up",
        }
    }
}

impl From<&Outcome> for End {
    fn from(outcome: &Outcome) -> Self {
        match outcome {
            Outcome::Answered(_) => End::Answered,
            Outcome::Refused(reason) => End::Refused(*reason),
            Outcome::Unknown(reason) => End::Unknown(*reason),
        }
    }
}

/// The label `reason`, empty for ends without one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Reason(End);

impl EncodeLabelValue for Reason {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> fmt::Result {
        match self.0 {
            End::Refused(reason) => write!(encoder, "{reason}"),
            End::Unknown(reason) => write!(encoder, "{reason}"),
            End::Answered | End::GivenUp => Ok(()),
        }
    }
}

/// The label `service`.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Name(name::Service);

impl EncodeLabelValue for Name {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> fmt::Result {
        encoder.write_str(self.0.as_str())
    }
}

/// Labels of a metric of a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ServiceLabels {
    service: Name,
}

impl ServiceLabels {
    pub(super) fn new(service: &name::Service) -> Self {
        Self { service: Name(service.clone()) }
    }
}

/// Labels of the counter of a way in which requests of a service end.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct EndLabels {
    service: Name,
    outcome: &'static str,
    reason: Reason,
}

impl EndLabels {
    pub(super) fn new(service: &name::Service, end: End) -> Self {
        Self { service: Name(service.clone()), outcome: end.outcome(), reason: Reason(end) }
    }
}

/// Labels of a counter of requests that belong to no service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ReasonLabels {
    reason: Reason,
}

impl ReasonLabels {
    pub(super) fn new(refusal: Refusal) -> Self {
        Self { reason: Reason(End::Refused(refusal)) }
    }
}
