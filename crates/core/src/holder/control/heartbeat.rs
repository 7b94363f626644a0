use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;

use super::Control;
use super::HeartbeatMessage;
use crate::holder::member::Capacity;
use crate::holder::member::Heartbeat;
use crate::holder::member::HeartbeatKind;
use crate::holder::member::MAX_PEERS;
use crate::holder::member::Role;
use crate::holder::member::Vm;
use crate::holder::port::Coordination;
use crate::holder::port::Ports;
use crate::name;
use crate::port::Clock;

/// Time between two heartbeats to a peer. After three missed ones it is silent.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Longest wait for the response to a heartbeat, so that a round ends before the next one.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(900);

/// An entry with which heartbeats are exchanged.
struct Recipient {
    /// Name of its VM; `None` for a seed, whose name is not known before it answers.
    vm: Option<name::Vm>,
    address: SocketAddr,
}

impl<O: Ports> Control<O> {
    /// Exchanges heartbeats with all peers every [`HEARTBEAT_INTERVAL`].
    pub(super) async fn run_heartbeats(&self) {
        loop {
            let next = self.clock().now() + HEARTBEAT_INTERVAL;
            self.exchange_heartbeats().await;
            // Peers take over the servers of a leaving entry without waiting for the next round.
            tokio::select! {
                () = self.clock().sleep_until(next) => {}
                () = self.leaving.notified() => {}
            }
        }
    }

    /// Exchanges one heartbeat with each peer.
    pub async fn exchange_heartbeats(&self) {
        let recipients = self.recipients();
        join_all(recipients.iter().map(|recipient| self.exchange(recipient))).await;
    }

    /// Merges a heartbeat that a peer sent and returns the one to respond with.
    pub fn answer_heartbeat(&self, message: HeartbeatMessage) -> HeartbeatMessage {
        self.merge(message, HeartbeatKind::Request);
        self.own_heartbeat()
    }

    /// The current heartbeat of this entry.
    pub fn own_heartbeat(&self) -> HeartbeatMessage {
        let now = self.clock().now();
        let (config_version, list_version) = self.tables.intent.versions();
        let gate = &self.tables.gate;
        let routes = self.tables.routes();
        let capacities = routes.iter().filter_map(|(service, route)| {
            let pool = route.pool().capacity(now);
            let held = pool.limit > 0;
            held.then(|| Capacity { service: service.clone(), limit: pool.limit, free: pool.free })
        });
        let heartbeat = Heartbeat {
            incarnation: self.identity.incarnation,
            clock: self.tables.timeline.stamp(self.clock().wall_millis()),
            ready: gate.check_admission(now).is_ok(),
            leaving: gate.is_leaving(),
            config_version,
            list_version,
            capacity: capacities.collect(),
        };
        HeartbeatMessage { from: self.identity.vm.clone(), heartbeat }
    }

    async fn exchange(&self, recipient: &Recipient) {
        let request_sent_at = self.clock().now();
        let response = self
            .ports
            .peer()
            .heartbeat(recipient.address, &self.own_heartbeat(), RESPONSE_TIMEOUT)
            .await;
        if let Some(vm) = &recipient.vm {
            self.tables.peers.mark_tried(vm);
        }
        let Some(response) = response else {
            return;
        };
        self.record_address(&response.from, recipient.address);
        self.merge(response, HeartbeatKind::Response { request_sent_at });
    }

    /// Records the address at which a peer answered. The number of addresses is bounded, because a
    /// seed may give a different name with each response.
    fn record_address(&self, vm: &name::Vm, address: SocketAddr) {
        let mut addresses = self.peer_addresses.lock();
        if addresses.len() >= MAX_PEERS && !addresses.contains_key(vm) {
            addresses.clear();
        }
        addresses.insert(vm.clone(), address);
    }

    fn merge(&self, message: HeartbeatMessage, kind: HeartbeatKind) {
        let now = self.clock().now();
        self.tables.timeline.receive(self.clock().wall_millis(), message.heartbeat.clock);
        self.tables.peers.merge_heartbeat(
            now,
            &message.from,
            message.heartbeat,
            kind,
            &self.journal(),
        );
        self.tick_needed.notify_one();
        self.fetch_needed.notify_one();
    }

    /// The other entries on the VM list, or the seeds if no list is in force.
    fn recipients(&self) -> Vec<Recipient> {
        let Some(intent) = self.tables.intent.snapshot() else {
            return self.seeds.iter().map(|seed| Recipient { vm: None, address: *seed }).collect();
        };
        let vms = intent.list.vms().iter().filter(|vm| vm.name != self.identity.vm);
        let recipient = |vm: &Vm| match &vm.role {
            Role::Entry { control, .. } => {
                Some(Recipient { vm: Some(vm.name.clone()), address: *control })
            }
            Role::Server { .. } => None,
        };
        vms.filter_map(recipient).collect()
    }
}
