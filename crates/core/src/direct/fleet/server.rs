use std::net::SocketAddr;
use std::time::Duration;

use smallvec::SmallVec;

use crate::direct::cold::SendWindow;
use crate::name;
use crate::time::Instant;

/// How long a report is used for further choices: an answer time is several times as long, and the
/// pace of a server changes every few hundred milliseconds.
pub(super) const FRESH: Duration = Duration::from_millis(25);

/// First rest of a server that gave no answer to a probe; it doubles with each further one.
const FIRST_REST: Duration = Duration::from_millis(150);

/// Longest rest.
const MAX_REST: Duration = Duration::from_millis(2_400);

/// Time in which the memory of faults halves.
const FAULT_HALF_LIFE: Duration = Duration::from_millis(2_500);

/// Weight of one fault and of one good answer in the estimate of faults.
const FAULT_GAIN: f64 = 0.45;
const SUCCESS_GAIN: f64 = 0.3;

/// Estimate of faults of a server whose own word is that it is not well.
const UNHEALTHY: f64 = 0.6;

/// How long a good answer outweighs the server's word that it is not well.
const PROVED: Duration = Duration::from_secs(2);

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
    /// Whether it leaves.
    pub draining: bool,
    /// When it started, in milliseconds since the Unix epoch; it tells two starts apart.
    pub started_ms: u64,
}

/// What a server says of its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Load, unless the server tells none.
    pub load: Option<Load>,
    /// How much longer the server is cold.
    pub cold_for: Duration,
}

/// The load of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that may run at the same time.
    pub slots: u32,
    /// Time that work takes at this moment, in percent of the usual time.
    pub slowdown: u32,
}

/// A request in flight at a server.
#[derive(Debug, Clone, Copy)]
pub(super) struct Flight {
    pub(super) ticket: u64,
    pub(super) since: Instant,
    /// From when on the missing answer counts as a fault.
    pub(super) overdue: Instant,
}

/// Whether the platform lists a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Listed {
    Yes,
    /// Its entry ended, without a word that the server leaves; it may be used until then.
    Until(Instant),
}

/// A server and what this entry knows of it.
#[derive(Debug)]
pub(super) struct State {
    pub(super) server: Server,
    pub(super) listed: Listed,
    report: Option<(Instant, LoadReport)>,
    healthy: bool,
    pub(super) flights: SmallVec<[Flight; 4]>,
    pub(super) sends: SendWindow,
    faults: f64,
    faults_at: Instant,
    proved_at: Option<Instant>,
    silent: u32,
    rest_until: Instant,
}

impl State {
    pub(super) fn new(server: Server, now: Instant) -> Self {
        Self {
            server,
            listed: Listed::Yes,
            report: None,
            healthy: true,
            flights: SmallVec::new(),
            sends: SendWindow::default(),
            faults: 0.0,
            faults_at: now,
            proved_at: None,
            silent: 0,
            rest_until: Instant::default(),
        }
    }

    /// Takes over what the platform says now. A server that started again has forgotten everything.
    pub(super) fn update(&mut self, server: Server, now: Instant) {
        if server.started_ms != self.server.started_ms || server.address != self.server.address {
            *self = Self::new(server, now);
            return;
        }
        self.server = server;
        self.listed = Listed::Yes;
    }

    pub(super) fn resting(&self, now: Instant) -> bool {
        now < self.rest_until
    }

    /// The report, if it is fresh enough for a choice.
    pub(super) fn fresh(&self, now: Instant) -> Option<&LoadReport> {
        let (at, report) = self.report.as_ref()?;
        (now.since(*at) <= FRESH).then_some(report)
    }

    /// Age of the last report.
    pub(super) fn report_age(&self, now: Instant) -> Option<Duration> {
        self.report.as_ref().map(|(at, _)| now.since(*at))
    }

    pub(super) fn note_report(&mut self, now: Instant, report: LoadReport) {
        self.report = Some((now, report));
    }

    pub(super) fn note_health(&mut self, healthy: bool) {
        self.healthy = healthy;
        self.silent = 0;
        self.rest_until = Instant::default();
    }

    /// The server gave no answer, or another server has its address.
    pub(super) fn note_silence(&mut self, now: Instant) {
        self.report = None;
        let rest = FIRST_REST * (1 << self.silent.min(4));
        self.silent += 1;
        self.rest_until = now + rest.min(MAX_REST);
    }

    /// Requests sent since the last report, which it does not count.
    pub(super) fn unreported(&self) -> u32 {
        let at = self.report.as_ref().map_or(Instant::default(), |(at, _)| *at);
        let later = self.flights.iter().filter(|flight| flight.since >= at).count();
        u32::try_from(later).unwrap_or(u32::MAX)
    }

    pub(super) fn note_fault(&mut self, now: Instant) {
        self.faults = self.decayed(now);
        self.faults += (1.0 - self.faults) * FAULT_GAIN;
        self.faults_at = now;
    }

    pub(super) fn note_success(&mut self, now: Instant) {
        self.faults = self.decayed(now) * (1.0 - SUCCESS_GAIN);
        self.faults_at = now;
        self.proved_at = Some(now);
    }

    fn decayed(&self, now: Instant) -> f64 {
        let halvings = now.since(self.faults_at).as_secs_f64() / FAULT_HALF_LIFE.as_secs_f64();
        self.faults * (-halvings * std::f64::consts::LN_2).exp()
    }

    /// The part of requests that this server is expected to fail.
    pub(super) fn fault_rate(&self, now: Instant) -> f64 {
        let overdue = self.flights.iter().filter(|flight| flight.overdue <= now).count();
        let missing = 1.0 - (1.0 - FAULT_GAIN).powi(i32::try_from(overdue).unwrap_or(i32::MAX));
        let proved = self.proved_at.is_some_and(|at| now.since(at) < PROVED);
        let said = if self.healthy || proved { 0.0 } else { UNHEALTHY };
        self.decayed(now).max(missing).max(said)
    }
}
