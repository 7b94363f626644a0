//! Finds entries that reach the services which this one does not, and answers entries that look for
//! them.

use std::net::Ipv4Addr;
use std::sync::Arc;

use super::Gossip;
use jackdawpin_core::direct::forward::MAX_SERVICES;
use jackdawpin_core::direct::forward::Report;
use jackdawpin_core::direct::forward::ServiceNames;
use jackdawpin_core::name;
use jackdawpin_wire as wire;

/// Largest number of questions that are being answered at once. Answering one may take a probe.
pub(super) const MAX_PENDING_QUESTIONS: usize = 32;

impl Gossip {
    /// Asks other entries which services they reach, while requests need that.
    pub(super) async fn ask_for_services(&self) {
        loop {
            self.dispatcher.forwards.wait_until_wanted().await;
            while let Some(round) = self.dispatcher.forwards.next_round(
                &self.dispatcher.peers,
                self.now(),
                self.dispatcher.random(),
            ) {
                let names = round.services.iter().map(ToString::to_string).collect();
                self.send_all(&wire::Datagram::ReachQuery(names), &round.entries).await;
                tokio::time::sleep(round.pause).await;
            }
        }
    }

    /// Answers the live entry at `from`, in a task of its own. Questions beyond
    /// [`MAX_PENDING_QUESTIONS`] are ignored; the sender asks other entries as well.
    pub(super) fn answer_question(self: &Arc<Self>, services: &[String], from: Ipv4Addr) {
        let is_live = self.dispatcher.peers.is_near(from, self.now()).is_some();
        let Some(permit) = self.questions.clone().try_acquire_owned().ok().filter(|_| is_live)
        else {
            return;
        };
        let services = service_names(services);
        self.dispatcher.forwards.record_question(from, &services, self.now());
        let gossip = Arc::clone(self);
        tokio::spawn(async move {
            let Report { reached, load } = gossip.dispatcher.report_reached(&services).await;
            let services = reached.iter().map(ToString::to_string).collect();
            let message = wire::Datagram::Reach(wire::Reach { services, load });
            gossip.send(&message, from).await;
            drop(permit);
        });
    }

    /// Records the answer of the entry at `from`.
    pub(super) fn record_reach(&self, reach: &wire::Reach, from: Ipv4Addr) {
        let now = self.now();
        let Some(near) = self.dispatcher.peers.is_near(from, now) else {
            return;
        };
        let report = Report { reached: service_names(&reach.services), load: reach.load };
        self.dispatcher.forwards.record_report(from, near, report, now);
    }
}

/// The valid ones of the first [`MAX_SERVICES`] names.
fn service_names(names: &[String]) -> ServiceNames {
    let names = names.iter().take(MAX_SERVICES);
    names.filter_map(|name| name::Service::try_from(name.as_str()).ok()).collect()
}
