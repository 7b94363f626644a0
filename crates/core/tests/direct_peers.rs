//! The live entries.
#![allow(clippy::unwrap_used)]

mod direct_support;

use std::net::Ipv4Addr;

use rstest::rstest;

use crate::direct_support::Seeded;
use crate::direct_support::at;
use crate::direct_support::ms;
use crate::direct_support::row;
use jackdawpin_core::direct::cold;
use jackdawpin_core::direct::peers::HEARTBEAT_INTERVAL;
use jackdawpin_core::direct::peers::Member;
use jackdawpin_core::direct::peers::MemberOrder;
use jackdawpin_core::direct::peers::Peers;
use jackdawpin_core::direct::peers::SILENT_AFTER;
use jackdawpin_core::port::Random;
use jackdawpin_core::time::Instant;

fn ip(number: u8) -> Ipv4Addr {
    row(number, "a").ip
}

/// Entries that exchange messages in memory, of which some get lost.
struct Mesh {
    entries: Vec<Option<Peers>>,
    now: Instant,
    random: Seeded,
    loss_percent: u64,
    /// Whether the entries of the lower and the upper half reach each other.
    cut: bool,
    domains: u8,
    /// Messages sent between failure domains.
    far: u32,
}

impl Mesh {
    /// `count` entries that know only the first one, which may be down.
    fn new(count: u8, seed: u64, loss_percent: u64) -> Self {
        Self::over(2, count, seed, loss_percent)
    }

    fn over(domains: u8, count: u8, seed: u64, loss_percent: u64) -> Self {
        let domain = |number: u8| ["a", "b", "c", "d", "e"][usize::from(number % domains)];
        let entry = |number| Some(Peers::new(row(number, domain(number)), vec![ip(0), ip(1)]));
        Self {
            entries: (0..count).map(entry).collect(),
            now: at(10_000),
            random: Seeded::new(seed),
            loss_percent,
            cut: false,
            domains,
            far: 0,
        }
    }

    fn reach(&self, from: usize, to: usize) -> bool {
        let half = self.entries.len() / 2;
        !(self.cut && (from < half) != (to < half)) && self.random.below(100) >= self.loss_percent
    }

    fn run(&mut self, millis: u64) {
        let end = self.now + ms(millis);
        while self.now < end {
            self.now = self.now + HEARTBEAT_INTERVAL;
            for from in 0..self.entries.len() {
                let Some(sender) = &self.entries[from] else { continue };
                let targets = sender.next_heartbeat(self.now, &self.random);
                let near =
                    sender.heartbeat_members(MemberOrder::LatestFirst, self.now, &self.random);
                let far =
                    sender.heartbeat_members(MemberOrder::OwnDomainFirst, self.now, &self.random);
                let near = targets.latest_first.iter().map(|target| (*target, &near));
                let far = targets.own_domain_first.iter().map(|target| (*target, &far));
                for (target, rows) in near.chain(far) {
                    let to = usize::from(target.octets()[3]);
                    let domains = usize::from(self.domains);
                    self.far += u32::from(from % domains != to % domains);
                    let Some(receiver) = &self.entries[to] else { continue };
                    if !self.reach(from, to) {
                        continue;
                    }
                    let source = ip(u8::try_from(from).unwrap());
                    let news = receiver.receive(source, rows.clone(), self.now);
                    if news.needs_reply && self.reach(to, from) {
                        sender.receive(
                            target,
                            receiver.heartbeat_members(
                                MemberOrder::LatestFirst,
                                self.now,
                                &self.random,
                            ),
                            self.now,
                        );
                    }
                }
            }
        }
    }

    fn counts(&self) -> Vec<usize> {
        self.entries.iter().flatten().map(|entry| entry.live_count(self.now)).collect()
    }
}

/// Guards against entries that do not find each other: through seeds of which one is down, with
/// loss, at several sizes.
#[rstest]
#[case(4, 0)]
#[case(19, 5)]
#[case(137, 5)]
fn find_each_other(#[case] count: u8, #[case] loss: u64) {
    for seed in 0..5 {
        let mut mesh = Mesh::new(count, seed, loss);
        mesh.entries[0] = None;
        mesh.run(5_000);
        assert_eq!(mesh.counts(), vec![usize::from(count) - 1; usize::from(count) - 1]);
        for _ in 0..10 {
            mesh.run(1_000);
            let least = mesh.counts().into_iter().min().unwrap();
            assert_eq!(least, usize::from(count) - 1, "seed {seed}: a live entry was given up");
        }
    }
}

/// Guards against views that lose so many live entries of a large fleet that the shares of limits,
/// which leave a margin of 30%, add up to more than the limit.
#[test]
fn large_fleet() {
    let mut mesh = Mesh::new(250, 1, 5);
    mesh.run(5_000);
    for _ in 0..10 {
        mesh.run(1_000);
        let least = mesh.counts().into_iter().min().unwrap();
        assert!(least >= 225, "{least} of 250");
    }
}

/// Guards against bytes between failure domains that grow with the entries: there each message has
/// its price, and the entries of a failure domain learn the same from one as from many.
#[test]
fn few_messages_between_domains() {
    let mut sent = Vec::new();
    for count in [40, 250] {
        let mut mesh = Mesh::over(5, count, 1, 5);
        mesh.run(5_000);
        mesh.far = 0;
        for _ in 0..10 {
            mesh.run(1_000);
            let least = mesh.counts().into_iter().min().unwrap();
            assert!(least >= usize::from(count) * 9 / 10, "{least} of {count}");
        }
        sent.push(mesh.far);
    }
    assert!(sent[1] <= sent[0] * 3 / 2, "{sent:?} messages for 40 and 250 entries");
}

/// Guards against a dead entry that callers are still sent to 6 s later, and against one that left
/// and is still named.
#[test]
fn dead_and_leaving() {
    let mut mesh = Mesh::new(16, 1, 3);
    mesh.run(5_000);
    mesh.entries[5] = None;
    mesh.entries[6].as_ref().unwrap().leave();
    mesh.run(900);
    let rows = mesh.entries[6].as_ref().unwrap().heartbeat_members(
        MemberOrder::LatestFirst,
        mesh.now,
        &mesh.random,
    );
    for entry in mesh.entries.iter().flatten() {
        entry.receive(ip(6), rows.clone(), mesh.now);
        let offered = entry.entries_for_callers("a", 100, mesh.now);
        assert!(!offered.contains(&ip(6)), "a leaving entry is named");
    }
    mesh.run(4_800);
    for entry in mesh.entries.iter().flatten() {
        assert!(
            !entry.entries_for_callers("b", 2, mesh.now).contains(&ip(5)),
            "a dead entry is named"
        );
    }
}

/// Guards against the two sides of a healed partition that never find each other again.
#[test]
fn healed_partition() {
    let mut mesh = Mesh::new(16, 2, 0);
    mesh.run(3_000);
    mesh.cut = true;
    mesh.run(15_000);
    assert_eq!(mesh.counts(), vec![8; 16]);
    mesh.cut = false;
    mesh.run(8_000);
    assert_eq!(mesh.counts(), vec![16; 16]);
}

/// Guards against a restarted entry whose wall clock was set back: its new process has a lower
/// number than the one that the peers know.
#[test]
fn restart_with_clock_set_back() {
    let mut mesh = Mesh::new(8, 3, 0);
    mesh.run(3_000);
    let before = Member { incarnation: 0, ..row(4, "a") };
    mesh.entries[4] = Some(Peers::new(before, vec![ip(0), ip(1)]));
    mesh.run(10_000);
    assert_eq!(mesh.counts(), vec![8; 8]);
    for _ in 0..20 {
        mesh.run(500);
        assert_eq!(mesh.counts(), vec![8; 8]);
    }
}

/// Guards against an entry that stood still and takes all its peers for dead.
#[test]
fn stood_still() {
    let entry = Peers::new(row(1, "a"), Vec::new());
    entry.receive(ip(2), [row(2, "a")], at(1_000));
    let later = at(1_000) + SILENT_AFTER * 2;
    assert_eq!(entry.live_count(later), 1);
    entry.note_suspension(later);
    assert_eq!(entry.live_count(later), 2);
    assert_eq!(entry.live_count(later + SILENT_AFTER), 1);
}

/// Guards against callers that are sent across failure domains without need, or to a single entry of
/// their own, whose failure they could not get around.
#[rstest]
#[case("a", &[1, 3])]
#[case("b", &[1, 2, 3])]
#[case("c", &[1, 2, 3])]
fn offered(#[case] domain: &str, #[case] expected: &[u8]) {
    let entry = Peers::new(row(1, "a"), Vec::new());
    entry.receive(ip(2), [row(2, "b")], at(1_000));
    entry.receive(ip(3), [row(3, "a")], at(1_000));
    let mut offered = entry.entries_for_callers(domain, 2, at(1_100));
    offered.sort();
    assert_eq!(offered, expected.iter().map(|number| ip(*number)).collect::<Vec<_>>());
}

/// Guards against a second-hand row that hides what an entry itself has said.
#[test]
fn old_rows() {
    let entry = Peers::new(row(1, "a"), Vec::new());
    let leaving = Member { heartbeat: 9, leaving: true, ..row(2, "a") };
    entry.receive(ip(2), [leaving], at(1_000));
    entry.receive(ip(3), [Member { heartbeat: 8, ..row(2, "a") }, row(3, "a")], at(1_010));
    assert!(!entry.entries_for_callers("a", 9, at(1_020)).contains(&ip(2)));
}

/// Guards against a failure domain that news reach through a single entry, or that gets them once
/// for each of its entries.
#[test]
fn relays() {
    let entry = Peers::new(row(1, "a"), Vec::new());
    for (number, domain) in [(2, "a"), (3, "b"), (4, "b"), (5, "b"), (6, "c")] {
        entry.receive(ip(number), [row(number, domain)], at(1_000));
    }
    entry.receive(ip(7), [Member { leaving: true, ..row(7, "c") }], at(1_000));
    assert_eq!(entry.same_domain(at(1_100)), [ip(2)]);
    let relays = entry.relays("key", at(1_100));
    assert_eq!(relays.len(), 3, "{relays:?}");
    assert!(relays.contains(&ip(6)) && !relays.contains(&ip(7)));
}

/// Guards against cold servers that get nothing because their owners are in other failure domains and
/// hardly ever ask them. Seen on the grown sites: 30 to 50% of the servers that joined got no request.
#[test]
fn owners_are_near_the_server() {
    let mut owners = 0;
    for own in 1..=24 {
        let domain_of = |number: u8| ["a", "b", "c", "d"][usize::from(number % 4)];
        let entry = Peers::new(row(own, domain_of(own)), Vec::new());
        for number in (1..=24).filter(|number| *number != own) {
            let peer = row(number, domain_of(number));
            entry.receive(peer.ip, [peer], at(1_000));
        }
        if entry.rank_for_server("s1", "b", at(1_000)) < cold::OWNER_COUNT {
            owners += 1;
            assert_eq!(domain_of(own), "b", "entry {own} is far from the server");
        }
    }
    assert_eq!(owners, cold::OWNER_COUNT);
}

/// Guards against a cold server without owners where its failure domain has no entries.
#[test]
fn owners_elsewhere_if_none_is_near() {
    let entry = Peers::new(row(1, "a"), Vec::new());
    entry.receive(ip(2), [row(2, "b")], at(1_000));
    assert!(entry.rank_for_server("s1", "z", at(1_000)) < cold::OWNER_COUNT);
}

/// Guards against an entry that starts and asks a dead peer for the items, because another one still
/// tells of it: after a kill of many entries most rows are of dead ones.
#[test]
fn only_peers_that_spoke_are_met() {
    let entry = Peers::new(row(1, "a"), Vec::new());
    assert_eq!(entry.contacted_peer(at(1_000)), None);
    entry.receive(ip(2), [row(2, "b"), row(3, "a"), row(4, "a")], at(1_000));
    assert_eq!(entry.contacted_peer(at(1_000)), Some(ip(2)), "the others are known by hearsay");
    entry.receive(ip(3), [Member { heartbeat: 1, ..row(3, "a") }], at(1_010));
    assert_eq!(entry.contacted_peer(at(1_010)), Some(ip(3)), "it is near");
}
