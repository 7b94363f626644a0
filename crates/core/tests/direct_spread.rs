//! How updates reach all entries.
#![allow(clippy::unwrap_used)]

mod direct_support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::Ipv4Addr;

use rstest::rstest;

use crate::direct_support::SeededRandom;
use crate::direct_support::at;
use crate::direct_support::member;
use jackdawpin_core::direct::peers::Member;
use jackdawpin_core::direct::peers::Peers;
use jackdawpin_core::direct::spread;
use jackdawpin_core::direct::spread::Group;

/// The entry number `number`.
fn ip(number: usize) -> Ipv4Addr {
    Ipv4Addr::from_bits(0x0A00_0000 + u32::try_from(number).unwrap())
}

/// What happened to one update.
#[derive(Default)]
struct Spread {
    /// How often each entry received the update.
    received: BTreeMap<Ipv4Addr, usize>,
    /// Messages that each entry sent.
    sent: BTreeMap<Ipv4Addr, usize>,
    /// Messages to other failure domains.
    between_domains: usize,
    /// Longest way in messages.
    steps: usize,
}

/// Sends one update from entry 0 to `groups`, without the messages that `is_lost`.
fn spread_update(
    groups: &[Group],
    random: &SeededRandom,
    mut is_lost: impl FnMut(Ipv4Addr) -> bool,
) -> Spread {
    let mut result = Spread::default();
    let mut messages = VecDeque::new();
    for _ in 0..spread::TREE_COUNT {
        for group in groups {
            let entries = group.shuffled(random);
            let branches: Vec<_> = match group.same_domain {
                true => spread::branches(&entries).collect(),
                false => spread::remote_branches(&entries).collect(),
            };
            result.between_domains += if group.same_domain { 0 } else { branches.len() };
            for branch in branches {
                messages.push_back((ip(0), branch.first, branch.rest.to_vec(), 1));
            }
        }
    }
    while let Some((from, to, targets, steps)) = messages.pop_front() {
        assert!(targets.len() <= spread::MAX_TARGETS, "{} addresses", targets.len());
        *result.sent.entry(from).or_default() += 1;
        if is_lost(to) {
            continue;
        }
        *result.received.entry(to).or_default() += 1;
        result.steps = result.steps.max(steps);
        for branch in spread::branches(&targets) {
            messages.push_back((to, branch.first, branch.rest.to_vec(), steps + 1));
        }
    }
    result
}

/// Failure domains of `sizes` entries besides entry 0, which is in the first one.
fn groups(sizes: &[usize]) -> Vec<Group> {
    let mut next = 1;
    let mut group = |(index, size): (usize, &usize)| {
        let staying = (next..next + size).map(ip).collect();
        next += size;
        Group { same_domain: index == 0, staying, leaving: Vec::new() }
    };
    sizes.iter().enumerate().map(&mut group).collect()
}

/// Guards against entries that updates do not reach, against an entry that sends to all others and
/// fills its link, and against many messages between failure domains, whose bytes cost.
#[rstest]
#[case::few(&[3, 4])]
#[case::one_domain(&[200])]
#[case::three_domains(&[45, 46, 45])]
#[case::unequal_domains(&[2, 500, 1])]
fn every_entry_is_reached(#[case] sizes: &[usize]) {
    let groups = groups(sizes);
    let result = spread_update(&groups, &SeededRandom::new(1), |_| false);
    let entries: usize = sizes.iter().sum();
    assert_eq!(result.received.len(), entries);
    assert!(result.received.values().all(|count| *count == spread::TREE_COUNT));
    // A few in its own domain, and one for each part of another domain that a message can name.
    let parts: usize =
        sizes.iter().skip(1).map(|size| size.div_ceil(spread::MAX_TARGETS + 1)).sum();
    assert_eq!(result.between_domains, parts * spread::TREE_COUNT);
    let own_parts = sizes[0].div_ceil(spread::MAX_TARGETS + 1).max(6);
    let most = result.sent.values().max().unwrap();
    assert!(*most <= (own_parts + parts) * spread::TREE_COUNT, "an entry sends {most}");
    assert!(result.steps <= 4, "{} steps", result.steps);
}

/// Guards against updates that miss many entries because some on the way have failed, or because
/// messages are lost: entries without recent updates all read the store themselves. The bound is on
/// the entries that miss two updates in a row, which is when a freshness proof becomes too old.
#[test]
fn two_updates_in_a_row_rarely_miss_an_entry() {
    let groups = groups(&[45, 46, 45]);
    let random = SeededRandom::new(3);
    let mut lost = fastrand::Rng::with_seed(5);
    let (mut missed, mut live) = (0, 0);
    for _ in 0..100 {
        let failed: BTreeSet<Ipv4Addr> = (1..137).filter(|_| lost.f64() < 0.05).map(ip).collect();
        let mut received = BTreeSet::new();
        for _ in 0..2 {
            let is_lost = |to: Ipv4Addr| failed.contains(&to) || lost.f64() < 0.01;
            received.extend(spread_update(&groups, &random, is_lost).received.into_keys());
        }
        live += 136 - failed.len();
        missed += 136 - failed.len() - received.len();
    }
    assert!(missed * 500 < live, "{missed} of {live} entries missed two updates");
}

/// Guards against a failure domain that gets updates through an entry that is leaving, and against
/// entries of another domain that are taken for ones of its own.
#[test]
fn groups_by_domain() {
    let entry = Peers::new(member(1, "a"), Vec::new());
    for (number, domain, leaving) in [(2, "a", false), (3, "b", false), (4, "b", true)] {
        let peer = Member { leaving, ..member(number, domain) };
        entry.receive(peer.ip, [peer], at(1_000));
    }
    let mut groups = entry.groups(at(1_100));
    groups.sort_by_key(|group| !group.same_domain);
    let ips = |numbers: &[u8]| -> Vec<Ipv4Addr> {
        numbers.iter().map(|number| member(*number, "a").ip).collect()
    };
    assert_eq!(
        groups,
        [
            Group { same_domain: true, staying: ips(&[2]), leaving: ips(&[]) },
            Group { same_domain: false, staying: ips(&[3]), leaving: ips(&[4]) },
        ]
    );
    for seed in 0..10 {
        assert_eq!(groups[1].shuffled(&SeededRandom::new(seed)), ips(&[3, 4]));
    }
    assert!(entry.groups(at(10_000)).is_empty(), "silent entries get nothing");
}
