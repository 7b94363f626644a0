//! One attempt, and a second one beside it if an idempotent request takes long.

use std::sync::Arc;
use std::time::Duration;

use super::Call;
use super::Dispatcher;
use super::call::Trail;
use super::select::Found;
use crate::direct::fleet::AttemptResult;
use crate::direct::fleet::Fleet;
use crate::direct::fleet::Pick;
use crate::direct::fleet::ServerNames;
use crate::direct::port::Attempt;
use crate::direct::port::Backend;
use crate::direct::port::Verdict;
use crate::name;
use crate::outcome::Answer;
use crate::port::Clock;
use crate::port::Random;
use crate::time::Instant;

/// Factor on the expected time after which a second attempt is worth its load if it can still be
/// answered within the aim.
const LATE_FACTOR: f64 = 1.6;

/// The same if it can only save the request from ending without an answer.
const LOST_FACTOR: f64 = 2.5;

/// A request in flight; one that is dropped without an answer was given up.
struct Flight<'a, C: Clock> {
    fleet: &'a Fleet,
    clock: &'a C,
    service: &'a str,
    route: &'a str,
    pick: &'a Pick,
    landed: bool,
}

impl<C: Clock> Flight<'_, C> {
    fn land(mut self, landing: AttemptResult) {
        self.landed = true;
        self.fleet.finish(self.service, self.route, self.pick, landing, self.clock.now());
    }
}

impl<C: Clock> Drop for Flight<'_, C> {
    fn drop(&mut self) {
        if !self.landed {
            let now = self.clock.now();
            self.fleet.finish(self.service, self.route, self.pick, AttemptResult::Abandoned, now);
        }
    }
}

impl<B: Backend, C: Clock, R: Random> Dispatcher<B, C, R> {
    /// Sends to `pick`, and notes in `trail` what that proved. If the request is idempotent and the
    /// answer is late while there is time for another one, a second server gets it as well. Returns
    /// the answer if it is a good one.
    pub(super) async fn race(
        self: &Arc<Self>,
        call: &Call<'_>,
        service: &name::Service,
        pick: &Pick,
        trail: &mut Trail,
    ) -> Option<Answer> {
        let started = self.clock.now();
        let mut first = std::pin::pin!(self.fly(call, service, pick));
        let Some(late) = self.hedge_at(call, trail, pick, started) else {
            return trail.note(pick, first.await);
        };
        // The first server may answer while the second one is sought, and that answer goes out at
        // once.
        let second = tokio::select! {
            biased;
            verdict = &mut first => return trail.note(pick, verdict),
            second = self.second(late, call, service, pick, trail) => second,
        };
        let Some(second) = second else {
            return trail.note(pick, first.await);
        };
        trail.hedged = true;
        let mut other = std::pin::pin!(self.fly(call, service, &second));
        let (verdict, is_first) = tokio::select! {
            biased;
            verdict = &mut first => (verdict, true),
            verdict = &mut other => (verdict, false),
        };
        let ended = if is_first { pick } else { &second };
        if let Some(answer) = trail.note(ended, verdict) {
            trail.drop_attempt(if is_first { &second } else { pick });
            return Some(answer);
        }
        if is_first { trail.note(&second, other.await) } else { trail.note(pick, first.await) }
    }

    /// When a second attempt is worth its load, if ever.
    fn hedge_at(
        &self,
        call: &Call<'_>,
        trail: &Trail,
        pick: &Pick,
        started: Instant,
    ) -> Option<Instant> {
        if !call.route.idempotent || trail.sends + 1 >= call.route.max_attempts {
            return None;
        }
        let usual = self.fleet.usual_time(&call.route.name, Duration::ZERO);
        let late = started + pick.expected_time.mul_f64(LATE_FACTOR);
        if late + usual < call.received + call.aim() {
            return Some(late);
        }
        let lost = started + pick.expected_time.mul_f64(LOST_FACTOR);
        (lost + usual < call.until()).then_some(lost)
    }

    /// A second server, sought at `late` and charged to the service's retry budget.
    async fn second(
        self: &Arc<Self>,
        late: Instant,
        call: &Call<'_>,
        service: &name::Service,
        first: &Pick,
        trail: &Trail,
    ) -> Option<Pick> {
        self.clock.sleep_until(late).await;
        let mut tried: ServerNames = trail.tried.clone();
        tried.push(first.server.clone());
        let Found::Pick(second) = self.find(call, service, &tried).await else {
            return None;
        };
        if self.take_repeat(service) {
            self.accounts.lock().counts.attempts += 1;
            return Some(second);
        }
        self.give_back(call, service, &second);
        None
    }

    async fn fly(&self, call: &Call<'_>, service: &name::Service, pick: &Pick) -> Verdict {
        let started = self.clock.now();
        let flight = Flight {
            fleet: &self.fleet,
            clock: &self.clock,
            service: service.as_str(),
            route: &call.route.name,
            pick,
            landed: false,
        };
        let attempt = Attempt {
            id: call.id,
            server: &pick.server,
            address: pick.address,
            content: call.content,
            deadline: call.until(),
        };
        let verdict = self.backend.send(attempt).await;
        let now = self.clock.now();
        flight.land(match &verdict {
            Verdict::Ran(answer) if !answer.is_failure() => {
                AttemptResult::Answered(now.since(started))
            }
            Verdict::Ran(_) | Verdict::MayHaveRun(_) => AttemptResult::Failed,
            Verdict::Shed => AttemptResult::Shed,
            Verdict::Misdirected | Verdict::NotSent => AttemptResult::Unreachable,
        });
        verdict
    }
}
