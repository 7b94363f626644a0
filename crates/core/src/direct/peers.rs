//! The live entries, without a list of them.
//!
//! Each entry counts beats. It sends what it knows of its peers to a few of them a few times a
//! second, and whoever sees a peer's count grow has a sign of life. An entry that starts knows only
//! a few seeds, which may be stale; whoever hears of it tells the others.
//!
//! An entry that leaves says so and is out of the answers to callers at once. One whose count stands
//! still is out after [`SILENT_AFTER`], and forgotten after [`FORGET_AFTER`].

use std::net::Ipv4Addr;
use std::time::Duration;

use crate::lock::Mutex;
use crate::lock::Rank;
use crate::name;
use crate::port::Random;
use crate::time::Instant;

/// Time between two beats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Peers of the own failure domain that each beat is sent to.
const NEAR_FANOUT: usize = 5;

/// Entries of a failure domain that in each beat send a message to another one. What its receiver
/// learns spreads there, where bytes cost less. The number does not grow with the entries, so
/// neither do the bytes between failure domains.
const MESSENGERS: usize = 6;

/// Time without a sign of life after which a peer no longer counts as live. Twelve beats, so that a
/// few lost datagrams on the way make no difference.
pub const SILENT_AFTER: Duration = Duration::from_millis(3_600);

/// Time without a sign of life after which a peer is forgotten. Until then it is sent a beat now and
/// then, so that both sides of a healed partition find each other again.
pub const FORGET_AFTER: Duration = Duration::from_secs(120);

/// Rows in one message; a row takes about 20 bytes, and a datagram should fit in one packet.
pub const MAX_MEMBERS: usize = 56;

/// Span by which the order of rows is mixed. Without it, all messages of large fleets would tell of
/// the same few peers.
const MIXED: Duration = Duration::from_millis(2_000);

/// Age by which rows of other failure domains come after those of the own one in a message to
/// another failure domain. Fresh ones still get there, such as those of entries that have just
/// started and know nobody in their own.
const FOREIGN: Duration = Duration::from_millis(1_000);

/// Rows from which on a sender knows enough others. One that tells of fewer has just started, or
/// lost the answer to its first message.
const FEW_ROWS: usize = 3;

/// Peers of a failure domain that pass messages on within it. Each message gets there twice, so that
/// one lost datagram or dead relay makes no difference.
const RELAYS: usize = 2;

/// Beats of which a messenger also sends one to a seed or a silent peer.
const REVIVE_EVERY: u64 = 4;

/// What is told of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Address of its VM; all entries use the same ports.
    pub ip: Ipv4Addr,
    /// Failure domain.
    pub domain: name::Domain,
    /// Tells its processes apart; a later one has a higher number.
    pub incarnation: u64,
    /// Beats of the process.
    pub heartbeat: u64,
    /// Whether it leaves.
    pub leaving: bool,
}

#[derive(Debug)]
struct Peer {
    row: Member,
    heard: Instant,
    /// Whether it has spoken to this entry itself.
    met: bool,
    /// Whether it was live when last looked at, to log changes.
    live: bool,
}

/// Where a message goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberOrder {
    /// To the own failure domain, or to an entry that knows few others.
    LatestFirst,
    /// To another failure domain. Few messages go there, and it knows its own entries best.
    OwnDomainFirst,
}

/// Who is sent a beat.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Targets {
    /// Entries that are sent the rows for [`MemberOrder::LatestFirst`].
    pub latest_first: Vec<Ipv4Addr>,
    /// Entries that are sent the rows for [`MemberOrder::OwnDomainFirst`].
    pub own_domain_first: Vec<Ipv4Addr>,
}

/// What changed when a message was taken in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct HeartbeatResult {
    /// The sender is new here or knows few others, so it should be sent [`Peers::heartbeat_members`].
    pub needs_reply: bool,
}

#[derive(Debug)]
struct Table {
    own: Member,
    peers: Vec<Peer>,
    seeds: Vec<Ipv4Addr>,
    paused_until: Instant,
    /// Whether any peer was ever heard.
    met: bool,
}

/// The table of entries.
#[derive(Debug)]
pub struct Peers {
    table: Mutex<Table>,
}

impl Peers {
    /// Creates a table with the own entry and the seeds.
    pub fn new(own: Member, seeds: Vec<Ipv4Addr>) -> Self {
        let table =
            Table { own, peers: Vec::new(), seeds, paused_until: Instant::default(), met: false };
        Self { table: Mutex::new(Rank::Members, table) }
    }

    /// Replaces the seeds.
    pub fn set_seeds(&self, seeds: Vec<Ipv4Addr>) {
        self.table.lock().seeds = seeds;
    }

    /// The own entry leaves.
    pub fn leave(&self) {
        self.table.lock().own.leaving = true;
    }

    /// Whether the own entry leaves.
    pub fn is_leaving(&self) -> bool {
        self.table.lock().own.leaving
    }

    /// The process stood still. What it missed is no sign that its peers are gone, so none of them
    /// goes silent before there was time to hear from it.
    pub fn note_suspension(&self, now: Instant) {
        self.table.lock().paused_until = now + SILENT_AFTER;
    }

    /// Counts a beat and says to whom to send the result of [`Peers::heartbeat_members`].
    pub fn next_heartbeat(&self, now: Instant, random: &impl Random) -> Targets {
        let mut table = self.table.lock();
        table.own.heartbeat += 1;
        table.update(now);
        let mut near = table.targets(true, NEAR_FANOUT, now, random);
        let messenger = pick(random, table.near(now).count() + 1) < MESSENGERS;
        let far = match messenger {
            true => table.targets(false, 1, now, random),
            false => Vec::new(),
        };
        let due = messenger && table.own.heartbeat.is_multiple_of(REVIVE_EVERY);
        let lonely = near.len() + far.len() < 2;
        if (due || lonely)
            && let Some(ip) = table.silent(now, random)
        {
            near.push(ip);
        }
        Targets { latest_first: near, own_domain_first: far }
    }

    /// The seeds, other than the own entry.
    pub fn seeds(&self) -> Vec<Ipv4Addr> {
        let table = self.table.lock();
        table.seeds.iter().copied().filter(|ip| *ip != table.own.ip).collect()
    }

    /// What to tell a peer: the own row first, then those of the others, roughly the latest signs of
    /// life first. Another failure domain is told mostly of the entries of this one.
    pub fn heartbeat_members(
        &self,
        to: MemberOrder,
        now: Instant,
        random: &impl Random,
    ) -> Vec<Member> {
        let table = self.table.lock();
        let span = u64::try_from(MIXED.as_nanos()).unwrap_or(u64::MAX);
        let key = |peer: &Peer| {
            let age = now.since(peer.heard) + Duration::from_nanos(random.below(span));
            let foreign = to == MemberOrder::OwnDomainFirst && peer.row.domain != table.own.domain;
            if foreign { age + FOREIGN } else { age }
        };
        let mut known: Vec<_> = table
            .peers
            .iter()
            .filter(|peer| now.since(peer.heard) < SILENT_AFTER)
            .map(|peer| (key(peer), peer))
            .collect();
        known.sort_by_key(|(key, _)| *key);
        let others = known.into_iter().map(|(_, peer)| peer.row.clone());
        std::iter::once(table.own.clone()).chain(others).take(MAX_MEMBERS).collect()
    }

    /// Takes in what the entry at `from` tells. Its own row counts even with a lower incarnation
    /// than known, because its wall clock may have been set back before its restart.
    pub fn receive(
        &self,
        from: Ipv4Addr,
        rows: impl IntoIterator<Item = Member>,
        now: Instant,
    ) -> HeartbeatResult {
        let mut table = self.table.lock();
        let mut news = HeartbeatResult::default();
        let mut told = 0;
        for row in rows {
            told += 1;
            let sender = row.ip == from;
            let joined = table.merge(row, from, now);
            news.needs_reply |= sender && joined;
        }
        news.needs_reply |= told < FEW_ROWS && table.live(now).count() >= FEW_ROWS;
        news
    }

    /// The number of live entries, the own one included.
    pub fn live_count(&self, now: Instant) -> usize {
        1 + self.table.lock().live(now).count()
    }

    /// Whether all peers are silent that were heard before.
    pub fn is_isolated(&self, now: Instant) -> bool {
        let table = self.table.lock();
        table.met && table.live(now).next().is_none()
    }

    /// The live entries, the own one included, whether they leave or not.
    pub fn live_entries(&self, now: Instant) -> Vec<Ipv4Addr> {
        let table = self.table.lock();
        std::iter::once(table.own.ip).chain(table.live(now).map(|peer| peer.row.ip)).collect()
    }

    /// The place of the own entry among the live ones for `key`, from 0.
    pub fn rank(&self, key: &str, now: Instant) -> usize {
        self.table.lock().rank(now, |row| super::rendezvous::score(key, row.ip))
    }

    /// The place of the own entry among the live ones for `server`, from 0: those of the server's
    /// failure domain come first, since they ask it most.
    pub fn rank_for_server(&self, server: &str, domain: &str, now: Instant) -> usize {
        let score = |row: &Member| super::rendezvous::score(server, row.ip);
        self.table.lock().rank(now, |row| (row.domain.as_str() == domain, score(row)))
    }

    /// A live peer that has spoken to this entry itself, if possible one of the own failure domain. To
    /// an entry that has just started, others may still tell of peers that have died.
    pub fn contacted_peer(&self, now: Instant) -> Option<Ipv4Addr> {
        let table = self.table.lock();
        let near = table.near(now).find(|peer| peer.met);
        near.or_else(|| table.live(now).find(|peer| peer.met)).map(|peer| peer.row.ip)
    }

    /// The live peers of the own failure domain.
    pub fn same_domain(&self, now: Instant) -> Vec<Ipv4Addr> {
        let table = self.table.lock();
        table.near(now).map(|peer| peer.row.ip).collect()
    }

    /// The first live peers for `key` of each other failure domain, which pass messages on to the
    /// others there: bytes between failure domains cost, and the sender's link may be small.
    pub fn relays(&self, key: &str, now: Instant) -> Vec<Ipv4Addr> {
        let table = self.table.lock();
        let mut far: Vec<&Member> = table
            .live(now)
            .map(|peer| &peer.row)
            .filter(|row| row.domain != table.own.domain && !row.leaving)
            .collect();
        far.sort_by_key(|row| std::cmp::Reverse(super::rendezvous::score(key, row.ip)));
        let mut relays: Vec<&Member> = Vec::new();
        for row in far {
            let taken = relays.iter().filter(|relay| relay.domain == row.domain).count();
            if taken < RELAYS {
                relays.push(row);
            }
        }
        relays.into_iter().map(|row| row.ip).collect()
    }

    /// The entries that callers in `domain` may use: those of the same failure domain if there are
    /// at least `enough`, else all.
    pub fn entries_for_callers(&self, domain: &str, enough: usize, now: Instant) -> Vec<Ipv4Addr> {
        let table = self.table.lock();
        let own = std::iter::once(&table.own);
        let rows = own.chain(table.live(now).map(|peer| &peer.row)).filter(|row| !row.leaving);
        let rows: Vec<&Member> = rows.collect();
        let near = || rows.iter().filter(|row| row.domain.as_str() == domain);
        if near().count() >= enough {
            return near().map(|row| row.ip).collect();
        }
        rows.iter().map(|row| row.ip).collect()
    }
}

impl Table {
    fn live(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        let paused = now < self.paused_until;
        self.peers.iter().filter(move |peer| paused || now.since(peer.heard) < SILENT_AFTER)
    }

    /// How many live peers that stay come before the own entry; the highest key comes first.
    fn rank<K: Ord>(&self, now: Instant, key: impl Fn(&Member) -> K) -> usize {
        let own = key(&self.own);
        let peers = self.live(now).filter(|peer| !peer.row.leaving);
        peers.filter(|peer| key(&peer.row) > own).count()
    }

    /// The live peers of the own failure domain.
    fn near(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.live(now).filter(|peer| peer.row.domain == self.own.domain)
    }

    /// Notes which peers went silent or were heard again, and forgets those long gone.
    fn update(&mut self, now: Instant) {
        let paused = now < self.paused_until;
        for peer in &mut self.peers {
            let live = paused || now.since(peer.heard) < SILENT_AFTER;
            if live != peer.live {
                let what = if live { "heard again" } else { "silent" };
                let age = now.since(peer.heard).as_millis();
                log::info!("event=peer peer={} state={what:?} last_heard_ms={age}", peer.row.ip);
            }
            peer.live = live;
        }
        self.peers.retain(|peer| now.since(peer.heard) < FORGET_AFTER);
    }

    /// Up to `count` live peers that are in the own failure domain, or that are not.
    fn targets(
        &self,
        near: bool,
        count: usize,
        now: Instant,
        random: &impl Random,
    ) -> Vec<Ipv4Addr> {
        let wanted = |peer: &&Peer| (peer.row.domain == self.own.domain) == near;
        let mut found: Vec<Ipv4Addr> =
            self.live(now).filter(wanted).map(|peer| peer.row.ip).collect();
        let mut targets = Vec::with_capacity(count + 1);
        while targets.len() < count && !found.is_empty() {
            targets.push(found.swap_remove(pick(random, found.len())));
        }
        targets
    }

    /// A seed that is not known to live, or a silent peer.
    fn silent(&self, now: Instant, random: &impl Random) -> Option<Ipv4Addr> {
        let live = |ip: &Ipv4Addr| self.live(now).any(|peer| peer.row.ip == *ip);
        let known = self.peers.iter().map(|peer| peer.row.ip);
        let all = self.seeds.iter().copied().chain(known);
        let silent: Vec<Ipv4Addr> = all.filter(|ip| *ip != self.own.ip && !live(ip)).collect();
        (!silent.is_empty()).then(|| silent[pick(random, silent.len())])
    }

    fn merge(&mut self, row: Member, from: Ipv4Addr, now: Instant) -> bool {
        if row.ip == self.own.ip {
            // Peers still know the previous process of this VM: the number must be above its own.
            if row.incarnation > self.own.incarnation {
                self.own.incarnation = row.incarnation + 1;
            }
            return false;
        }
        self.met = true;
        let direct = row.ip == from;
        let Some(peer) = self.peers.iter_mut().find(|peer| peer.row.ip == row.ip) else {
            log::info!("event=peer peer={} state=\"joined\" domain={}", row.ip, row.domain);
            self.peers.push(Peer { row, heard: now, met: direct, live: true });
            return true;
        };
        let (old, new) = (&peer.row, (row.incarnation, row.heartbeat));
        let restarted = row.incarnation != old.incarnation;
        let newer = new > (old.incarnation, old.heartbeat) || (direct && restarted);
        if !newer {
            return false;
        }
        peer.row = row;
        peer.heard = now;
        peer.met |= direct;
        restarted
    }
}

fn pick(random: &impl Random, len: usize) -> usize {
    let bound = u64::try_from(len).unwrap_or(u64::MAX);
    usize::try_from(random.below(bound)).unwrap_or(0)
}
