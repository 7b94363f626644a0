//! The attempts of a request and the outcome that their evidence gives.

use std::time::Duration;

use super::Route;
use super::Router;
use super::Stats;
use crate::holder::pool::Destination;
use crate::holder::port::Ports;
use crate::outcome::Answer;
use crate::outcome::Evidence;
use crate::outcome::NotRun;
use crate::outcome::Outcome;
use crate::outcome::Refusal;
use crate::outcome::UnknownReason;
use crate::port::Clock;
use crate::request::Attempt;
use crate::request::Request;
use crate::time::Instant;

/// Timeout of a forwarded attempt that another one may follow. The latency at the peer's servers is
/// not known here.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(500);

/// Status codes of error answers after which an idempotent request is retried.
const RETRYABLE_STATUSES: [u16; 4] = [500, 502, 503, 504];

/// The attempts of a request so far, and what they prove.
#[derive(Debug, Default)]
struct Progress {
    /// Attempts that count against the limit of the service; refused ones do not.
    counted_attempts: u32,
    /// Forwards that were refused for lack of room.
    refused_forwards: u32,
    /// Set once an attempt may have run: why it is not known whether it did. The request must not
    /// be refused as not run from then on.
    unknown_reason: Option<UnknownReason>,
    /// The latest error answer that was retried.
    error_answer: Option<Answer>,
}

impl Progress {
    /// The outcome of the request if no further attempt is made. `refusal` is the reason to give if
    /// the request is refused.
    fn final_outcome(&mut self, refusal: Refusal) -> Outcome {
        match (self.error_answer.take(), self.unknown_reason) {
            (Some(answer), _) => Outcome::Answered(answer),
            (None, Some(unknown_reason)) => Outcome::Unknown(unknown_reason),
            (None, None) => Outcome::Refused(refusal),
        }
    }
}

impl<O: Ports> Router<O> {
    /// Sends attempts until the request has an outcome.
    pub(super) async fn send_attempts(
        &self,
        route: &Route,
        request: &Request,
        stats: &mut Stats,
    ) -> Outcome {
        let mut progress = Progress::default();
        loop {
            let destination =
                match self.find_destination(route, request, progress.refused_forwards, stats).await
                {
                    Ok(destination) => destination,
                    Err(refusal) => return progress.final_outcome(refusal),
                };
            let evidence = self.attempt(route, request, destination, &progress, stats).await;
            if let Some(outcome) = self.evaluate(route, request, evidence, &mut progress, stats) {
                return outcome;
            }
        }
    }

    /// Sends one attempt. Returns its evidence, and whether it was sent to a held server.
    async fn attempt(
        &self,
        route: &Route,
        request: &Request,
        destination: Destination,
        progress: &Progress,
        stats: &mut Stats,
    ) -> (Evidence, bool) {
        stats.attempts += 1;
        let to_server = matches!(destination, Destination::Server(_));
        let now = self.clock().now();
        let timeout = match &destination {
            Destination::Server(permit) => permit.attempt_timeout,
            Destination::Peer(_) => FORWARD_TIMEOUT,
        };
        let deadline = match self.may_retry(route, request, progress) {
            true => request.deadline.min(now + timeout),
            false => request.deadline,
        };
        let answer_limit = route.settings().policy.body_limit;
        let attempt = Attempt { request, number: stats.attempts, deadline, answer_limit };
        let evidence = match destination {
            Destination::Server(permit) => self.dispatch(route, permit, attempt).await,
            Destination::Peer(peer) => {
                stats.forwards += 1;
                self.forward(&peer, attempt).await
            }
        };
        stats.attempt_time += self.clock().now().since(now);
        (evidence, to_server)
    }

    /// Whether the next attempt can be followed by another one even if it may have run.
    fn may_retry(&self, route: &Route, request: &Request, progress: &Progress) -> bool {
        let within_limit = progress.counted_attempts + 1 < route.settings().policy.attempts;
        request.idempotent && within_limit && route.retry_budget().lock().available() > 0
    }

    /// Turns the evidence of an attempt into the outcome of the request, or returns `None` if
    /// another attempt follows.
    fn evaluate(
        &self,
        route: &Route,
        request: &Request,
        (evidence, to_server): (Evidence, bool),
        progress: &mut Progress,
        stats: &mut Stats,
    ) -> Option<Outcome> {
        let now = self.clock().now();
        match evidence {
            Evidence::Ran(answer) => {
                let retryable = request.idempotent && RETRYABLE_STATUSES.contains(&answer.status);
                if retryable && self.take_retry(route, request, now, progress, stats) {
                    progress.error_answer = Some(answer);
                    return None;
                }
                Some(Outcome::Answered(answer))
            }
            Evidence::NotRun(NotRun::Refused(refusal)) if to_server && refusal != Refusal::Full => {
                Some(progress.final_outcome(refusal))
            }
            Evidence::NotRun(NotRun::Refused(_)) => {
                progress.refused_forwards += u32::from(!to_server);
                None
            }
            Evidence::NotRun(_) => {
                if self.take_retry(route, request, now, progress, stats) {
                    return None;
                }
                Some(progress.final_outcome(Refusal::Attempts))
            }
            Evidence::MayHaveRun(unknown_reason) => {
                progress.unknown_reason = Some(unknown_reason);
                if request.idempotent && self.take_retry(route, request, now, progress, stats) {
                    return None;
                }
                Some(progress.final_outcome(Refusal::Attempts))
            }
        }
    }

    /// Counts an attempt and takes a retry from the budget of the service. False if the request has
    /// no attempts or no time left, or if the budget is spent.
    fn take_retry(
        &self,
        route: &Route,
        request: &Request,
        now: Instant,
        progress: &mut Progress,
        stats: &mut Stats,
    ) -> bool {
        progress.counted_attempts += 1;
        let within_limits =
            progress.counted_attempts < route.settings().policy.attempts && now < request.deadline;
        if !within_limits || !route.retry_budget().lock().try_take() {
            return false;
        }
        stats.retries += 1;
        true
    }
}
