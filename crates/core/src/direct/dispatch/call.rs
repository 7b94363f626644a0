//! A request in the dispatcher: its limits, its attempts so far, and its end.

use std::fmt;
use std::net::Ipv4Addr;
use std::time::Duration;

use smallvec::SmallVec;
use tokio::task::JoinHandle;

use super::ANSWER_MARGIN;
use super::retry_after;
use crate::direct::config::Route;
use crate::direct::fleet::Pick;
use crate::direct::fleet::ServerNames;
use crate::direct::port::ForwardEnd;
use crate::direct::port::Verdict;
use crate::name;
use crate::outcome::Answer;
use crate::outcome::Outcome;
use crate::outcome::Refusal;
use crate::outcome::UnknownReason;
use crate::port::Random;
use crate::request::Content;
use crate::time::Instant;

/// Number of attempts without a sent byte after which a request is refused.
pub(super) const MAX_UNSENT_ATTEMPTS: u32 = 4;

/// Timeout of a request whose caller and route set none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Latency target of a route that sets neither a target nor a timeout.
const DEFAULT_LATENCY_TARGET: Duration = Duration::from_secs(1);

/// A request to be dispatched.
#[derive(Debug)]
pub struct Call<'a, U> {
    /// The caller's id of the request.
    pub id: &'a str,
    /// Route of the request.
    pub route: &'a Route,
    /// When this entry received the request.
    pub received: Instant,
    /// How long the caller waits from then on, if it says so.
    pub caller_timeout: Option<Duration>,
    /// How long the caller had already waited for an answer when this entry received the request, if
    /// the adapter knows it. The dispatcher takes it from the caller's timeouts otherwise.
    pub waited: Duration,
    /// The part of the request that the server sees.
    pub content: &'a Content,
    /// The body, if it is passed on as it arrives.
    pub upload: Option<&'a U>,
    /// The entry that passed the request on, if it did not come from its caller.
    pub origin: Option<Origin<'a>>,
}

/// What the entry that passed a request on has decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Origin<'a> {
    /// That entry.
    pub entry: Ipv4Addr,
    /// The service that it chose for the request.
    pub service: &'a name::Service,
    /// Servers that the request may still be sent to.
    pub max_attempts: u32,
}

impl<U> Call<'_, U> {
    /// When the request must have ended.
    pub(super) fn deadline(&self) -> Instant {
        let caller_timeout = self.caller_timeout.unwrap_or(DEFAULT_TIMEOUT);
        let timeout =
            self.route.timeout.map_or(caller_timeout, |timeout| caller_timeout.min(timeout));
        self.received + timeout.saturating_sub(ANSWER_MARGIN)
    }

    /// Largest number of servers that this entry may send the request to.
    pub(super) fn max_attempts(&self) -> u32 {
        let route_limit = self.route.max_attempts.max(1);
        self.origin.map_or(route_limit, |origin| origin.max_attempts.min(route_limit))
    }

    /// Time left at `now` within which an answer has its full value.
    pub(super) fn time_left(&self, now: Instant) -> Duration {
        self.latency_target().saturating_sub(self.waited + now.since(self.received))
    }

    /// Time from the caller's first try within which an answer has its full value.
    pub(super) fn latency_target(&self) -> Duration {
        self.route.latency_target.or(self.route.timeout).unwrap_or(DEFAULT_LATENCY_TARGET)
    }
}

/// One attempt at a server, as it is logged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptRecord {
    /// The server.
    pub server: name::Vm,
    /// [`Verdict::as_str`], or `dropped` if another server answered first.
    pub verdict: &'static str,
}

impl fmt::Display for AttemptRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.server, self.verdict)
    }
}

/// A request that was passed on, as it is logged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardRecord {
    /// The entry that it was passed on to.
    pub entry: Ipv4Addr,
    /// [`ForwardEnd::as_str`].
    pub end: &'static str,
}

impl fmt::Display for ForwardRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.entry, self.end)
    }
}

/// How a request ended, and its attempts.
#[derive(Debug, Clone, PartialEq)]
pub struct Completion {
    /// The outcome for the caller.
    pub outcome: Outcome,
    /// Time after which the caller may send the request again, if it was refused.
    pub retry_after: Option<Duration>,
    /// Attempts that may have reached a server.
    pub sends: u32,
    /// Whether a second attempt was made beside the first because that took long.
    pub hedged: bool,
    /// The last server that the request was sent to, and the choice of it.
    pub last_pick: Option<Pick>,
    /// All attempts, in the order in which they ended.
    pub attempts: SmallVec<[AttemptRecord; 2]>,
    /// The entries that it was passed on to, in this order.
    pub forwards: SmallVec<[ForwardRecord; 1]>,
    /// The expected time of the best server, if the request was refused because that is too long.
    pub best_expected: Option<Duration>,
    /// How long the caller had already waited when this entry received the request.
    pub waited: Duration,
    /// Time for which the request is known to be refused, if it was.
    pub unavailable_for: Option<Duration>,
}

/// An attempt that has ended.
#[derive(Debug)]
pub(super) struct Sent {
    pub(super) verdict: Verdict,
    /// Finds out whether the server has crashed, if it may have.
    pub(super) crash_probe: Option<JoinHandle<()>>,
}

/// The attempts of a request so far.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// Servers that the request was sent to.
    pub(super) tried: ServerNames,
    /// Attempts that may have reached a server.
    pub(super) sends: u32,
    /// Attempts of which no byte was sent.
    pub(super) unsent: u32,
    /// Attempts that reached a server, which did not run the request.
    pub(super) not_run: u32,
    /// Whether an attempt ended without an answer and may have run.
    pub(super) unknown: bool,
    /// The last answer that reports an error of the server.
    pub(super) error_answer: Option<Answer>,
    pub(super) hedged: bool,
    pub(super) last_pick: Option<Pick>,
    pub(super) attempts: SmallVec<[AttemptRecord; 2]>,
    pub(super) forwards: SmallVec<[ForwardRecord; 1]>,
    pub(super) best_expected: Option<Duration>,
    /// The probe of the last server that may have crashed.
    pub(super) crash_probe: Option<JoinHandle<()>>,
    /// Time for which the request is known to be refused.
    pub(super) unavailable_for: Option<Duration>,
}

impl Progress {
    /// Whether an attempt has reached a server, so that a further one counts against the retry
    /// budget.
    pub(super) fn has_arrived(&self) -> bool {
        self.not_run > 0 || self.may_have_run()
    }

    /// Whether a server may have run the request, so that only an idempotent one is retried.
    pub(super) fn may_have_run(&self) -> bool {
        self.unknown || self.error_answer.is_some()
    }

    /// Records the result of the attempt at `pick`, and returns the answer unless it reports an
    /// error.
    pub(super) fn record(&mut self, pick: &Pick, sent: Sent) -> Option<Answer> {
        let Sent { verdict, crash_probe } = sent;
        self.crash_probe = crash_probe.or(self.crash_probe.take());
        self.tried.push(pick.server.clone());
        self.last_pick = Some(pick.clone());
        self.attempts
            .push(AttemptRecord { server: pick.server.clone(), verdict: verdict.as_str() });
        match verdict {
            Verdict::NotSent => self.unsent += 1,
            _ => self.sends += 1,
        }
        match verdict {
            Verdict::Ran(answer) if !answer.is_failure() => return Some(answer),
            Verdict::Ran(answer) => self.error_answer = Some(answer),
            Verdict::MayHaveRun(_) => self.unknown = true,
            Verdict::Shed | Verdict::Misdirected => self.not_run += 1,
            Verdict::NotSent => {}
        }
        None
    }

    /// Records that the attempt at `pick` is dropped, because another server has answered. It
    /// counts as sent.
    pub(super) fn record_dropped(&mut self, pick: &Pick) {
        self.attempts.push(AttemptRecord { server: pick.server.clone(), verdict: "dropped" });
        self.sends += 1;
    }

    /// Records how passing the request on to `entry` ended, after which `sends` attempts of that entry
    /// may have reached a server. Returns the answer unless it reports an error.
    ///
    /// # Errors
    ///
    /// The entry refused the request for a reason that holds for all entries.
    pub(super) fn record_forward(
        &mut self,
        entry: Ipv4Addr,
        end: ForwardEnd,
        sends: u32,
    ) -> Result<Option<Answer>, Refusal> {
        let unusable = end.shows_unusable_entry();
        self.forwards.push(ForwardRecord { entry, end: end.as_str() });
        self.sends += sends;
        match end {
            ForwardEnd::Answered(answer) if !answer.is_failure() => return Ok(Some(answer)),
            ForwardEnd::Answered(answer) => self.error_answer = Some(answer),
            ForwardEnd::MayHaveRun(_) => {
                self.sends += u32::from(sends == 0);
                self.unknown = true;
            }
            ForwardEnd::NotSent => self.unsent += 1,
            ForwardEnd::Refused(refusal, pause) => {
                self.not_run += sends;
                self.unavailable_for = pause;
                if !unusable {
                    return Err(refusal);
                }
            }
        }
        Ok(None)
    }

    /// The entries that the request was passed on to.
    pub(super) fn forwarded_to(&self) -> SmallVec<[Ipv4Addr; 2]> {
        self.forwards.iter().map(|record| record.entry).collect()
    }

    /// The outcome if no attempt was successful: the error that a server answered, if one did; else
    /// unknown, if a server may have run the request; else `refusal`, as no server ran it.
    pub(super) fn outcome_without_success(&mut self, refusal: Refusal) -> Outcome {
        match self.error_answer.take() {
            Some(answer) => Outcome::Answered(answer),
            None if self.unknown && self.timed_out() => Outcome::Unknown(UnknownReason::Timeout),
            None if self.unknown => Outcome::Unknown(UnknownReason::Broken),
            None => Outcome::Refused(refusal),
        }
    }

    /// Whether the last attempt ended because its deadline passed.
    fn timed_out(&self) -> bool {
        let last_forward = self.forwards.last().map(|forward| forward.end);
        let last = self.attempts.last().map(|attempt| attempt.verdict);
        last_forward.or(last) == Some(Verdict::TIMEOUT)
    }

    pub(super) fn into_completion(
        self,
        outcome: Outcome,
        waited: Duration,
        random: &impl Random,
    ) -> Completion {
        let retry_after = match outcome {
            Outcome::Refused(refusal) => {
                Some(retry_after::pause(refusal, self.unavailable_for, random))
            }
            _ => None,
        };
        Completion {
            retry_after,
            outcome,
            sends: self.sends,
            hedged: self.hedged,
            last_pick: self.last_pick,
            attempts: self.attempts,
            forwards: self.forwards,
            best_expected: self.best_expected,
            waited,
            unavailable_for: self.unavailable_for,
        }
    }
}
