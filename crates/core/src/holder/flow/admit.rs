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

/// What a caller hands in.
#[derive(Debug, Clone)]
pub struct Submission {
    /// Request id, if the caller gave one.
    pub id: Option<Id>,
    /// Name of the service.
    pub service: Box<str>,
    /// Time until the caller stops waiting, if it said so.
    pub timeout: Option<Duration>,
    /// Whether the request is idempotent, if the caller said so.
    pub idempotent: Option<bool>,
    /// What the server is to see.
    pub content: Content,
}

/// A request that has been admitted.
pub(super) struct Admission {
    pub(super) entry: AdmittedRequest,
    pub(super) route: Arc<Route>,
    pub(super) request: Request,
}

impl<O: Ports> Router<O> {
    /// Admits a request, or says how it has ended already. A request whose id is in flight has an
    /// unknown outcome: calling it "not run" would be wrong for the one that runs.
    pub(super) fn admit(&self, submission: Submission) -> Result<Admission, Outcome> {
        let (route, request) = self.check(submission)?;
        let entry = self
            .tables
            .ledger
            .admit(&request.service, &request.id)
            .ok_or(Outcome::Unknown(UnknownReason::Duplicate))?;
        route.retries().lock().earn();
        Ok(Admission { entry, route, request })
    }

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

    /// A new random id, for a request whose caller gave none.
    pub fn new_id(&self) -> Id {
        let high = u128::from(self.ports.random().below(u64::MAX));
        let low = u128::from(self.ports.random().below(u64::MAX));
        Id::from_bits(high << 64 | low)
    }
}

/// A request that nothing marks as idempotent is treated as non-idempotent.
fn is_idempotent(settings: &Service, content: &Content) -> bool {
    let by_method = settings.policy.idempotent_methods.contains(&content.method);
    let path = content.path.split('?').next().unwrap_or_default();
    let by_path = settings.idempotent_paths.iter().any(|prefix| is_below(path, prefix));
    by_method || (by_path && !climbs(path))
}

/// Whether the path is the prefix or below it.
fn is_below(path: &str, prefix: &str) -> bool {
    let rest = path.strip_prefix(prefix);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/'))
}

/// Whether a server may take the path for one that is not below its beginning: it has a `..`, or an
/// encoded `.`, `/` or `\`.
fn climbs(path: &str) -> bool {
    let encoded = ["%2e", "%2f", "%5c"];
    let lower = path.to_ascii_lowercase();
    lower.contains("..") || encoded.iter().any(|code| lower.contains(code))
}
