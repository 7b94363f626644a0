//! One server: what the platform lists, and what this entry has observed.

use std::net::SocketAddr;
use std::time::Duration;

use smallvec::SmallVec;

use super::limited;
use super::limited::Limited;
use crate::direct::cold::SendWindow;
use crate::direct::port::Notice;
use crate::direct::rate_limit::RateLimit;
use crate::name;
use crate::time::Instant;

/// Age up to which a load report is used for further choices. An answer takes several times as
/// long, and the slowdown of a server changes every few hundred milliseconds.
pub(super) const MAX_REPORT_AGE: Duration = Duration::from_millis(25);

/// Backoff after the first unanswered probe; it doubles with each further one.
const MIN_BACKOFF: Duration = Duration::from_millis(150);

/// Longest backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(2_400);

/// Time in which the estimated failure rate of a server halves without further requests.
const FAILURE_HALF_LIFE: Duration = Duration::from_millis(2_500);

/// Weight of one failure in the estimated failure rate.
const FAILURE_WEIGHT: f64 = 0.45;

/// Weight of one success in the estimated failure rate.
const SUCCESS_WEIGHT: f64 = 0.3;

/// Least estimated failure rate of a server that reports to be unhealthy.
const UNHEALTHY_FAILURE_RATE: f64 = 0.6;

/// Time after a success for which a report to be unhealthy is ignored.
const SUCCESS_VALIDITY: Duration = Duration::from_secs(2);

/// Longest pause that a server is believed to want. Longer ones are likely to be mistakes.
const MAX_PAUSE: Duration = Duration::from_secs(3_600);

/// A server as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Name of the server.
    pub name: name::Vm,
    /// Service that it belongs to.
    pub service: name::Service,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: name::Domain,
    /// Requests that it works on at the same time.
    pub slots: u32,
    /// Whether it is draining and must get no new requests.
    pub draining: bool,
    /// When it started, in milliseconds since the Unix epoch. A change shows a restart.
    pub started_ms: u64,
    /// Number of the item among those that the server has written since its start.
    pub sequence: u64,
}

/// The load that a server reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Load; `None` if the server reports none.
    pub load: Option<Load>,
    /// How much longer the server is cold; zero if it is not.
    pub cold_for: Duration,
}

/// The load of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that may run at the same time.
    pub slots: u32,
    /// Time that work takes at this moment, in percent of the usual time.
    pub slowdown: u32,
}

/// A load report, and how old it was when it arrived.
#[derive(Debug, Clone, Copy)]
struct ReceivedReport {
    received_at: Instant,
    /// Time between the probe and its answer.
    round_trip: Duration,
    report: LoadReport,
}

/// An attempt in flight at a server.
#[derive(Debug, Clone, Copy)]
pub(super) struct InFlight {
    pub(super) id: u64,
    pub(super) sent_at: Instant,
    /// When the missing answer starts to count as a failure.
    pub(super) overdue_at: Instant,
}

/// Whether the platform lists a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Listing {
    Listed,
    /// The platform's item expired although the server had not announced to leave. The server may
    /// be used until this time.
    UsableUntil(Instant),
    /// A restored copy of the store lists the server although it had left. It may be used from this
    /// time on.
    UsableFrom(Instant),
}

impl Listing {
    /// Whether a server may be used at `now`.
    pub(super) fn is_usable(self, now: Instant) -> bool {
        match self {
            Self::Listed => true,
            Self::UsableUntil(end) => now <= end,
            Self::UsableFrom(start) => now >= start,
        }
    }

    /// Whether the platform's item of a server holds at `now`. One from a restored copy holds once
    /// the server may be used, since it would have expired in the store by then.
    pub(super) fn is_listed(self, now: Instant) -> bool {
        match self {
            Self::Listed => true,
            Self::UsableUntil(_) => false,
            Self::UsableFrom(start) => now >= start,
        }
    }
}

/// A server and what this entry knows of it.
#[derive(Debug)]
pub(super) struct ServerState {
    pub(super) server: Server,
    /// Rendezvous score of the server for this entry. Each entry prefers the servers with the
    /// highest scores, so all servers are preferred by about as many entries.
    pub(super) score: u64,
    pub(super) listing: Listing,
    /// The last load report.
    report: Option<ReceivedReport>,
    /// Whether the server reports to be healthy.
    healthy: bool,
    pub(super) in_flight: SmallVec<[InFlight; 4]>,
    pub(super) cold_sent: SendWindow,
    /// The rate limit that the server named last.
    pub(super) limited: Option<Limited>,
    /// Whether the server has said in an answer that it is leaving. It holds until the server starts
    /// again, whatever its item in the store says.
    pub(super) leaving: bool,
    /// Until when the server wants no requests from this entry.
    pub(super) paused_until: Instant,
    /// Estimated failure rate at `failure_estimate_at`, by the ends of attempts.
    failure_estimate: f64,
    failure_estimate_at: Instant,
    succeeded_at: Option<Instant>,
    /// Unanswered probes in a row.
    unanswered: u32,
    /// Until when the server is not probed.
    backoff_until: Instant,
}

impl ServerState {
    pub(super) fn new(server: Server, score: u64, now: Instant) -> Self {
        Self {
            server,
            score,
            listing: Listing::Listed,
            report: None,
            healthy: true,
            in_flight: SmallVec::new(),
            cold_sent: SendWindow::default(),
            limited: None,
            leaving: false,
            paused_until: Instant::default(),
            failure_estimate: 0.0,
            failure_estimate_at: now,
            succeeded_at: None,
            unanswered: 0,
            backoff_until: Instant::default(),
        }
    }

    /// Applies the platform's latest item. After a restart or a change of address, earlier
    /// observations of the server no longer hold and are discarded.
    pub(super) fn update(&mut self, server: Server, now: Instant) {
        if server.started_ms != self.server.started_ms || server.address != self.server.address {
            *self = Self::new(server, self.score, now);
            return;
        }
        self.server = server;
        self.listing = Listing::Listed;
    }

    /// Whether the server is not to be probed now, because it left probes unanswered.
    pub(super) fn is_backing_off(&self, now: Instant) -> bool {
        now < self.backoff_until
    }

    /// The load report, if it is fresh enough for a choice.
    pub(super) fn fresh_report(&self, now: Instant) -> Option<&LoadReport> {
        let received = self.report.as_ref()?;
        (now.since(received.received_at) <= MAX_REPORT_AGE).then_some(&received.report)
    }

    /// Age of the last load report.
    pub(super) fn report_age(&self, now: Instant) -> Option<Duration> {
        self.report.as_ref().map(|received| now.since(received.received_at))
    }

    /// Time between the server's last load report and the arrival of a request that is sent now.
    /// Requests of other entries that arrive in it are not seen here. A request takes about as long
    /// to the server as the report took from it, so the whole round trip counts.
    pub(super) fn unseen_time(&self, now: Instant) -> Duration {
        self.report.as_ref().map_or(Duration::ZERO, |received| {
            (now.since(received.received_at) + received.round_trip).min(MAX_REPORT_AGE)
        })
    }

    /// Records a load report that arrived `round_trip` after it was requested.
    pub(super) fn record_report(&mut self, now: Instant, round_trip: Duration, report: LoadReport) {
        self.report = Some(ReceivedReport { received_at: now, round_trip, report });
    }

    /// Records that the server answered a probe, and whether it reports to be healthy.
    pub(super) fn record_health(&mut self, healthy: bool) {
        self.healthy = healthy;
        self.end_backoff();
    }

    /// Records what the server says of itself in an answer that arrived at `now`. Answers may arrive
    /// in another order than they were sent in, so a pause is only ever extended.
    pub(super) fn record_notice(&mut self, notice: &Notice, now: Instant) {
        let name = &self.server.name;
        limited::record(&mut self.limited, name, self.score, notice.rate_limit, now);
        if notice.leaving {
            self.record_leaving();
        }
        if let Some(pause) = notice.pause {
            let pause = pause.min(MAX_PAUSE);
            log::info!("event=pause server={} ms={}", self.server.name, pause.as_millis());
            self.paused_until = self.paused_until.max(now + pause);
        }
    }

    /// Records that the server says that it is leaving.
    pub(super) fn record_leaving(&mut self) {
        if !self.leaving {
            log::info!("event=server server={} state=leaving", self.server.name);
            self.leaving = true;
        }
    }

    /// Ends the back-off, since the server was silent because this entry did not reach it.
    pub(super) fn end_backoff(&mut self) {
        self.unanswered = 0;
        self.backoff_until = Instant::default();
    }

    /// The rate limit that the server names.
    pub(super) fn rate_limit(&self, now: Instant) -> Option<RateLimit> {
        self.limited.as_ref().filter(|limited| limited.holds(now)).map(Limited::rate)
    }

    /// How long the server takes no request of `priority` from this entry, because of its rate limit or
    /// a pause; `None` if it takes one now.
    pub(super) fn wait(&self, priority: u32, now: Instant) -> Option<Duration> {
        let pause = self.paused_until.since(now);
        self.limit_wait(priority, now).max((!pause.is_zero()).then_some(pause))
    }

    fn limit_wait(&self, priority: u32, now: Instant) -> Option<Duration> {
        let limited = self.limited.as_ref().filter(|limited| limited.holds(now))?;
        (!limited.bucket.allows(priority, now)).then(|| limited.wait(priority, now))
    }

    /// Records that the server did not answer, or that another server has its address.
    pub(super) fn record_no_answer(&mut self, now: Instant) {
        self.report = None;
        let backoff = MIN_BACKOFF * (1 << self.unanswered.min(4));
        self.unanswered += 1;
        self.backoff_until = now + backoff.min(MAX_BACKOFF);
    }

    /// Attempts sent since the last load report was requested, which may not count them.
    pub(super) fn possibly_unreported(&self) -> u32 {
        let requested_at = self.report.as_ref().map_or(Instant::default(), |received| {
            received.received_at.before(received.round_trip)
        });
        self.sent_since(requested_at)
    }

    /// Attempts sent since the last load report arrived, which does not count them.
    pub(super) fn unreported(&self) -> u32 {
        let reported_at =
            self.report.as_ref().map_or(Instant::default(), |received| received.received_at);
        self.sent_since(reported_at)
    }

    fn sent_since(&self, at: Instant) -> u32 {
        let later = self.in_flight.iter().filter(|attempt| attempt.sent_at >= at).count();
        u32::try_from(later).unwrap_or(u32::MAX)
    }

    pub(super) fn record_failure(&mut self, now: Instant) {
        self.failure_estimate = self.decayed_estimate(now);
        self.failure_estimate += (1.0 - self.failure_estimate) * FAILURE_WEIGHT;
        self.failure_estimate_at = now;
    }

    pub(super) fn record_success(&mut self, now: Instant) {
        self.failure_estimate = self.decayed_estimate(now) * (1.0 - SUCCESS_WEIGHT);
        self.failure_estimate_at = now;
        self.succeeded_at = Some(now);
    }

    fn decayed_estimate(&self, now: Instant) -> f64 {
        let halvings =
            now.since(self.failure_estimate_at).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.failure_estimate * (-halvings * std::f64::consts::LN_2).exp()
    }

    /// The fraction of requests that the server is expected to fail: the largest of the estimates
    /// by the ends of attempts, by overdue answers and by the server's report of its health.
    pub(super) fn failure_rate(&self, now: Instant) -> f64 {
        let overdue = self.in_flight.iter().filter(|attempt| attempt.overdue_at <= now).count();
        let by_overdue =
            1.0 - (1.0 - FAILURE_WEIGHT).powi(i32::try_from(overdue).unwrap_or(i32::MAX));
        let succeeded = self.succeeded_at.is_some_and(|at| now.since(at) < SUCCESS_VALIDITY);
        let by_health = if self.healthy || succeeded { 0.0 } else { UNHEALTHY_FAILURE_RATE };
        self.decayed_estimate(now).max(by_overdue).max(by_health)
    }
}
