//! Ranking of entries: stability, quorums, balance and cost.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rstest::rstest;

use jackdawpin_core::holder::member::Role;
use jackdawpin_core::holder::member::Vm;
use jackdawpin_core::holder::member::VmList;
use jackdawpin_core::holder::member::VmState;
use jackdawpin_core::holder::rank;
use jackdawpin_core::name;

fn vm(name: &str, role: Role, place: usize, domains: usize) -> Vm {
    let domain = place % domains;
    Vm {
        name: name::Vm::try_from(name).unwrap(),
        role,
        domain: name::Domain::try_from(format!("d{domain}").as_str()).unwrap(),
        region: name::Region::try_from(format!("r{}", domain / 2).as_str()).unwrap(),
        state: VmState::Live,
    }
}

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

fn entries(count: usize, domains: usize) -> Vec<Vm> {
    let role = Role::Entry { caller: address(), control: address() };
    (0..count).map(|index| vm(&format!("entry-{index}"), role.clone(), index, domains)).collect()
}

fn servers(count: usize, domains: usize) -> Vec<Vm> {
    let service = name::Service::try_from("lookup").unwrap();
    let role = Role::Server { service, address: address() };
    (0..count).map(|index| vm(&format!("server-{index}"), role.clone(), index, domains)).collect()
}

fn list(vms: Vec<Vm>) -> VmList {
    VmList::new(1, vms).unwrap()
}

fn names(order: &[&Vm]) -> Vec<String> {
    order.iter().map(|vm| vm.name.to_string()).collect()
}

/// Guards against a change of the hash or its input, with which entries of two releases would
/// disagree about every holder during an upgrade.
#[test]
fn order_is_the_same_in_every_version() {
    let list = list(entries(6, 4));
    let order = rank::order(&list, &servers(2, 4)[1]);
    assert_eq!(names(&order), ["entry-5", "entry-1", "entry-0", "entry-4", "entry-3", "entry-2"]);
}

/// Guards against entries of a distant domain ranking before closer ones, and against an order that
/// depends on the order of the list.
#[test]
fn closer_entries_come_first() {
    let forward = entries(40, 8);
    let mut backward = forward.clone();
    backward.reverse();
    let (forward, backward) = (list(forward), list(backward));
    for server in servers(40, 8) {
        let order = rank::order(&forward, &server);
        let distance: Vec<_> = order
            .iter()
            .map(|vm| (vm.domain != server.domain, vm.region != server.region))
            .collect();
        assert!(distance.is_sorted(), "{distance:?}");
        assert_eq!(order.len(), 40);
        assert_eq!(names(&order), names(&rank::order(&backward, &server)));
    }
}

/// Guards against holder and witnesses being chosen by another order than the ranking, against
/// leaving entries being ranked, and against witnesses that depend on who is heard.
#[test]
fn holder_and_witnesses_follow_the_order() {
    let mut vms = entries(19, 4);
    vms[3].state = VmState::Leaving;
    let list = list(vms);
    for server in servers(50, 4) {
        let order = rank::order(&list, &server);
        assert!(order.iter().all(|vm| vm.name.as_str() != "entry-3"));
        assert_eq!(rank::witnesses(&list, &server).as_slice(), &order[..7]);
        assert_eq!(rank::holder(&list, &server, |_| true), Some(order[0]));
        let lost = |vm: &name::Vm| vm != &order[0].name && vm != &order[1].name;
        assert_eq!(rank::holder(&list, &server, lost), Some(order[2]));
        assert_eq!(rank::holder(&list, &server, |_| false), None);
    }
}

/// Guards against a list change that moves servers between entries that did not change, and
/// against one that replaces more than one witness.
#[rstest]
#[case::one_domain(1)]
#[case::four_domains(4)]
fn a_removed_entry_moves_only_its_servers(#[case] domains: usize) {
    let all = entries(19, domains);
    let before = list(all.clone());
    for gone in 0..all.len() {
        let after = list(
            all.iter().enumerate().filter(|(i, _)| *i != gone).map(|(_, vm)| vm.clone()).collect(),
        );
        for server in servers(60, domains) {
            let old: Vec<_> = rank::order(&before, &server);
            let rest: Vec<_> = old.iter().filter(|vm| vm.name != all[gone].name).copied().collect();
            assert_eq!(names(&rest), names(&rank::order(&after, &server)));
            let old = names(&rank::witnesses(&before, &server));
            let new = names(&rank::witnesses(&after, &server));
            assert!(old.iter().filter(|name| !new.contains(name)).count() <= 1);
        }
    }
}

/// Whether there are two disjoint quorums of witness sets that share `shared` witnesses and have
/// `left` and `right` further ones. Tries all sets of promises.
fn disjoint_quorums(shared: usize, left: usize, right: usize) -> bool {
    let size = shared + left + right;
    let first = (1_u32 << (shared + left)) - 1;
    let second = ((1_u32 << size) - 1) & !(((1 << left) - 1) << shared);
    let confirms = |promises: u32, witnesses: u32| {
        let needed = rank::quorum(witnesses.count_ones() as usize);
        (promises & witnesses).count_ones() as usize >= needed
    };
    (0_u32..1 << size).any(|one| {
        let other = !one & ((1 << size) - 1);
        confirms(one, first) && confirms(other, second)
    })
}

/// Guards against a quorum so small that two entries with different lists both get one. Checks all
/// sets of one to seven witnesses within the differences that the rule allows.
#[test]
fn quorums_of_similar_witness_sets_intersect() {
    let allowed = |witnesses: usize| match witnesses {
        0..=3 => 0,
        4 => 1,
        _ => 2,
    };
    for shared in 0..=rank::MAX_WITNESSES {
        for left in 0..=rank::MAX_WITNESSES - shared {
            for right in 0..=rank::MAX_WITNESSES - shared {
                let sizes = [shared + left, shared + right];
                let limit = allowed(sizes[0]).min(allowed(sizes[1]));
                if sizes.contains(&0) || left.max(right) > limit {
                    continue;
                }
                let found = disjoint_quorums(shared, left, right);
                assert!(!found, "shared {shared}, left {left}, right {right}");
            }
        }
    }
}

/// Guards against the check above passing for every rule: sets that differ in more witnesses than
/// the quorum covers must have disjoint quorums. Six witnesses cover one difference more than
/// required.
#[rstest]
#[case::three(2, 1)]
#[case::four(2, 2)]
#[case::five(2, 3)]
#[case::six(2, 4)]
#[case::seven(4, 3)]
fn quorums_of_less_similar_sets_can_be_disjoint(#[case] shared: usize, #[case] replaced: usize) {
    assert!(disjoint_quorums(shared, replaced, replaced));
}

/// Guards against a hash that gives some entries far more servers than others. With 3,300 servers
/// over 300 entries the mean is 11; independent choices exceed 30 with a probability below 1e-5.
#[test]
fn servers_are_spread_over_entries() {
    let list = list(entries(300, 11));
    let table = rank::Ranking::new(&list);
    let mut held = BTreeMap::new();
    for server in servers(3_300, 11) {
        let holder = table.holder(&server, |_| true).unwrap();
        *held.entry(holder.name.to_string()).or_insert(0) += 1;
    }
    let most = held.values().copied().max().unwrap();
    println!("holders {}, mean 11, largest {most}", held.len());
    assert!(held.len() >= 290, "{} entries hold a server", held.len());
    assert!(most <= 30, "one entry holds {most} servers");
}

/// Guards against a ranking that is too slow to repeat for each changed list. The limit is far
/// above the usual time, because other work shares the machine; the time itself is printed.
#[test]
fn ranking_all_servers_is_fast() {
    let all = entries(300, 11);
    let servers = servers(3_300, 11);
    let list = list([all, servers.clone()].concat());
    let start = Instant::now();
    let table = rank::Ranking::new(&list);
    let found: BTreeSet<_> =
        servers.iter().map(|s| table.holder(s, |_| true).unwrap().name.as_str()).collect();
    let holders = start.elapsed();
    let witnesses: usize = servers.iter().map(|s| table.witnesses(s).len()).sum();
    let both = start.elapsed();
    let orders: usize = servers.iter().map(|s| table.order(s).len()).sum();
    let all = start.elapsed();
    println!("holders {holders:?}, witnesses {:?}, orders {:?}", both - holders, all - both);
    assert!(found.len() > 200);
    assert_eq!(witnesses, 3_300 * 7);
    assert_eq!(orders, 3_300 * 300);
    assert!(both < Duration::from_secs(2), "ranking took {both:?}");
}
