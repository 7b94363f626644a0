//! Sends an attempt, and a hedge beside it if an idempotent request takes long.

use std::sync::Arc;
use std::time::Duration;

use super::Call;
use super::Dispatcher;
use super::call::Progress;
use super::call::Sent;
use super::select::Selection;
use crate::direct::fleet::AttemptEnd;
use crate::direct::fleet::Fleet;
use crate::direct::fleet::Pick;
use crate::direct::fleet::ServerNames;
use crate::direct::port::Attempt;
use crate::direct::port::Backend;
use crate::direct::port::Reply;
use crate::direct::port::Verdict;
use crate::name;
use crate::outcome::Answer;
use crate::port::Clock;
use crate::port::Random;
use crate::time::Instant;

/// Factor on the expected time after which a hedge is worth its load if it can still be answered
/// within the latency target.
const TARGET_HEDGE_FACTOR: f64 = 1.6;

/// Factor on the expected time after which a hedge is worth its load if it can be answered after
/// the latency target, but before the deadline of the request.
const DEADLINE_HEDGE_FACTOR: f64 = 2.5;

/// An attempt in flight. If the guard is dropped before the attempt ends, the attempt is abandoned.
struct AttemptGuard<'a, C: Clock> {
    fleet: &'a Fleet,
    clock: &'a C,
    service: &'a str,
    route: &'a str,
    pick: &'a Pick,
    finished: bool,
}

impl<C: Clock> AttemptGuard<'_, C> {
    fn finish(mut self, result: AttemptEnd) {
        self.finished = true;
        self.fleet.finish(self.service, self.route, self.pick, result, self.clock.now());
    }
}

impl<C: Clock> Drop for AttemptGuard<'_, C> {
    fn drop(&mut self) {
        if !self.finished {
            let now = self.clock.now();
            self.fleet.finish(self.service, self.route, self.pick, AttemptEnd::Abandoned, now);
        }
    }
}

impl<B: Backend, C: Clock, R: Random> Dispatcher<B, C, R> {
    /// Sends the request to `pick` and records the result in `progress`. If the request is
    /// idempotent and the answer is late while there is time for another one, a second server gets
    /// the request as well. Returns the first answer that does not report an error.
    pub(super) async fn send_with_hedge(
        self: &Arc<Self>,
        call: &Call<'_, B::Upload>,
        service: &name::Service,
        pick: &Pick,
        progress: &mut Progress,
    ) -> Option<Answer> {
        let started = self.clock.now();
        let mut first = std::pin::pin!(self.send(call, service, pick));
        let Some(hedge_at) = self.hedge_at(call, progress, pick, started) else {
            return progress.record(pick, first.await);
        };
        // If the first server answers while a second one is selected, its answer is returned at
        // once.
        let hedge = tokio::select! {
            biased;
            sent = &mut first => return progress.record(pick, sent),
            hedge = self.select_hedge(hedge_at, call, service, pick, progress) => hedge,
        };
        let Some(hedge) = hedge else {
            return progress.record(pick, first.await);
        };
        progress.hedged = true;
        let mut second = std::pin::pin!(self.send(call, service, &hedge));
        let (sent, is_first) = tokio::select! {
            biased;
            sent = &mut first => (sent, true),
            sent = &mut second => (sent, false),
        };
        let ended = if is_first { pick } else { &hedge };
        if let Some(answer) = progress.record(ended, sent) {
            progress.record_dropped(if is_first { &hedge } else { pick });
            return Some(answer);
        }
        if is_first {
            progress.record(&hedge, second.await)
        } else {
            progress.record(pick, first.await)
        }
    }

    /// When a hedge is worth its load; `None` if never.
    fn hedge_at(
        &self,
        call: &Call<'_, B::Upload>,
        progress: &Progress,
        pick: &Pick,
        started: Instant,
    ) -> Option<Instant> {
        let may_repeat = call.route.kind.is_idempotent() && !self.is_suspect(call);
        if !may_repeat || progress.sends + 1 >= call.max_attempts() {
            return None;
        }
        let usual_time = self.fleet.usual_time(&call.route.name, Duration::ZERO);
        let for_target = started + pick.expected_time.mul_f64(TARGET_HEDGE_FACTOR);
        if for_target + usual_time < call.received + call.time_left(call.received) {
            return Some(for_target);
        }
        let for_deadline = started + pick.expected_time.mul_f64(DEADLINE_HEDGE_FACTOR);
        (for_deadline + usual_time < call.deadline()).then_some(for_deadline)
    }

    /// Selects the server of a hedge at `hedge_at`, and takes a retry from the service's budget.
    /// `None` if there is no server or the budget is used up.
    async fn select_hedge(
        self: &Arc<Self>,
        hedge_at: Instant,
        call: &Call<'_, B::Upload>,
        service: &name::Service,
        first: &Pick,
        progress: &Progress,
    ) -> Option<Pick> {
        self.clock.sleep_until(hedge_at).await;
        let mut tried: ServerNames = progress.tried.clone();
        tried.push(first.server.clone());
        let Selection::Pick(hedge) = self.select_server(call, service, &tried).await else {
            return None;
        };
        if self.take_retry(service) {
            self.usage.lock().counts.attempts += 1;
            return Some(hedge);
        }
        self.release(call, service, &hedge);
        None
    }

    /// Sends one attempt to `pick`, and records its end in the table of servers.
    async fn send(
        self: &Arc<Self>,
        call: &Call<'_, B::Upload>,
        service: &name::Service,
        pick: &Pick,
    ) -> Sent {
        let started = self.clock.now();
        let guard = AttemptGuard {
            fleet: &self.fleet,
            clock: &self.clock,
            service: service.as_str(),
            route: &call.route.name,
            pick,
            finished: false,
        };
        let attempt = Attempt {
            id: call.id,
            server: &pick.server,
            address: pick.address,
            content: call.content,
            upload: call.upload,
            deadline: call.deadline(),
        };
        let Reply { verdict, notice } = self.backend.send(attempt).await;
        let now = self.clock.now();
        if let Some(notice) = notice {
            self.fleet.record_notice(service.as_str(), pick, &notice, now);
        }
        guard.finish(match &verdict {
            Verdict::Ran(answer) if !answer.is_failure() => {
                AttemptEnd::Answered(now.since(started))
            }
            Verdict::MayHaveRun(Verdict::TIMEOUT) => AttemptEnd::Silent,
            Verdict::MayHaveRun(Verdict::BODY_CUT) => AttemptEnd::Abandoned,
            Verdict::Ran(_) | Verdict::MayHaveRun(_) => AttemptEnd::Failed,
            Verdict::Shed => AttemptEnd::Shed,
            Verdict::Misdirected | Verdict::NotSent => AttemptEnd::Unreachable,
        });
        let crash_probe = self.record_suspect(call, service, pick, &verdict);
        Sent { verdict, crash_probe }
    }
}
