//! Gossip membership.
#![allow(clippy::unwrap_used)]

mod direct_support;

use std::net::Ipv4Addr;

use rstest::rstest;

use crate::direct_support::SeededRandom;
use crate::direct_support::at;
use crate::direct_support::member;
use crate::direct_support::ms;
use jackdawpin_core::direct::cold;
use jackdawpin_core::direct::peers::HEARTBEAT_INTERVAL;
use jackdawpin_core::direct::peers::Member;
use jackdawpin_core::direct::peers::MemberOrder;
use jackdawpin_core::direct::peers::Peers;
use jackdawpin_core::direct::peers::SILENT_AFTER;
use jackdawpin_core::port::Random;
use jackdawpin_core::time::Instant;

fn ip(number: u8) -> Ipv4Addr {
    member(number, "a").ip
}

/// Entries that exchange heartbeats in memory, of which some are lost.
struct Network {
    entries: Vec<Option<Peers>>,
    now: Instant,
    random: SeededRandom,
    loss_percent: u64,
    /// Whether the lower and the upper half of the entries cannot reach each other.
    partitioned: bool,
    domains: u8,
    /// Heartbeats sent between failure domains, without replies.
    messages_between_domains: u32,
}

impl Network {
    /// `count` entries in two failure domains. The first two entries are the seeds.
    fn new(count: u8, seed: u64, loss_percent: u64) -> Self {
        Self::with_domains(2, count, seed, loss_percent)
    }

    /// `count` entries in `domains` failure domains. The first two entries are the seeds.
    fn with_domains(domains: u8, count: u8, seed: u64, loss_percent: u64) -> Self {
        let domain = |number: u8| ["a", "b", "c", "d", "e"][usize::from(number % domains)];
        let entry = |number| Some(Peers::new(member(number, domain(number)), vec![ip(0), ip(1)]));
        Self {
            entries: (0..count).map(entry).collect(),
            now: at(10_000),
            random: SeededRandom::new(seed),
            loss_percent,
            partitioned: false,
            domains,
            messages_between_domains: 0,
        }
    }

    /// Whether a message between the two entries arrives.
    fn delivers(&self, from: usize, to: usize) -> bool {
        let half = self.entries.len() / 2;
        !(self.partitioned && (from < half) != (to < half))
            && self.random.below(100) >= self.loss_percent
    }

    /// Runs all entries for `millis` milliseconds.
    fn run(&mut self, millis: u64) {
        let end = self.now + ms(millis);
        while self.now < end {
            self.now = self.now + HEARTBEAT_INTERVAL;
            for from in 0..self.entries.len() {
                let Some(sender) = &self.entries[from] else { continue };
                let targets = sender.next_heartbeat(self.now, &self.random);
                let latest_first =
                    sender.heartbeat_members(MemberOrder::LatestFirst, self.now, &self.random);
                let own_domain_first =
                    sender.heartbeat_members(MemberOrder::OwnDomainFirst, self.now, &self.random);
                let latest_first =
                    targets.latest_first.iter().map(|target| (*target, &latest_first));
                let own_domain_first =
                    targets.own_domain_first.iter().map(|target| (*target, &own_domain_first));
                for (target, members) in latest_first.chain(own_domain_first) {
                    let to = usize::from(target.octets()[3]);
                    let domains = usize::from(self.domains);
                    self.messages_between_domains += u32::from(from % domains != to % domains);
                    let Some(receiver) = &self.entries[to] else { continue };
                    if !self.delivers(from, to) {
                        continue;
                    }
                    let source = ip(u8::try_from(from).unwrap());
                    let result = receiver.receive(source, members.clone(), self.now);
                    if result.needs_reply && self.delivers(to, from) {
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

    /// The number of live entries in the view of each entry.
    fn counts(&self) -> Vec<usize> {
        self.entries.iter().flatten().map(|entry| entry.live_count(self.now)).collect()
    }
}

/// Guards against entries that do not find each other when one of the seeds is down and messages
/// are lost, at several sizes.
#[rstest]
#[case(4, 0)]
#[case(19, 5)]
#[case(137, 5)]
fn entries_find_each_other(#[case] count: u8, #[case] loss: u64) {
    for seed in 0..5 {
        let mut network = Network::new(count, seed, loss);
        network.entries[0] = None;
        network.run(5_000);
        assert_eq!(network.counts(), vec![usize::from(count) - 1; usize::from(count) - 1]);
        for _ in 0..10 {
            network.run(1_000);
            let lowest = network.counts().into_iter().min().unwrap();
            assert_eq!(
                lowest,
                usize::from(count) - 1,
                "seed {seed}: a live entry counts as silent"
            );
        }
    }
}

/// Guards against views of a large system that miss so many live entries that the shares of a
/// limit, which leave a margin of 30%, add up to more than the limit.
#[test]
fn views_of_many_entries() {
    let mut network = Network::new(250, 1, 5);
    network.run(5_000);
    for _ in 0..10 {
        network.run(1_000);
        let lowest = network.counts().into_iter().min().unwrap();
        assert!(lowest >= 225, "{lowest} of 250");
    }
}

/// Guards against bytes between failure domains that grow with the number of entries. Each message
/// there costs, and one message gives a failure domain the same information as many.
#[test]
fn few_messages_between_domains() {
    let mut sent = Vec::new();
    for count in [40, 250] {
        let mut network = Network::with_domains(5, count, 1, 5);
        network.run(5_000);
        network.messages_between_domains = 0;
        for _ in 0..10 {
            network.run(1_000);
            let lowest = network.counts().into_iter().min().unwrap();
            assert!(lowest >= usize::from(count) * 9 / 10, "{lowest} of {count}");
        }
        sent.push(network.messages_between_domains);
    }
    assert!(sent[1] <= sent[0] * 3 / 2, "{sent:?} messages for 40 and 250 entries");
}

/// Guards against a failed entry whose address callers still get 6 s later, and against a leaving
/// entry whose address they still get.
#[test]
fn failed_and_leaving_entries() {
    let mut network = Network::new(16, 1, 3);
    network.run(5_000);
    network.entries[5] = None;
    network.entries[6].as_ref().unwrap().leave();
    network.run(900);
    let members = network.entries[6].as_ref().unwrap().heartbeat_members(
        MemberOrder::LatestFirst,
        network.now,
        &network.random,
    );
    for entry in network.entries.iter().flatten() {
        entry.receive(ip(6), members.clone(), network.now);
        let offered = entry.entries_for_callers("a", 100, network.now);
        assert!(!offered.contains(&ip(6)), "callers get a leaving entry");
    }
    network.run(4_800);
    for entry in network.entries.iter().flatten() {
        assert!(
            !entry.entries_for_callers("b", 2, network.now).contains(&ip(5)),
            "callers get a failed entry"
        );
    }
}

/// Guards against the two sides of a healed partition that never find each other again.
#[test]
fn healed_partition() {
    let mut network = Network::new(16, 2, 0);
    network.run(3_000);
    network.partitioned = true;
    network.run(15_000);
    assert_eq!(network.counts(), vec![8; 16]);
    network.partitioned = false;
    network.run(8_000);
    assert_eq!(network.counts(), vec![16; 16]);
}

/// Guards against peers that ignore a restarted entry whose wall clock was set back: its new
/// process has a lower incarnation than the one that they know.
#[test]
fn restart_with_clock_set_back() {
    let mut network = Network::new(8, 3, 0);
    network.run(3_000);
    let before = Member { incarnation: 0, ..member(4, "a") };
    network.entries[4] = Some(Peers::new(before, vec![ip(0), ip(1)]));
    network.run(10_000);
    assert_eq!(network.counts(), vec![8; 8]);
    for _ in 0..20 {
        network.run(500);
        assert_eq!(network.counts(), vec![8; 8]);
    }
}

/// Guards against an entry whose process was suspended and that then counts all its peers as
/// silent.
#[test]
fn suspended_entry() {
    let entry = Peers::new(member(1, "a"), Vec::new());
    entry.receive(ip(2), [member(2, "a")], at(1_000));
    let later = at(1_000) + SILENT_AFTER * 2;
    assert_eq!(entry.live_count(later), 1);
    entry.note_suspension(later);
    assert_eq!(entry.live_count(later), 2);
    assert_eq!(entry.live_count(later + SILENT_AFTER), 1);
}

/// Guards against callers that get entries of other failure domains without need, or only a single
/// entry, whose failure would leave them without one.
#[rstest]
#[case("a", &[1, 3])]
#[case("b", &[1, 2, 3])]
#[case("c", &[1, 2, 3])]
fn entries_for_callers(#[case] domain: &str, #[case] expected: &[u8]) {
    let entry = Peers::new(member(1, "a"), Vec::new());
    entry.receive(ip(2), [member(2, "b")], at(1_000));
    entry.receive(ip(3), [member(3, "a")], at(1_000));
    let mut offered = entry.entries_for_callers(domain, 2, at(1_100));
    offered.sort();
    assert_eq!(offered, expected.iter().map(|number| ip(*number)).collect::<Vec<_>>());
}

/// Guards against an older state of an entry, received through another one, that replaces a later
/// state received from the entry itself.
#[test]
fn older_heartbeat() {
    let entry = Peers::new(member(1, "a"), Vec::new());
    let leaving = Member { heartbeat: 9, leaving: true, ..member(2, "a") };
    entry.receive(ip(2), [leaving], at(1_000));
    entry.receive(ip(3), [Member { heartbeat: 8, ..member(2, "a") }, member(3, "a")], at(1_010));
    assert!(!entry.entries_for_callers("a", 9, at(1_020)).contains(&ip(2)));
}

/// Guards against cold servers that get no requests because their owners are in other failure
/// domains and hardly ever probe them. On large sites, 30 to 50% of the servers that joined got no
/// request.
#[test]
fn owners_are_in_the_domain_of_the_server() {
    let mut owners = 0;
    for own in 1..=24 {
        let domain_of = |number: u8| ["a", "b", "c", "d"][usize::from(number % 4)];
        let entry = Peers::new(member(own, domain_of(own)), Vec::new());
        for number in (1..=24).filter(|number| *number != own) {
            let peer = member(number, domain_of(number));
            entry.receive(peer.ip, [peer], at(1_000));
        }
        if entry.rank_for_server("s1", "b", &[], at(1_000)) < cold::OWNER_COUNT {
            owners += 1;
            assert_eq!(domain_of(own), "b", "entry {own} is in another domain than the server");
        }
    }
    assert_eq!(owners, cold::OWNER_COUNT);
}

/// Guards against a cold server without owners because its failure domain has no entries.
#[test]
fn owners_elsewhere_if_the_domain_has_no_entries() {
    let entry = Peers::new(member(1, "a"), Vec::new());
    entry.receive(ip(2), [member(2, "b")], at(1_000));
    assert!(entry.rank_for_server("s1", "z", &[], at(1_000)) < cold::OWNER_COUNT);
}

/// Guards against an entry that starts and fetches the items from a failed peer, because another
/// peer still lists that one: after many entries failed at once, most listed members have failed.
#[test]
fn only_direct_heartbeats_count_as_contact() {
    let entry = Peers::new(member(1, "a"), Vec::new());
    assert_eq!(entry.contacted_peer(at(1_000), &SeededRandom::new(1)), None);
    entry.receive(ip(2), [member(2, "b"), member(3, "a"), member(4, "a")], at(1_000));
    assert_eq!(
        entry.contacted_peer(at(1_000), &SeededRandom::new(1)),
        Some(ip(2)),
        "the others are known through it only"
    );
    entry.receive(ip(3), [Member { heartbeat: 1, ..member(3, "a") }], at(1_010));
    assert_eq!(
        entry.contacted_peer(at(1_010), &SeededRandom::new(1)),
        Some(ip(3)),
        "it is in the same domain"
    );
}
