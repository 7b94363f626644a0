//! Heartbeats: what they list, which entries they are sent to, and what received ones change.

use std::net::Ipv4Addr;
use std::time::Duration;

use super::Member;
use super::Peers;
use super::SILENT_AFTER;
use super::table::MemberTable;
use super::table::Peer;
use crate::port::Random;
use crate::time::Instant;

/// Number of peers of its own failure domain that an entry sends each heartbeat to.
const SAME_DOMAIN_FANOUT: usize = 5;

/// Expected number of entries of a failure domain that send a heartbeat to another failure domain
/// in each interval. The receiver spreads it within its own domain, where bytes cost less. The
/// number does not grow with the entries, so neither do the bytes between failure domains.
const OTHER_DOMAIN_SENDERS: usize = 6;

/// Largest number of members in a heartbeat. A member takes about 20 bytes, and a datagram should
/// fit in one packet.
pub const MAX_MEMBERS: usize = 56;

/// Random time that is added to the age of each member before a heartbeat orders them. Without it,
/// all heartbeats of a large system would list the same few members.
const ORDER_JITTER: Duration = Duration::from_millis(2_000);

/// Time that is added to the age of members of other failure domains for
/// [`MemberOrder::OwnDomainFirst`]. Fresh ones are still listed, such as entries that have just
/// started and know no other entry of their own domain.
const OTHER_DOMAIN_PENALTY: Duration = Duration::from_millis(1_000);

/// Number of members in a heartbeat below which its sender gets a reply: it has just started, or
/// the reply to its first heartbeat was lost.
const FEW_MEMBERS: usize = 3;

/// Number of heartbeats of which one is also sent to a seed or a silent peer, by entries that send
/// to another failure domain at that time.
const CONTACT_SILENT_EVERY: u64 = 4;

/// The order in which a heartbeat lists members. Those after the first [`MAX_MEMBERS`] are left
/// out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberOrder {
    /// Roughly by the time of their last heartbeat, the latest first: for entries of the sender's
    /// failure domain and for entries that know few others.
    LatestFirst,
    /// Members of the sender's failure domain first: for another failure domain, which gets few
    /// heartbeats and knows its own members best.
    OwnDomainFirst,
}

/// The entries that a heartbeat is sent to.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Targets {
    /// Entries that are sent a heartbeat with [`MemberOrder::LatestFirst`].
    pub latest_first: Vec<Ipv4Addr>,
    /// Entries that are sent a heartbeat with [`MemberOrder::OwnDomainFirst`].
    pub own_domain_first: Vec<Ipv4Addr>,
}

/// The result of receiving a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct HeartbeatResult {
    /// The sender is new here or knows few others, so it should be sent
    /// [`Peers::heartbeat_members`].
    pub needs_reply: bool,
}

impl Peers {
    /// Counts a heartbeat and selects the entries to send it to, with the members that
    /// [`Peers::heartbeat_members`] lists.
    pub fn next_heartbeat(&self, now: Instant, random: &impl Random) -> Targets {
        let mut table = self.table.lock();
        table.own.heartbeat += 1;
        table.update_liveness(now);
        let mut latest_first = table.random_live(true, SAME_DOMAIN_FANOUT, now, random);
        let to_other_domain =
            random.index(table.same_domain(now).count() + 1) < OTHER_DOMAIN_SENDERS;
        let own_domain_first = match to_other_domain {
            true => table.random_live(false, 1, now, random),
            false => Vec::new(),
        };
        let silent_due =
            to_other_domain && table.own.heartbeat.is_multiple_of(CONTACT_SILENT_EVERY);
        let few_targets = latest_first.len() + own_domain_first.len() < 2;
        if (silent_due || few_targets)
            && let Some(ip) = table.random_silent(now, random)
        {
            latest_first.push(ip);
        }
        Targets { latest_first, own_domain_first }
    }

    /// The members that a heartbeat lists, at most [`MAX_MEMBERS`]: this entry first, then live
    /// peers in the given order.
    pub fn heartbeat_members(
        &self,
        order: MemberOrder,
        now: Instant,
        random: &impl Random,
    ) -> Vec<Member> {
        let table = self.table.lock();
        let max_jitter = u64::try_from(ORDER_JITTER.as_nanos()).unwrap_or(u64::MAX);
        let sort_age = |peer: &Peer| {
            let age = now.since(peer.last_heard) + Duration::from_nanos(random.below(max_jitter));
            let penalized =
                order == MemberOrder::OwnDomainFirst && peer.member.domain != table.own.domain;
            if penalized { age + OTHER_DOMAIN_PENALTY } else { age }
        };
        let mut live: Vec<_> = table
            .peers
            .iter()
            .filter(|peer| now.since(peer.last_heard) < SILENT_AFTER)
            .map(|peer| (sort_age(peer), peer))
            .collect();
        live.sort_by_key(|(age, _)| *age);
        let others = live.into_iter().map(|(_, peer)| peer.member.clone());
        std::iter::once(table.own.clone()).chain(others).take(MAX_MEMBERS).collect()
    }

    /// Merges the heartbeat of the entry at `from`. What it sends of itself counts even with a
    /// lower incarnation than known, because its wall clock may have been set back before its
    /// restart.
    pub fn receive(
        &self,
        from: Ipv4Addr,
        members: impl IntoIterator<Item = Member>,
        now: Instant,
    ) -> HeartbeatResult {
        let mut table = self.table.lock();
        let mut result = HeartbeatResult::default();
        let mut listed = 0;
        for member in members {
            listed += 1;
            let is_sender = member.ip == from;
            let is_new = table.merge(member, from, now);
            result.needs_reply |= is_sender && is_new;
        }
        result.needs_reply |= listed < FEW_MEMBERS && table.live(now).count() >= FEW_MEMBERS;
        result
    }
}

impl MemberTable {
    /// Up to `count` random live peers: of this entry's failure domain if `same_domain`, else of
    /// the others.
    fn random_live(
        &self,
        same_domain: bool,
        count: usize,
        now: Instant,
        random: &impl Random,
    ) -> Vec<Ipv4Addr> {
        let matches = |peer: &&Peer| (peer.member.domain == self.own.domain) == same_domain;
        let mut found: Vec<Ipv4Addr> =
            self.live(now).filter(matches).map(|peer| peer.member.ip).collect();
        let mut targets = Vec::with_capacity(count + 1);
        while targets.len() < count && !found.is_empty() {
            targets.push(found.swap_remove(random.index(found.len())));
        }
        targets
    }

    /// A random one of the silent peers and of the seeds that are not known to be live.
    fn random_silent(&self, now: Instant, random: &impl Random) -> Option<Ipv4Addr> {
        let live = |ip: &Ipv4Addr| self.live(now).any(|peer| peer.member.ip == *ip);
        let known = self.peers.iter().map(|peer| peer.member.ip);
        let all = self.seeds.iter().copied().chain(known);
        let silent: Vec<Ipv4Addr> = all.filter(|ip| *ip != self.own.ip && !live(ip)).collect();
        (!silent.is_empty()).then(|| silent[random.index(silent.len())])
    }
}
