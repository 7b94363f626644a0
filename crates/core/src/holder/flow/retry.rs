use std::time::Duration;

use super::Route;
use super::Router;
use super::Stats;
use crate::holder::pool::Place;
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

/// Patience with an idempotent request that a peer dispatches, whose latency is not known here.
const REMOTE_PATIENCE: Duration = Duration::from_millis(500);

/// Status codes of answers to idempotent requests that another server may do better on.
const RETRYABLE: [u16; 4] = [500, 502, 503, 504];

/// What the attempts so far prove, and how many more there may be.
#[derive(Debug, Default)]
struct Progress {
    /// Attempts that counted against the limit.
    tries: u32,
    /// Forwards that were refused for lack of room.
    misses: u32,
    /// Set once an attempt may have run; the request can then no longer be refused as not run.
    doubt: Option<UnknownReason>,
    /// The last error answer that another attempt was to improve on.
    answer: Option<Answer>,
}

impl Progress {
    /// The outcome if no further attempt is made.
    fn give_up(&mut self, refusal: Refusal) -> Outcome {
        match (self.answer.take(), self.doubt) {
            (Some(answer), _) => Outcome::Answered(answer),
            (None, Some(doubt)) => Outcome::Unknown(doubt),
            (None, None) => Outcome::Refused(refusal),
        }
    }
}

impl<O: Ports> Router<O> {
    /// Sends attempts until the request has an outcome.
    pub(super) async fn run(&self, route: &Route, request: &Request, stats: &mut Stats) -> Outcome {
        let mut progress = Progress::default();
        loop {
            let place = match self.place(route, request, progress.misses, stats).await {
                Ok(place) => place,
                Err(refusal) => return progress.give_up(refusal),
            };
            let evidence = self.attempt(route, request, place, &progress, stats).await;
            if let Some(outcome) = self.judge(route, request, evidence, &mut progress, stats) {
                return outcome;
            }
        }
    }

    async fn attempt(
        &self,
        route: &Route,
        request: &Request,
        place: Place,
        progress: &Progress,
        stats: &mut Stats,
    ) -> (Evidence, bool) {
        stats.attempts += 1;
        let local = matches!(place, Place::Local(_));
        let now = self.clock().now();
        let patience = match &place {
            Place::Local(permit) => permit.patience,
            Place::Remote(_) => REMOTE_PATIENCE,
        };
        let deadline = match self.may_retry(route, request, progress) {
            true => request.deadline.min(now + patience),
            false => request.deadline,
        };
        let answer_limit = route.settings().policy.body_limit;
        let attempt = Attempt { request, number: stats.attempts, deadline, answer_limit };
        let evidence = match place {
            Place::Local(permit) => self.dispatch(route, permit, attempt).await,
            Place::Remote(lead) => {
                stats.forwards += 1;
                self.forward(&lead, attempt).await
            }
        };
        stats.attempt_time += self.clock().now().since(now);
        (evidence, local)
    }

    /// Whether an attempt that may have run can be followed by another one.
    fn may_retry(&self, route: &Route, request: &Request, progress: &Progress) -> bool {
        let left = progress.tries + 1 < route.settings().policy.attempts;
        request.idempotent && left && route.retries().lock().available() > 0
    }

    /// Turns what an attempt proves into an outcome, or `None` if another attempt may follow.
    fn judge(
        &self,
        route: &Route,
        request: &Request,
        (evidence, local): (Evidence, bool),
        progress: &mut Progress,
        stats: &mut Stats,
    ) -> Option<Outcome> {
        let now = self.clock().now();
        match evidence {
            Evidence::Ran(answer) => {
                let better = request.idempotent && RETRYABLE.contains(&answer.status);
                if better && self.retry(route, request, now, progress, stats) {
                    progress.answer = Some(answer);
                    return None;
                }
                Some(Outcome::Answered(answer))
            }
            Evidence::NotRun(NotRun::Refused(refusal)) if local && refusal != Refusal::Full => {
                Some(progress.give_up(refusal))
            }
            Evidence::NotRun(NotRun::Refused(_)) => {
                progress.misses += u32::from(!local);
                None
            }
            Evidence::NotRun(_) => {
                if self.retry(route, request, now, progress, stats) {
                    return None;
                }
                Some(progress.give_up(Refusal::Attempts))
            }
            Evidence::MayHaveRun(doubt) => {
                progress.doubt = Some(doubt);
                if request.idempotent && self.retry(route, request, now, progress, stats) {
                    return None;
                }
                Some(progress.give_up(Refusal::Attempts))
            }
        }
    }

    /// Takes a retry from the limits of the request and from the budget of the service.
    fn retry(
        &self,
        route: &Route,
        request: &Request,
        now: Instant,
        progress: &mut Progress,
        stats: &mut Stats,
    ) -> bool {
        progress.tries += 1;
        let left = progress.tries < route.settings().policy.attempts && now < request.deadline;
        if !left || !route.retries().lock().try_take() {
            return false;
        }
        stats.retries += 1;
        true
    }
}
