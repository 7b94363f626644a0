//! Label sets. They hold only shared names and values that are copied, so that a lookup does not
//! allocate.

use std::fmt;
use std::fmt::Write;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::EncodeLabelValue;
use prometheus_client::encoding::LabelValueEncoder;

use jackdawpin_core::name;
use jackdawpin_core::outcome::Outcome;
use jackdawpin_core::outcome::Refusal;
use jackdawpin_core::outcome::UnknownReason;

/// How a request ended, as its counter reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestEnd {
    /// The caller received the server's answer.
    Answered,
    /// The request did not run.
    Refused(Refusal),
    /// The request may have run.
    Unknown(UnknownReason),
    /// The caller disconnected before the request ended.
    Abandoned,
}

impl RequestEnd {
    /// All values.
    pub const ALL: [RequestEnd; 19] = [
        RequestEnd::Answered,
        RequestEnd::Refused(Refusal::Fenced),
        RequestEnd::Refused(Refusal::Leaving),
        RequestEnd::Refused(Refusal::NotReady),
        RequestEnd::Refused(Refusal::UnknownService),
        RequestEnd::Refused(Refusal::Invalid),
        RequestEnd::Refused(Refusal::QueueFull),
        RequestEnd::Refused(Refusal::RateLimit),
        RequestEnd::Refused(Refusal::Suspect),
        RequestEnd::Refused(Refusal::Deadline),
        RequestEnd::Refused(Refusal::NoServer),
        RequestEnd::Refused(Refusal::Attempts),
        RequestEnd::Refused(Refusal::Full),
        RequestEnd::Refused(Refusal::Memory),
        RequestEnd::Unknown(UnknownReason::Broken),
        RequestEnd::Unknown(UnknownReason::Timeout),
        RequestEnd::Unknown(UnknownReason::BadAnswer),
        RequestEnd::Unknown(UnknownReason::Duplicate),
        RequestEnd::Abandoned,
    ];

    /// The value of the label `outcome`.
    fn outcome(self) -> &'static str {
        match self {
            RequestEnd::Answered => "answered",
            RequestEnd::Refused(_) => "refused",
            RequestEnd::Unknown(_) => "unknown",
            RequestEnd::Abandoned => "given_up",
        }
    }
}

impl From<&Outcome> for RequestEnd {
    fn from(outcome: &Outcome) -> Self {
        match outcome {
            Outcome::Answered(_) => RequestEnd::Answered,
            Outcome::Refused(reason) => RequestEnd::Refused(*reason),
            Outcome::Unknown(reason) => RequestEnd::Unknown(*reason),
        }
    }
}

/// The value of the label `reason`, empty for an end without a reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct ReasonValue(RequestEnd);

impl EncodeLabelValue for ReasonValue {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> fmt::Result {
        match self.0 {
            RequestEnd::Refused(reason) => write!(encoder, "{reason}"),
            RequestEnd::Unknown(reason) => write!(encoder, "{reason}"),
            RequestEnd::Answered | RequestEnd::Abandoned => Ok(()),
        }
    }
}

/// The value of the label `service`.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct ServiceValue(name::Service);

impl EncodeLabelValue for ServiceValue {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> fmt::Result {
        encoder.write_str(self.0.as_str())
    }
}

/// Labels of a metric of a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ServiceLabels {
    service: ServiceValue,
}

impl ServiceLabels {
    pub(super) fn new(service: &name::Service) -> Self {
        Self { service: ServiceValue(service.clone()) }
    }
}

/// Labels of the counters of ended requests of a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct EndLabels {
    service: ServiceValue,
    outcome: &'static str,
    reason: ReasonValue,
}

impl EndLabels {
    pub(super) fn new(service: &name::Service, end: RequestEnd) -> Self {
        Self {
            service: ServiceValue(service.clone()),
            outcome: end.outcome(),
            reason: ReasonValue(end),
        }
    }
}

/// Labels of the counter of requests without a service of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ReasonLabels {
    reason: ReasonValue,
}

impl ReasonLabels {
    pub(super) fn new(refusal: Refusal) -> Self {
        Self { reason: ReasonValue(RequestEnd::Refused(refusal)) }
    }
}
