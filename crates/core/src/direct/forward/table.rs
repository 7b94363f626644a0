//! The state behind [`Forwards`](super::Forwards).

use std::net::Ipv4Addr;
use std::time::Duration;

use super::EntryList;
use super::MAX_SERVICES;
use super::Report;
use super::ServiceNames;
use crate::name;
use crate::port::Random;
use crate::time::Instant;

/// Time after the last request that needed a service in which entries are still asked about it.
const WANTED_TIME: Duration = Duration::from_millis(1_000);

/// Time for which a report of an entry holds: three rounds of questions, so that a lost datagram
/// makes no difference.
const REPORT_VALIDITY: Duration = Duration::from_millis(800);

/// Requests in flight that an entry of this failure domain may have more than one of another domain
/// before it counts as more loaded. Bytes within a domain cost less.
const NEAR_ADVANTAGE: u32 = 2;

/// Time after a question for which its receiver counts the sender as one that has lost contact.
const QUESTION_VALIDITY: Duration = Duration::from_millis(600);

/// Time after its last question for which an entry uses no share of a server. It covers
/// [`QUESTION_VALIDITY`] at the receivers and the way of the question to them.
const SHARE_PAUSE: Duration = Duration::from_millis(1_000);

/// Largest number of entries whose questions are remembered.
const MAX_QUESTIONS: usize = 1_024;

/// A question of another entry.
#[derive(Debug)]
struct Question {
    entry: Ipv4Addr,
    services: ServiceNames,
    received_at: Instant,
}

/// An entry that has been asked.
#[derive(Debug)]
struct AskedEntry {
    ip: Ipv4Addr,
    near: bool,
    report: Report,
    reported_at: Instant,
    /// Requests that this entry has passed on to it and that have not ended.
    in_flight: u32,
}

impl AskedEntry {
    fn is_valid(&self, now: Instant) -> bool {
        now.since(self.reported_at) < REPORT_VALIDITY && !self.report.reached.is_empty()
    }

    /// The measure by which two entries are compared. Requests of this entry may be counted twice
    /// until the next report.
    fn cost(&self) -> u32 {
        let distance = if self.near { 0 } else { NEAR_ADVANTAGE };
        self.report.load.saturating_add(self.in_flight).saturating_add(distance)
    }
}

#[derive(Debug, Default)]
pub(super) struct ForwardTable {
    /// Services that requests have needed, and when the last one did.
    wanted: Vec<(name::Service, Instant)>,
    entries: Vec<AskedEntry>,
    /// The last question of each other entry.
    questions: Vec<Question>,
    /// The services that this entry has asked about, and when it last did.
    own_questions: Vec<(name::Service, Instant)>,
}

impl ForwardTable {
    pub(super) fn want(&mut self, service: &name::Service, now: Instant) {
        match self.wanted.iter_mut().find(|(wanted, _)| wanted == service) {
            Some((_, wanted_at)) => *wanted_at = now,
            None => self.wanted.push((service.clone(), now)),
        }
    }

    /// The services that are wanted, the latest first, at most [`MAX_SERVICES`].
    pub(super) fn wanted(&mut self, now: Instant) -> ServiceNames {
        self.wanted.retain(|(_, wanted_at)| now.since(*wanted_at) < WANTED_TIME);
        self.wanted.sort_by_key(|(_, wanted_at)| now.since(*wanted_at));
        self.wanted.iter().take(MAX_SERVICES).map(|(service, _)| service.clone()).collect()
    }

    pub(super) fn record_own_question(&mut self, services: &ServiceNames, now: Instant) {
        self.own_questions.retain(|(service, _)| !services.contains(service));
        self.own_questions.extend(services.iter().map(|service| (service.clone(), now)));
    }

    pub(super) fn has_given_up_share(&self, service: &name::Service, now: Instant) -> bool {
        let mut questions = self.own_questions.iter();
        questions.any(|(asked, at)| asked == service && now.since(*at) < SHARE_PAUSE)
    }

    pub(super) fn record_question(
        &mut self,
        entry: Ipv4Addr,
        services: &ServiceNames,
        now: Instant,
    ) {
        let holds = |question: &Question| now.since(question.received_at) < QUESTION_VALIDITY;
        self.questions.retain(|question| holds(question) && question.entry != entry);
        if self.questions.len() < MAX_QUESTIONS {
            self.questions.push(Question { entry, services: services.clone(), received_at: now });
        }
    }

    /// The entries that have asked about `service` a short time ago.
    pub(super) fn entries_without(&self, service: &name::Service, now: Instant) -> EntryList {
        let asks = |question: &&Question| {
            now.since(question.received_at) < QUESTION_VALIDITY
                && question.services.contains(service)
        };
        self.questions.iter().filter(asks).map(|question| question.entry).collect()
    }

    /// The entries whose report holds, the least loaded first.
    pub(super) fn valid_entries(&self, now: Instant) -> impl Iterator<Item = Ipv4Addr> {
        let mut valid: Vec<&AskedEntry> =
            self.entries.iter().filter(|entry| entry.is_valid(now)).collect();
        valid.sort_by_key(|entry| entry.cost());
        valid.into_iter().map(|entry| entry.ip).collect::<Vec<_>>().into_iter()
    }

    /// The positions of the entries that reach `service` and are not in `tried`.
    pub(super) fn reaching(
        &self,
        service: &name::Service,
        tried: &[Ipv4Addr],
        now: Instant,
    ) -> impl Iterator<Item = usize> {
        let fits = move |(index, entry): (usize, &AskedEntry)| {
            let reaches = entry.is_valid(now) && entry.report.reached.contains(service);
            (reaches && !tried.contains(&entry.ip)).then_some(index)
        };
        self.entries.iter().enumerate().filter_map(fits)
    }

    pub(super) fn record_report(&mut self, ip: Ipv4Addr, near: bool, report: Report, now: Instant) {
        self.entries.retain(|entry| entry.is_valid(now) || entry.in_flight > 0 || entry.ip == ip);
        match self.entries.iter_mut().find(|entry| entry.ip == ip) {
            Some(entry) => {
                entry.report = report;
                entry.reported_at = now;
            }
            None => {
                self.entries.push(AskedEntry { ip, near, report, reported_at: now, in_flight: 0 });
            }
        }
    }

    /// The less loaded of two random entries that reach `service`; it gets one more request.
    pub(super) fn choose(
        &mut self,
        service: &name::Service,
        tried: &[Ipv4Addr],
        now: Instant,
        random: &impl Random,
    ) -> Option<Ipv4Addr> {
        let mut found: Vec<usize> = self.reaching(service, tried, now).collect();
        if found.is_empty() {
            return None;
        }
        let first = found.swap_remove(random.index(found.len()));
        let second = found.get(random.index(found.len())).copied().unwrap_or(first);
        let less_loaded =
            if self.entries[second].cost() < self.entries[first].cost() { second } else { first };
        let entry = &mut self.entries[less_loaded];
        entry.in_flight += 1;
        Some(entry.ip)
    }

    /// Ends a request that was passed on to `ip`.
    pub(super) fn end(&mut self, ip: Ipv4Addr) {
        if let Some(entry) = self.entries.iter_mut().find(|entry| entry.ip == ip) {
            entry.in_flight = entry.in_flight.saturating_sub(1);
        }
    }

    pub(super) fn discard_report(&mut self, ip: Ipv4Addr) {
        if let Some(entry) = self.entries.iter_mut().find(|entry| entry.ip == ip) {
            entry.report.reached.clear();
        }
    }
}
