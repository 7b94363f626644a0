//! The state behind [`Peers`](super::Peers): this entry and its peers.

use std::net::Ipv4Addr;

use super::FORGET_AFTER;
use super::Member;
use super::SILENT_AFTER;
use crate::time::Instant;

#[derive(Debug)]
pub(super) struct Peer {
    pub(super) member: Member,
    pub(super) last_heard: Instant,
    /// Whether a heartbeat came from the peer itself, rather than through others.
    pub(super) contacted: bool,
    /// Whether the peer was live at the last check; changes are logged.
    was_live: bool,
}

#[derive(Debug)]
pub(super) struct MemberTable {
    pub(super) own: Member,
    pub(super) peers: Vec<Peer>,
    pub(super) seeds: Vec<Ipv4Addr>,
    /// Until when all peers count as live, because this process was suspended.
    pub(super) assumed_live_until: Instant,
    /// Whether this entry ever had a peer.
    pub(super) had_peers: bool,
}

impl MemberTable {
    pub(super) fn live(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        let assumed_live = now < self.assumed_live_until;
        self.peers
            .iter()
            .filter(move |peer| assumed_live || now.since(peer.last_heard) < SILENT_AFTER)
    }

    /// The live peers of this entry's failure domain.
    pub(super) fn same_domain(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.live(now).filter(|peer| peer.member.domain == self.own.domain)
    }

    /// Logs which peers became silent or live again, and removes those that have been silent for
    /// long.
    pub(super) fn update_liveness(&mut self, now: Instant) {
        let assumed_live = now < self.assumed_live_until;
        for peer in &mut self.peers {
            let live = assumed_live || now.since(peer.last_heard) < SILENT_AFTER;
            if live != peer.was_live {
                let state = if live { "heard again" } else { "silent" };
                let age = now.since(peer.last_heard).as_millis();
                log::info!(
                    "event=peer peer={} state={state:?} last_heard_ms={age}",
                    peer.member.ip
                );
            }
            peer.was_live = live;
        }
        self.peers.retain(|peer| now.since(peer.last_heard) < FORGET_AFTER);
    }

    /// Merges what the entry at `from` sends of `member`. Returns whether that is a peer, or a
    /// process of one, that was not known.
    pub(super) fn merge(&mut self, member: Member, from: Ipv4Addr, now: Instant) -> bool {
        if member.ip == self.own.ip {
            // Peers still list the previous process of this VM: this process's number must be
            // higher.
            if member.incarnation > self.own.incarnation {
                self.own.incarnation = member.incarnation + 1;
            }
            return false;
        }
        self.had_peers = true;
        let direct = member.ip == from;
        let Some(peer) = self.peers.iter_mut().find(|peer| peer.member.ip == member.ip) else {
            log::info!("event=peer peer={} state=\"joined\" domain={}", member.ip, member.domain);
            self.peers.push(Peer { member, last_heard: now, contacted: direct, was_live: true });
            return true;
        };
        let (known, received) = (&peer.member, (member.incarnation, member.heartbeat));
        let restarted = member.incarnation != known.incarnation;
        let newer = received > (known.incarnation, known.heartbeat) || (direct && restarted);
        if !newer {
            return false;
        }
        peer.member = member;
        peer.last_heard = now;
        peer.contacted |= direct;
        restarted
    }
}
