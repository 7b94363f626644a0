//! Passes requests on to entries that reach a service which this entry has lost contact with, and
//! answers such entries which services this one reaches.
//!
//! A request is passed on once: the entry that gets it sends it to servers or refuses it. That entry
//! counts what servers see of it (attempts, cold servers, rate limits, crashes); this one counts the
//! request itself and takes the retry if an earlier attempt has reached a server.

use std::sync::Arc;
use std::time::Duration;

use super::Call;
use super::Dispatcher;
use super::call::Progress;
use crate::direct::fleet::Scope;
use crate::direct::fleet::ServerNames;
use crate::direct::forward::Hop;
use crate::direct::forward::Report;
use crate::direct::forward::ServiceNames;
use crate::direct::port::Backend;
use crate::direct::port::Forward;
use crate::direct::port::ForwardReply;
use crate::name;
use crate::outcome::Answer;
use crate::outcome::Refusal;
use crate::port::Clock;
use crate::port::Random;
use crate::time::Instant;

/// Number of entries that one request is passed on to, one after the other. The second one is for
/// an entry that has lost contact or is full since it said that it reaches the service.
const MAX_FORWARDS: usize = 2;

/// Age of an answer up to which it shows that this entry reaches a service.
const REACHED_VALIDITY: Duration = Duration::from_millis(300);

/// Time between two probes that find out whether contact is back while requests are passed on.
const CONTACT_PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Servers that are probed at once to find out whether contact is back.
const CONTACT_PROBES: usize = 2;

impl<B: Backend, C: Clock, R: Random> Dispatcher<B, C, R> {
    /// Selects an entry that reaches `service` if this one has lost contact with it, and probes whether
    /// contact is back.
    pub(super) fn choose_hop(
        self: &Arc<Self>,
        call: &Call<'_, B::Upload>,
        service: &name::Service,
        progress: &Progress,
    ) -> Option<Hop<'_>> {
        if !self.fleet.has_lost_contact(service.as_str()) {
            return None;
        }
        self.probe_contact(service);
        self.choose_other_entry(call, service, progress)
    }

    /// Selects an entry that reaches `service`, after no server of it has answered this one since the
    /// request arrived.
    pub(super) fn choose_hop_after_silence(
        &self,
        call: &Call<'_, B::Upload>,
        service: &name::Service,
        progress: &Progress,
    ) -> Option<Hop<'_>> {
        if self.fleet.has_answered_since(service.as_str(), call.received) {
            return None;
        }
        self.choose_other_entry(call, service, progress)
    }

    fn choose_other_entry(
        &self,
        call: &Call<'_, B::Upload>,
        service: &name::Service,
        progress: &Progress,
    ) -> Option<Hop<'_>> {
        if call.origin.is_some() || progress.forwards.len() >= MAX_FORWARDS {
            return None;
        }
        let now = self.clock.now();
        self.forwards.want(service, now);
        let tried = progress.forwarded_to();
        self.forwards.choose(service, &tried, now, &self.random)
    }

    /// Passes the request on and records how that ended. Returns the answer unless it reports an error.
    ///
    /// # Errors
    ///
    /// The other entry refused the request for a reason that holds for all entries.
    pub(super) async fn forward(
        &self,
        call: &Call<'_, B::Upload>,
        service: &name::Service,
        hop: Hop<'_>,
        progress: &mut Progress,
    ) -> Result<Option<Answer>, Refusal> {
        let now = self.clock.now();
        self.usage.lock().counts.forwards += 1;
        let forward = Forward {
            entry: hop.entry,
            id: call.id,
            service,
            config_version: self.config().map_or(0, |config| config.version),
            max_attempts: call.max_attempts().saturating_sub(progress.sends).max(1),
            waited: call.waited + now.since(call.received),
            content: call.content,
            upload: call.upload,
            deadline: call.deadline(),
        };
        let ForwardReply { end, sends, leaving } = self.backend.forward(forward).await;
        if let Some(server) = leaving {
            self.fleet.record_leaving(service.as_str(), &server);
        }
        if end.shows_unusable_entry() {
            self.forwards.discard_report(hop.entry);
        }
        match progress.record_forward(hop.entry, end, sends) {
            Err(Refusal::QueueFull) => {
                self.count_overload(call, service);
                Err(Refusal::QueueFull)
            }
            result => result,
        }
    }

    /// What this entry says of itself to one that has lost contact with `services`. Probes servers of
    /// those that it has had no recent answer of.
    pub async fn report_reached(self: &Arc<Self>, services: &[name::Service]) -> Report {
        let mut reached = ServiceNames::new();
        if !self.peers.is_leaving() {
            for service in services {
                if self.reaches(service).await {
                    reached.push(service.clone());
                }
            }
        }
        Report { reached, load: self.origin_requests.load() }
    }

    /// Whether this entry reaches servers of `service`.
    async fn reaches(self: &Arc<Self>, service: &name::Service) -> bool {
        let asked_at = self.clock.now();
        let answered = |since: Instant| self.fleet.has_answered_since(service.as_str(), since);
        if self.fleet.has_lost_contact(service.as_str()) {
            return false;
        }
        if answered(asked_at.before(REACHED_VALIDITY)) {
            return true;
        }
        let none = ServerNames::new();
        self.probe_round(service, Scope::All, &none, &none).await;
        answered(asked_at)
    }

    /// Probes servers of a lost service, unless that was done a short time ago.
    fn probe_contact(self: &Arc<Self>, service: &name::Service) {
        let now = self.clock.now();
        if !self.fleet.start_contact_probe(service.as_str(), CONTACT_PROBE_INTERVAL, now) {
            return;
        }
        let Some(path) = self.probe_path(service) else {
            return;
        };
        let (name, none) = (service.as_str(), ServerNames::new());
        let servers =
            self.fleet.candidates(name, Scope::All, &none, CONTACT_PROBES, now, &self.random);
        self.count_probes(servers.len());
        for server in &servers {
            // The task records the answer.
            drop(self.spawn_probe(service, server, &path));
        }
    }
}
