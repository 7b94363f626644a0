//! Admission of requests of callers.

use std::sync::Arc;
use std::time::Duration;

use super::Route;
use super::Router;
use crate::holder::config::Service;
use crate::holder::ledger::AdmittedRequest;
use crate::holder::port::Ports;
use crate::outcome::Outcome;
use crate::outcome::Refusal;
use crate::outcome::UnknownReason;
use crate::port::Clock;
use crate::port::Random;
use crate::request::Content;
use crate::request::Id;
use crate::request::Request;

/// A request as a caller submitted it.
#[derive(Debug, Clone)]
pub struct Submission {
    /// Id of the request, if the caller set one.
    pub id: Option<Id>,
    /// Name of the service.
    pub service: Box<str>,
    /// Time until the caller stops waiting, if the caller set it.
    pub timeout: Option<Duration>,
    /// Whether the request is idempotent, if the caller set it.
    pub idempotent: Option<bool>,
    /// The part of the request that is sent to the server.
    pub content: Content,
}

/// An admitted request.
pub(super) struct Admission {
    /// The entry of the request in the ledger.
    pub(super) entry: AdmittedRequest,
    pub(super) route: Arc<Route>,
    pub(super) request: Request,
}

impl<O: Ports> Router<O> {
    /// Admits a request, or returns its outcome if it is not admitted. A request with the id of one
    /// in flight has an unknown outcome, because a refusal would claim that the request with this
    /// id did not run.
    pub(super) fn admit(&self, submission: Submission) -> Result<Admission, Outcome> {
        let (route, request) = self.check(submission)?;
        let entry = self
            .tables
            .ledger
            .admit(&request.service, &request.id)
            .ok_or(Outcome::Unknown(UnknownReason::Duplicate))?;
        route.retry_budget().lock().earn();
        Ok(Admission { entry, route, request })
    }

    /// Checks a request against the gate and the limits of its service, and applies defaults.
    fn check(&self, submission: Submission) -> Result<(Arc<Route>, Request), Refusal> {
        let now = self.clock().now();
        self.tables.gate.check_admission(now)?;
        let route = self.tables.routes().get(&submission.service).ok_or(Refusal::UnknownService)?;
        let settings = route.settings();
        let policy = &settings.policy;
        if submission.content.body.len() as u64 > policy.body_limit {
            return Err(Refusal::Invalid);
        }
        if !route.eligible() {
            return Err(Refusal::NoServer);
        }
        let timeout = submission.timeout.unwrap_or(policy.timeout).min(policy.max_timeout);
        if timeout.is_zero() {
            return Err(Refusal::Deadline);
        }
        let idempotent =
            submission.idempotent.unwrap_or_else(|| is_idempotent(settings, &submission.content));
        let id = submission.id.unwrap_or_else(|| self.new_id());
        let request = Request {
            id,
            service: route.pool().service().clone(),
            received: now,
            deadline: now + timeout,
            idempotent,
            content: submission.content,
        };
        Ok((route, request))
    }

    /// Creates a random id, for a request whose caller set none.
    pub fn new_id(&self) -> Id {
        let high = u128::from(self.ports.random().below(u64::MAX));
        let low = u128::from(self.ports.random().below(u64::MAX));
        Id::from_bits(high << 64 | low)
    }
}

/// Whether the method or the path marks a request as idempotent by the settings of its service.
/// Any other request is treated as not idempotent.
fn is_idempotent(settings: &Service, content: &Content) -> bool {
    let by_method = settings.policy.idempotent_methods.contains(&content.method);
    let path = content.path.split('?').next().unwrap_or_default();
    let by_path = settings.idempotent_paths.iter().any(|prefix| is_below(path, prefix));
    by_method || (by_path && !may_escape_prefix(path))
}

/// Whether the path is the prefix or below it.
fn is_below(path: &str, prefix: &str) -> bool {
    let rest = path.strip_prefix(prefix);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/'))
}

/// Whether a server may resolve the path to one that is not below its prefix: the path contains
/// `..`, or an encoded `.`, `/` or `\`.
fn may_escape_prefix(path: &str) -> bool {
    let encoded = ["%2e", "%2f", "%5c"];
    let lower = path.to_ascii_lowercase();
    lower.contains("..") || encoded.iter().any(|code| lower.contains(code))
}
