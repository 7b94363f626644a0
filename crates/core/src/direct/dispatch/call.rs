use std::fmt;
use std::time::Duration;

use smallvec::SmallVec;

use super::END_MARGIN;
use crate::direct::config::Route;
use crate::direct::fleet::Pick;
use crate::direct::fleet::ServerNames;
use crate::direct::port::Verdict;
use crate::name;
use crate::outcome::Answer;
use crate::outcome::Outcome;
use crate::outcome::Refusal;
use crate::outcome::UnknownReason;
use crate::port::Random;
use crate::request::Content;
use crate::time::Instant;

/// Attempts that reached no server, after which a request is refused.
pub(super) const MAX_UNSENT: u32 = 4;

/// Longest time of a request whose caller and route name none.
const DEFAULT_TIME: Duration = Duration::from_secs(10);

/// Aim of a route that names none.
const DEFAULT_AIM: Duration = Duration::from_secs(1);

/// Shortest time after which a refused caller is asked to come back, and the span over which callers
/// are spread.
const COME_BACK: Duration = Duration::from_millis(120);
const COME_BACK_SPREAD: Duration = Duration::from_millis(120);

/// A request on its way.
#[derive(Debug, Clone, Copy)]
pub struct Call<'a> {
    /// The caller's id of the request.
    pub id: &'a str,
    /// Its route.
    pub route: &'a Route,
    /// When this entry received it.
    pub received: Instant,
    /// How long the caller waits from then on, if it says so.
    pub caller_timeout: Option<Duration>,
    /// What the server sees.
    pub content: &'a Content,
}

impl Call<'_> {
    /// When the request must have ended.
    pub(super) fn until(&self) -> Instant {
        let patience = self.caller_timeout.unwrap_or(DEFAULT_TIME);
        let time = self.route.timeout.map_or(patience, |timeout| patience.min(timeout));
        self.received + time.saturating_sub(END_MARGIN)
    }

    pub(super) fn aim(&self) -> Duration {
        self.route.latency_target.or(self.route.timeout).unwrap_or(DEFAULT_AIM)
    }
}

/// An attempt, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptRecord {
    /// The server.
    pub server: name::Vm,
    /// What the attempt proved; `dropped` if another server answered first.
    pub verdict: &'static str,
}

impl fmt::Display for AttemptRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.server, self.verdict)
    }
}

/// How a request ended, and what led to it.
#[derive(Debug, Clone, PartialEq)]
pub struct Completion {
    /// What the caller is told.
    pub outcome: Outcome,
    /// When the caller may come back, if the request was refused.
    pub retry_after: Option<Duration>,
    /// Attempts that may have reached a server.
    pub sends: u32,
    /// Whether a second attempt was made because the first took long.
    pub hedged: bool,
    /// The last server tried, and the report that it was chosen by.
    pub last_pick: Option<Pick>,
    /// All attempts, in the order in which they ended.
    pub attempts: SmallVec<[AttemptRecord; 2]>,
    /// The shortest expected time of the servers asked last, if it was too long.
    pub best_expected: Option<Duration>,
}

/// What happened to a request so far.
#[derive(Debug, Default)]
pub(super) struct Trail {
    pub(super) tried: ServerNames,
    pub(super) sends: u32,
    pub(super) refused_sends: u32,
    pub(super) arrivals: u32,
    pub(super) doubt: bool,
    pub(super) failed: Option<Answer>,
    pub(super) hedged: bool,
    pub(super) pick: Option<Pick>,
    pub(super) tries: SmallVec<[AttemptRecord; 2]>,
    pub(super) best: Option<Duration>,
}

impl Trail {
    pub(super) fn arrived(&self) -> bool {
        self.arrivals > 0 || self.may_have_run()
    }

    /// Whether a server may have run the request, so that only an idempotent one is repeated.
    pub(super) fn may_have_run(&self) -> bool {
        self.doubt || self.failed.is_some()
    }

    /// Notes what an attempt proved, and returns the answer if it is a good one.
    pub(super) fn note(&mut self, pick: &Pick, verdict: Verdict) -> Option<Answer> {
        self.tried.push(pick.server.clone());
        self.pick = Some(pick.clone());
        self.tries.push(AttemptRecord { server: pick.server.clone(), verdict: verdict.as_str() });
        match verdict {
            Verdict::NotSent => self.refused_sends += 1,
            _ => self.sends += 1,
        }
        match verdict {
            Verdict::Ran(answer) if !answer.is_failure() => return Some(answer),
            Verdict::Ran(answer) => self.failed = Some(answer),
            Verdict::MayHaveRun(_) => self.doubt = true,
            Verdict::Shed | Verdict::Misdirected => self.arrivals += 1,
            Verdict::NotSent => {}
        }
        None
    }

    /// Notes that the attempt at `pick` is dropped, because another server has answered. It has
    /// reached its server as well.
    pub(super) fn drop_attempt(&mut self, pick: &Pick) {
        self.tries.push(AttemptRecord { server: pick.server.clone(), verdict: "dropped" });
        self.sends += 1;
    }

    /// The end without a good answer: what a server answered, if one did; else unknown, if one may
    /// have run the request; else `refusal`, which says that none did.
    pub(super) fn close(&mut self, refusal: Refusal) -> Outcome {
        match self.failed.take() {
            Some(answer) => Outcome::Answered(answer),
            None if self.doubt && self.timed_out() => Outcome::Unknown(UnknownReason::Timeout),
            None if self.doubt => Outcome::Unknown(UnknownReason::Broken),
            None => Outcome::Refused(refusal),
        }
    }

    fn timed_out(&self) -> bool {
        self.tries.last().is_some_and(|last| last.verdict == Verdict::TIMEOUT)
    }

    pub(super) fn end(self, outcome: Outcome, random: &impl Random) -> Completion {
        let spread = u64::try_from(COME_BACK_SPREAD.as_micros()).unwrap_or(u64::MAX);
        let come_back = COME_BACK + Duration::from_micros(random.below(spread));
        Completion {
            retry_after: matches!(outcome, Outcome::Refused(_)).then_some(come_back),
            outcome,
            sends: self.sends,
            hedged: self.hedged,
            last_pick: self.pick,
            attempts: self.tries,
            best_expected: self.best,
        }
    }
}
