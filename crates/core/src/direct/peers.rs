//! Gossip membership: which entries are live.
//!
//! Each entry counts its heartbeats. A few times a second it sends the heartbeat counts that it
//! knows to a few peers, and a count that has grown shows the receiver that the peer is live. An
//! entry that starts knows only a few seeds, which may be stale; gossip makes it known to the
//! others.
//!
//! An entry that leaves sends that in its heartbeats, and callers stop getting its address at once.
//! One whose count does not grow becomes silent after [`SILENT_AFTER`] and is removed after
//! [`FORGET_AFTER`].

use std::net::Ipv4Addr;
use std::time::Duration;

use crate::direct::spread::Group;
use crate::lock::Mutex;
use crate::lock::Rank;
use crate::name;
use crate::port::Random;
use crate::time::Instant;

/// Time between two heartbeats of an entry.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Number of peers of the own failure domain that each heartbeat is sent to.
const SAME_DOMAIN_FANOUT: usize = 5;

/// Expected number of entries of a failure domain that send a heartbeat to another failure domain
/// in each interval. The receiver spreads it within its own domain, where bytes cost less. The
/// number does not grow with the entries, so neither do the bytes between failure domains.
const OTHER_DOMAIN_SENDERS: usize = 6;

/// Time since the last heartbeat after which a peer is silent. It is twelve heartbeat intervals, so
/// that a few lost datagrams make no difference.
pub const SILENT_AFTER: Duration = Duration::from_millis(3_600);

/// Time since the last heartbeat after which a peer is removed. Until then it is sent a heartbeat
/// from time to time, so that both sides of a healed partition find each other again.
pub const FORGET_AFTER: Duration = Duration::from_secs(120);

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

/// An entry, as heartbeats list it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Address of the entry's VM; all entries use the same ports.
    pub ip: Ipv4Addr,
    /// Failure domain.
    pub domain: name::Domain,
    /// Identifies a process of the entry; a later process has a higher number.
    pub incarnation: u64,
    /// Number of heartbeats that the process has sent.
    pub heartbeat: u64,
    /// Whether the entry is leaving.
    pub leaving: bool,
}

#[derive(Debug)]
struct Peer {
    member: Member,
    last_heard: Instant,
    /// Whether a heartbeat came from the peer itself, rather than through others.
    contacted: bool,
    /// Whether the peer was live at the last check; changes are logged.
    was_live: bool,
}

/// The order in which a heartbeat lists members. Those after the first [`MAX_MEMBERS`] are left
/// out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberOrder {
    /// Roughly by the time of their last heartbeat, the latest first: for entries of the own
    /// failure domain and for entries that know few others.
    LatestFirst,
    /// Members of the own failure domain first: for another failure domain, which gets few
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

#[derive(Debug)]
struct MemberTable {
    own: Member,
    peers: Vec<Peer>,
    seeds: Vec<Ipv4Addr>,
    /// Until when all peers count as live, because this process was suspended.
    assumed_live_until: Instant,
    /// Whether this entry ever had a peer.
    had_peers: bool,
}

/// The table of entries.
#[derive(Debug)]
pub struct Peers {
    table: Mutex<MemberTable>,
}

impl Peers {
    /// Creates a table with the own entry and the addresses of seeds.
    pub fn new(own: Member, seeds: Vec<Ipv4Addr>) -> Self {
        let table = MemberTable {
            own,
            peers: Vec::new(),
            seeds,
            assumed_live_until: Instant::default(),
            had_peers: false,
        };
        Self { table: Mutex::new(Rank::Members, table) }
    }

    /// Replaces the seeds.
    pub fn set_seeds(&self, seeds: Vec<Ipv4Addr>) {
        self.table.lock().seeds = seeds;
    }

    /// Marks the own entry as leaving in further heartbeats.
    pub fn leave(&self) {
        self.table.lock().own.leaving = true;
    }

    /// Whether the own entry is leaving.
    pub fn is_leaving(&self) -> bool {
        self.table.lock().own.leaving
    }

    /// Records that this process was suspended. Heartbeats that it missed meanwhile do not show
    /// that its peers have ended, so all peers count as live until there was time to receive
    /// further ones.
    pub fn note_suspension(&self, now: Instant) {
        self.table.lock().assumed_live_until = now + SILENT_AFTER;
    }

    /// Counts a heartbeat and selects the entries to send it to, with the members that
    /// [`Peers::heartbeat_members`] lists.
    pub fn next_heartbeat(&self, now: Instant, random: &impl Random) -> Targets {
        let mut table = self.table.lock();
        table.own.heartbeat += 1;
        table.update_liveness(now);
        let mut latest_first = table.random_live(true, SAME_DOMAIN_FANOUT, now, random);
        let to_other_domain =
            random_index(random, table.same_domain(now).count() + 1) < OTHER_DOMAIN_SENDERS;
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

    /// The addresses of the seeds, without the own entry.
    pub fn seeds(&self) -> Vec<Ipv4Addr> {
        let table = self.table.lock();
        table.seeds.iter().copied().filter(|ip| *ip != table.own.ip).collect()
    }

    /// The members that a heartbeat lists, at most [`MAX_MEMBERS`]: the own entry first, then live
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

    /// The number of live entries, the own one included.
    pub fn live_count(&self, now: Instant) -> usize {
        1 + self.table.lock().live(now).count()
    }

    /// Whether this entry had peers and all of them are silent now.
    pub fn is_isolated(&self, now: Instant) -> bool {
        let table = self.table.lock();
        table.had_peers && table.live(now).next().is_none()
    }

    /// The live entries, the own one included, whether they are leaving or not.
    pub fn live_entries(&self, now: Instant) -> Vec<Ipv4Addr> {
        let table = self.table.lock();
        std::iter::once(table.own.ip).chain(table.live(now).map(|peer| peer.member.ip)).collect()
    }

    /// The rank of the own entry among the live ones for `key`, from 0.
    pub fn rank(&self, key: &str, now: Instant) -> usize {
        self.table.lock().rank(now, |member| super::rendezvous::score(key, member.ip))
    }

    /// The rank of the own entry among the live ones for `server`, from 0. Entries of the server's
    /// failure domain come first, since they probe it most.
    pub fn rank_for_server(&self, server: &str, domain: &str, now: Instant) -> usize {
        let score = |member: &Member| super::rendezvous::score(server, member.ip);
        self.table.lock().rank(now, |member| (member.domain.as_str() == domain, score(member)))
    }

    /// A random live peer whose heartbeat came from itself, if possible one of the own failure
    /// domain. An entry that has just started may still receive, from others, members that have
    /// ended.
    pub fn contacted_peer(&self, now: Instant, random: &impl Random) -> Option<Ipv4Addr> {
        let table = self.table.lock();
        let contacted = table.live(now).filter(|peer| peer.contacted);
        let (same_domain, others): (Vec<&Peer>, Vec<&Peer>) =
            contacted.partition(|peer| peer.member.domain == table.own.domain);
        let candidates = if same_domain.is_empty() { others } else { same_domain };
        let index = random_index(random, candidates.len());
        candidates.get(index).map(|peer| peer.member.ip)
    }

    /// The live peers by failure domain.
    pub fn groups(&self, now: Instant) -> Vec<Group> {
        let table = self.table.lock();
        let mut domains: Vec<(&name::Domain, Group)> = Vec::new();
        for member in table.live(now).map(|peer| &peer.member) {
            let index = domains.iter().position(|(domain, _)| **domain == member.domain);
            let index = index.unwrap_or_else(|| {
                let same_domain = member.domain == table.own.domain;
                let group = Group { same_domain, staying: Vec::new(), leaving: Vec::new() };
                domains.push((&member.domain, group));
                domains.len() - 1
            });
            let group = &mut domains[index].1;
            let list = if member.leaving { &mut group.leaving } else { &mut group.staying };
            list.push(member.ip);
        }
        domains.into_iter().map(|(_, group)| group).collect()
    }

    /// The live entries that callers in `domain` may use, without those that are leaving: the
    /// entries of that failure domain if there are at least `min_count`, else all.
    pub fn entries_for_callers(
        &self,
        domain: &str,
        min_count: usize,
        now: Instant,
    ) -> Vec<Ipv4Addr> {
        let table = self.table.lock();
        let own = std::iter::once(&table.own);
        let members =
            own.chain(table.live(now).map(|peer| &peer.member)).filter(|member| !member.leaving);
        let members: Vec<&Member> = members.collect();
        let same_domain = || members.iter().filter(|member| member.domain.as_str() == domain);
        if same_domain().count() >= min_count {
            return same_domain().map(|member| member.ip).collect();
        }
        members.iter().map(|member| member.ip).collect()
    }
}

impl MemberTable {
    fn live(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        let assumed_live = now < self.assumed_live_until;
        self.peers
            .iter()
            .filter(move |peer| assumed_live || now.since(peer.last_heard) < SILENT_AFTER)
    }

    /// How many live peers that are not leaving come before the own entry; the highest key comes
    /// first.
    fn rank<K: Ord>(&self, now: Instant, key: impl Fn(&Member) -> K) -> usize {
        let own = key(&self.own);
        let peers = self.live(now).filter(|peer| !peer.member.leaving);
        peers.filter(|peer| key(&peer.member) > own).count()
    }

    /// The live peers of the own failure domain.
    fn same_domain(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.live(now).filter(|peer| peer.member.domain == self.own.domain)
    }

    /// Logs which peers became silent or live again, and removes those that have been silent for
    /// long.
    fn update_liveness(&mut self, now: Instant) {
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

    /// Up to `count` random live peers: of the own failure domain if `same_domain`, else of the
    /// others.
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
            targets.push(found.swap_remove(random_index(random, found.len())));
        }
        targets
    }

    /// A random one of the silent peers and of the seeds that are not known to be live.
    fn random_silent(&self, now: Instant, random: &impl Random) -> Option<Ipv4Addr> {
        let live = |ip: &Ipv4Addr| self.live(now).any(|peer| peer.member.ip == *ip);
        let known = self.peers.iter().map(|peer| peer.member.ip);
        let all = self.seeds.iter().copied().chain(known);
        let silent: Vec<Ipv4Addr> = all.filter(|ip| *ip != self.own.ip && !live(ip)).collect();
        (!silent.is_empty()).then(|| silent[random_index(random, silent.len())])
    }

    /// Merges what the entry at `from` sends of `member`. Returns whether that is a peer, or a
    /// process of one, that was not known.
    fn merge(&mut self, member: Member, from: Ipv4Addr, now: Instant) -> bool {
        if member.ip == self.own.ip {
            // Peers still list the previous process of this VM: the own number must be higher.
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

fn random_index(random: &impl Random, len: usize) -> usize {
    let bound = u64::try_from(len).unwrap_or(u64::MAX);
    usize::try_from(random.below(bound)).unwrap_or(0)
}
