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

/// Time between two heartbeats to a peer. Three missed ones make it silent.
const INTERVAL: Duration = Duration::from_secs(1);

/// Longest wait for the answer to a heartbeat, so that a round ends before the next one.
const TIMEOUT: Duration = Duration::from_millis(900);

/// An entry to exchange heartbeats with. A seed's name is not known before it answers.
struct Other {
    vm: Option<name::Vm>,
    address: SocketAddr,
}

impl<O: Ports> Control<O> {
    /// Exchanges heartbeats with all peers, once each interval.
    pub(super) async fn beats(&self) {
        loop {
            let next = self.clock().now() + INTERVAL;
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
        let others = self.others();
        join_all(others.iter().map(|other| self.greet(other))).await;
    }

    /// Takes over a heartbeat that a peer sent, and returns the one to answer it with.
    pub fn answer_heartbeat(&self, hello: HeartbeatMessage) -> HeartbeatMessage {
        self.take(hello, HeartbeatKind::Request);
        self.own_heartbeat()
    }

    /// What this entry says about itself.
    pub fn own_heartbeat(&self) -> HeartbeatMessage {
        let now = self.clock().now();
        let (config, list) = self.tables.intent.versions();
        let gate = &self.tables.gate;
        let routes = self.tables.routes();
        let capacity = routes.iter().filter_map(|(service, route)| {
            let room = route.pool().capacity(now);
            let held = room.limit > 0;
            held.then(|| Capacity { service: service.clone(), limit: room.limit, free: room.free })
        });
        let beat = Heartbeat {
            incarnation: self.identity.incarnation,
            clock: self.tables.timeline.stamp(self.clock().wall_millis()),
            ready: gate.check_admission(now).is_ok(),
            leaving: gate.is_leaving(),
            config_version: config,
            list_version: list,
            capacity: capacity.collect(),
        };
        HeartbeatMessage { from: self.identity.vm.clone(), heartbeat: beat }
    }

    async fn greet(&self, other: &Other) {
        let asked = self.clock().now();
        let answer =
            self.ports.peer().heartbeat(other.address, &self.own_heartbeat(), TIMEOUT).await;
        if let Some(vm) = &other.vm {
            self.tables.peers.mark_tried(vm);
        }
        let Some(answer) = answer else {
            return;
        };
        self.met(&answer.from, other.address);
        self.take(answer, HeartbeatKind::Response { request_sent_at: asked });
    }

    /// Remembers where a peer answered. The number is bounded, because seeds may name themselves
    /// differently with each answer.
    fn met(&self, vm: &name::Vm, address: SocketAddr) {
        let mut contacts = self.contacts.lock();
        if contacts.len() >= MAX_PEERS && !contacts.contains_key(vm) {
            contacts.clear();
        }
        contacts.insert(vm.clone(), address);
    }

    fn take(&self, hello: HeartbeatMessage, origin: HeartbeatKind) {
        let now = self.clock().now();
        self.tables.timeline.receive(self.clock().wall_millis(), hello.heartbeat.clock);
        self.tables.peers.merge_heartbeat(
            now,
            &hello.from,
            hello.heartbeat,
            origin,
            &self.journal(),
        );
        self.changed.notify_one();
        self.newer.notify_one();
    }

    /// The entries of the VM list; before there is one, the seeds.
    fn others(&self) -> Vec<Other> {
        let Some(intent) = self.tables.intent.snapshot() else {
            return self.seeds.iter().map(|seed| Other { vm: None, address: *seed }).collect();
        };
        let vms = intent.list.vms().iter().filter(|vm| vm.name != self.identity.vm);
        let other = |vm: &Vm| match &vm.role {
            Role::Entry { control, .. } => {
                Some(Other { vm: Some(vm.name.clone()), address: *control })
            }
            Role::Server { .. } => None,
        };
        vms.filter_map(other).collect()
    }
}
