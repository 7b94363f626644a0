//! The table of servers, and the choice of a server.
#![allow(clippy::unwrap_used)]

mod direct_support;

use std::time::Duration;

use rstest::rstest;

use crate::direct_support::SERVICE;
use crate::direct_support::SeededRandom;
use crate::direct_support::at;
use crate::direct_support::cold_report;
use crate::direct_support::domain;
use crate::direct_support::idle_report;
use crate::direct_support::loaded_report;
use crate::direct_support::member;
use crate::direct_support::ms;
use crate::direct_support::server;
use crate::direct_support::service;
use crate::direct_support::vm;
use jackdawpin_core::direct::fleet::AttemptEnd;
use jackdawpin_core::direct::fleet::Choice;
use jackdawpin_core::direct::fleet::Criteria;
use jackdawpin_core::direct::fleet::EXPIRY_GRACE;
use jackdawpin_core::direct::fleet::EXPIRY_GRACE_AFTER_OUTAGE;
use jackdawpin_core::direct::fleet::Fleet;
use jackdawpin_core::direct::fleet::LoadReport;
use jackdawpin_core::direct::fleet::Pick;
use jackdawpin_core::direct::fleet::Scope;
use jackdawpin_core::direct::fleet::Server;
use jackdawpin_core::direct::fleet::ServerNames;
use jackdawpin_core::direct::fleet::Work;
use jackdawpin_core::direct::fleet::expiry_grace;
use jackdawpin_core::direct::port::Notice;
use jackdawpin_core::direct::port::ProbeAnswer;
use jackdawpin_core::time::Instant;

const USUAL_TIME: Duration = Duration::from_millis(100);

/// Criteria of a request with 300 ms left for an answer.
fn criteria(now: Instant) -> Criteria {
    Criteria {
        work: Work { usual_time: USUAL_TIME, time_left: ms(300) },
        accept_within: ms(400),
        min_probability: 0.5,
        accepted_time: ms(150),
        overdue_at: now + ms(400),
        cold_limit: 2,
        priority: 0,
        competing_rate: 0.0,
    }
}

/// The table of an entry in domain `a` that lists `servers`.
fn fleet(servers: &[Server]) -> Fleet {
    let fleet = Fleet::new(domain("a"), member(1, "a").ip);
    for server in servers {
        fleet.update(server.clone(), at(0));
    }
    fleet
}

/// Records that server `number` answered a probe with `report`.
fn record_report(fleet: &Fleet, number: u16, report: LoadReport, now: Instant) {
    let name = format!("s{number}");
    let probe =
        ProbeAnswer { server: Some(vm(&name)), healthy: true, report, notice: Notice::default() };
    fleet.record_probe(SERVICE, &name, Some(&probe), now.before(ms(2)), now);
}

/// The names of servers 1 to 9.
fn all_names() -> ServerNames {
    (1..10).map(|number| vm(&format!("s{number}"))).collect()
}

/// Chooses among all servers; cold ones are owned.
fn choose(fleet: &Fleet, now: Instant) -> Choice {
    fleet.choose(SERVICE, &all_names(), &criteria(now), &all_names(), now, &SeededRandom::new(1))
}

/// The name of the chosen server; empty if none was chosen.
fn picked_name(choice: &Choice) -> &str {
    match choice {
        Choice::Pick(pick) => pick.server.as_str(),
        _ => "",
    }
}

fn pick(choice: Choice) -> Pick {
    match choice {
        Choice::Pick(pick) => pick,
        other => panic!("no pick: {other:?}"),
    }
}

/// Guards against a choice by the number of requests alone: a server that is four times as slow as
/// usual is worse than a busy one at its usual speed.
#[rstest]
#[case::slowdown(loaded_report(0, 400), loaded_report(1, 100), "s2")]
#[case::load(loaded_report(3, 100), loaded_report(0, 130), "s2")]
#[case::cold(cold_report(), loaded_report(1, 100), "s2")]
#[case::equal_prefers_the_same_domain(idle_report(), idle_report(), "s1")]
#[case::other_domain_if_the_same_is_full(loaded_report(6, 100), idle_report(), "s2")]
fn choice_by_load_report(
    #[case] same_domain: LoadReport,
    #[case] other_domain: LoadReport,
    #[case] expected: &str,
) {
    let fleet = fleet(&[server(1, "a"), server(2, "b")]);
    record_report(&fleet, 1, same_domain, at(10));
    record_report(&fleet, 2, other_domain, at(10));
    assert_eq!(picked_name(&choose(&fleet, at(11))), expected);
}

/// Guards against a choice by a report that is older than the changes of a server's slowdown.
#[test]
fn stale_report() {
    let fleet = fleet(&[server(1, "a")]);
    record_report(&fleet, 1, idle_report(), at(10));
    assert_eq!(choose(&fleet, at(40)), Choice::NoServer);
    let found = fleet.candidates(
        SERVICE,
        Scope::All,
        &ServerNames::new(),
        4,
        at(40),
        &SeededRandom::new(1),
    );
    assert!(found[0].needs_probe, "a server with a stale report must be probed: {found:?}");
}

/// Guards against requests that are counted twice because the server's report includes them, and
/// against several choices between two reports that all see the server as idle.
#[test]
fn unreported_requests() {
    let fleet = fleet(&[server(1, "a"), server(2, "a")]);
    record_report(&fleet, 1, idle_report(), at(10));
    record_report(&fleet, 2, loaded_report(1, 100), at(10));
    let names: Vec<String> =
        (0..4).map(|_| picked_name(&choose(&fleet, at(11))).to_owned()).collect();
    let first = names.iter().filter(|name| *name == "s1").count();
    assert!((2..4).contains(&first), "{names:?}");
}

/// Guards against requests to servers that are draining, that are out of service with their failure
/// domain, or whose item expired long ago.
#[test]
fn unusable_servers() {
    let servers = [server(1, "a"), server(2, "b"), server(3, "c"), server(4, "a")];
    let fleet = fleet(&servers);
    for number in 1..=4 {
        record_report(&fleet, number, idle_report(), at(10));
    }
    fleet.update(Server { draining: true, ..server(1, "a") }, at(11));
    fleet.set_domain_out(&domain("b"), true);
    fleet.unlist("s3", EXPIRY_GRACE, at(11));
    assert_eq!(picked_name(&choose(&fleet, at(12))), "s4", "an expired server is the last choice");
    fleet.unlist("s4", EXPIRY_GRACE, at(12));

    let late = at(12) + EXPIRY_GRACE + ms(1);
    for number in 1..=4 {
        record_report(&fleet, number, idle_report(), late);
    }
    assert_eq!(choose(&fleet, late), Choice::NoServer);
    fleet.set_domain_out(&domain("b"), false);
    assert_eq!(picked_name(&choose(&fleet, late)), "s2");
}

/// Guards against requests to a server 2 s after its removal, by an entry that learns of it late.
#[rstest]
#[case::learned_at_once(0, 1_200)]
#[case::latest_full_grace(700, 1_200)]
#[case::learned_late(1_438, 462)]
#[case::latest_grace(1_900, 0)]
#[case::learned_after_the_latest_use(2_400, 0)]
fn use_after_a_removal(#[case] proof_age: u64, #[case] expected: u64) {
    let grace = expiry_grace(ms(proof_age));
    assert_eq!(grace, ms(expected));
    let fleet = fleet(&[server(1, "a")]);
    let learned = at(100) + ms(proof_age);
    fleet.unlist("s1", grace, learned);
    let late = learned + ms(expected + 1);
    record_report(&fleet, 1, idle_report(), late);
    assert_eq!(choose(&fleet, late), Choice::NoServer);
}

/// Guards against servers that are not used after their items expired while the store was
/// unavailable: no request could be served until the items are renewed.
#[test]
fn expired_while_the_store_was_unavailable() {
    let fleet = fleet(&[server(1, "a")]);
    fleet.unlist("s1", EXPIRY_GRACE_AFTER_OUTAGE, at(100));
    for (now, usable) in [(at(2_000), true), (at(2_400), false)] {
        record_report(&fleet, 1, idle_report(), now);
        assert_eq!(choose(&fleet, now) != Choice::NoServer, usable, "{now:?}");
    }
    fleet.update(server(1, "a"), at(2_500));
    record_report(&fleet, 1, idle_report(), at(2_501));
    assert_eq!(picked_name(&choose(&fleet, at(2_501))), "s1", "its item was renewed");
}

/// Guards against a report of one server that counts for another after the removal of a server that
/// was added before it, and against a removed server that is still chosen.
#[rstest]
#[case::unlisted_while_draining(|fleet: &Fleet| {
    fleet.update(Server { draining: true, ..server(2, "a") }, at(5));
    fleet.unlist("s2", EXPIRY_GRACE, at(5));
})]
#[case::expired(|fleet: &Fleet| {
    fleet.unlist("s2", Duration::ZERO, at(5));
    fleet.unlist("s2", Duration::ZERO, at(6));
})]
#[case::moved_to_another_service(|fleet: &Fleet| {
    fleet.update(Server { service: service("other"), ..server(2, "a") }, at(5));
})]
fn reports_after_a_removal(#[case] remove: fn(&Fleet)) {
    let fleet = fleet(&[1, 2, 3, 4].map(|number| server(number, "a")));
    remove(&fleet);
    let chosen = |number: u16| {
        // The reports of the other servers are too old by then.
        let now = at(u64::from(number) * 100);
        record_report(&fleet, number, idle_report(), now);
        picked_name(&choose(&fleet, now)).to_owned()
    };
    assert_eq!([1, 2, 3, 4].map(chosen), ["s1", "", "s3", "s4"]);
    fleet.update(server(2, "a"), at(500));
    record_report(&fleet, 2, idle_report(), at(510));
    assert_eq!(picked_name(&choose(&fleet, at(510))), "s2", "it is listed again");
}

/// Guards against a server that restarted under its old name and that is still judged by what its
/// previous process did.
#[test]
fn restarted_server() {
    let fleet = fleet(&[server(1, "a")]);
    record_report(&fleet, 1, idle_report(), at(10));
    fleet.update(Server { started_ms: 2, ..server(1, "a") }, at(11));
    assert_eq!(choose(&fleet, at(12)), Choice::NoServer, "its state is unknown until it is probed");
}

/// Guards against an address that another server has taken over.
#[test]
fn other_server_answers() {
    let fleet = fleet(&[server(1, "a")]);
    let probe = ProbeAnswer {
        server: Some(vm("s9")),
        healthy: true,
        report: idle_report(),
        notice: Notice::default(),
    };
    fleet.record_probe(SERVICE, "s1", Some(&probe), at(8), at(10));
    assert_eq!(choose(&fleet, at(11)), Choice::NoServer);
    let found = fleet.candidates(
        SERVICE,
        Scope::All,
        &ServerNames::new(),
        4,
        at(11),
        &SeededRandom::new(1),
    );
    assert!(found.is_empty(), "it must not be probed for a while: {found:?}");
}

/// Guards against a server that looks idle because it fails its requests: its answers must count,
/// not its reports.
#[rstest]
#[case::errors(AttemptEnd::Failed)]
#[case::unreachable(AttemptEnd::Unreachable)]
fn failures_count(#[case] result: AttemptEnd) {
    let fleet = fleet(&[server(1, "a"), server(2, "b")]);
    for round in 0..3 {
        let now = at(100 + round * 10);
        record_report(&fleet, 1, idle_report(), now);
        let pick = pick(choose(&fleet, now));
        assert_eq!(pick.server.as_str(), "s1");
        fleet.finish(SERVICE, "r", &pick, result, now);
        record_report(&fleet, 1, idle_report(), now + ms(1));
        record_report(&fleet, 2, loaded_report(2, 150), now + ms(1));
        if picked_name(&choose(&fleet, now + ms(1))) == "s2" {
            return;
        }
    }
    panic!("a server that fails all requests is still preferred");
}

/// Guards against a server that accepts requests, answers none and stays the best choice: a missing
/// answer counts before its request ends.
#[test]
fn overdue_answers_count() {
    let fleet = fleet(&[server(1, "a"), server(2, "b")]);
    record_report(&fleet, 1, idle_report(), at(10));
    let silent = pick(choose(&fleet, at(10)));
    assert_eq!(silent.server.as_str(), "s1");
    let late = at(10) + ms(450);
    record_report(&fleet, 1, idle_report(), late);
    record_report(&fleet, 2, idle_report(), late);
    assert_eq!(picked_name(&choose(&fleet, late)), "s2");
}

/// Guards against a failure that counts against a server for ever.
#[test]
fn failures_decay() {
    let fleet = fleet(&[server(1, "a"), server(2, "b")]);
    record_report(&fleet, 1, idle_report(), at(10));
    let failed = pick(choose(&fleet, at(10)));
    fleet.finish(SERVICE, "r", &failed, AttemptEnd::Failed, at(11));
    let later = at(20_000);
    record_report(&fleet, 1, idle_report(), later);
    record_report(&fleet, 2, idle_report(), later);
    assert_eq!(picked_name(&choose(&fleet, later)), "s1");
}

/// Guards against a cold server that gets more than this entry's share, or anything from an entry
/// that does not own it.
#[test]
fn cold_share() {
    let fleet = fleet(&[server(1, "a")]);
    record_report(&fleet, 1, cold_report(), at(10));
    let not_owned = fleet.choose(
        SERVICE,
        &all_names(),
        &criteria(at(10)),
        &ServerNames::new(),
        at(10),
        &SeededRandom::new(1),
    );
    assert_eq!(not_owned, Choice::NoServer);
    let mut times = Vec::new();
    for now in (10..3_000).step_by(5).map(at) {
        record_report(&fleet, 1, cold_report(), now);
        if let Choice::Pick(pick) = choose(&fleet, now) {
            fleet.finish(SERVICE, "r", &pick, AttemptEnd::Shed, now);
            times.push(now);
        }
    }
    for (index, first) in times.iter().enumerate() {
        let within = times[index..].iter().filter(|time| time.since(*first) < ms(1_000));
        assert!(within.count() <= 2, "more than 2 within a second from {first:?}");
    }
    assert!(times.len() >= 5, "the share is used: {times:?}");
}

/// Guards against requests that are sent to overloaded servers: if the best server would answer too
/// late, the request is refused at once.
#[test]
fn overloaded_server() {
    let fleet = fleet(&[server(1, "a")]);
    record_report(&fleet, 1, loaded_report(9, 100), at(10));
    assert!(matches!(choose(&fleet, at(10)), Choice::Overloaded(time) if time > ms(400)));
}

/// Guards against an estimate of the usual time that slow or busy servers distort.
#[test]
fn usual_time() {
    let fleet = fleet(&[server(1, "a")]);
    assert_eq!(fleet.usual_time("r", ms(120)), ms(120), "the default until an answer was seen");
    for (slowdown, time) in [(100, 80), (400, 320), (100, 80), (50, 40)] {
        record_report(&fleet, 1, loaded_report(0, slowdown), at(10));
        let pick = pick(choose(&fleet, at(10)));
        fleet.finish(SERVICE, "r", &pick, AttemptEnd::Answered(ms(time)), at(10));
    }
    assert_eq!(fleet.usual_time("r", ms(120)), ms(80));
}

/// Guards against a service whose servers report no load and would all look idle.
#[test]
fn servers_without_load_reports() {
    let fleet = fleet(&[server(1, "a"), server(2, "a")]);
    let silent = LoadReport { load: None, cold_for: Duration::ZERO };
    let mut names = Vec::new();
    for _ in 0..6 {
        record_report(&fleet, 1, silent, at(10));
        record_report(&fleet, 2, silent, at(10));
        names.push(picked_name(&choose(&fleet, at(11))).to_owned());
    }
    let first = names.iter().filter(|name| *name == "s1").count();
    assert_eq!(first, 3, "requests in flight must even out: {names:?}");
}

/// Guards against an entry that opens connections to all servers of a large site, and against one
/// that finds no server when those of other domains that it usually probes are gone.
#[test]
fn few_servers_of_other_domains() {
    let servers: Vec<Server> =
        (1..200).map(|number| server(number, if number % 10 == 0 { "a" } else { "b" })).collect();
    let fleet = fleet(&servers);
    let random = SeededRandom::new(1);
    let candidates = |excluded: &ServerNames| {
        fleet.candidates(SERVICE, Scope::All, excluded, 4, at(10), &random)
    };
    let mut other_domain = std::collections::BTreeSet::new();
    for _ in 0..500 {
        let names = candidates(&ServerNames::new()).into_iter().map(|candidate| candidate.server);
        other_domain.extend(names.filter(|name| !name.as_str().ends_with('0')));
    }
    assert!(other_domain.len() <= 16, "{} servers of other domains", other_domain.len());
    for name in &other_domain {
        fleet.unlist(name.as_str(), Duration::ZERO, at(5));
    }
    let others = candidates(&ServerNames::new());
    assert_eq!(others.len(), 4, "others take their place: {others:?}");
}

/// Guards against an entry that opens connections to all servers of a large failure domain, against
/// servers that no entry prefers, and against an entry without servers once its preferred ones are
/// gone. 40 entries and 200 servers in one domain.
#[test]
fn preferred_servers() {
    let servers: Vec<Server> = (1..=200).map(|number| server(number, "a")).collect();
    let random = SeededRandom::new(1);
    let mut preferred_by = std::collections::BTreeMap::<String, u32>::new();
    for entry in 1..=40 {
        let fleet = Fleet::new(domain("a"), member(entry, "a").ip);
        for server in &servers {
            fleet.update(server.clone(), at(0));
        }
        let draw = || {
            let excluded = ServerNames::new();
            fleet.candidates(SERVICE, Scope::Preferred, &excluded, 4, at(10), &random)
        };
        let names = |draws: usize| -> std::collections::BTreeSet<String> {
            let candidates = (0..draws).flat_map(|_| draw());
            candidates.map(|candidate| candidate.server.as_str().to_owned()).collect()
        };
        let preferred = names(300);
        assert!(preferred.len() <= 30, "{} servers", preferred.len());
        for name in &preferred {
            *preferred_by.entry(name.clone()).or_default() += 1;
            fleet.unlist(name, Duration::ZERO, at(5));
        }
        assert!(names(300).len() >= 12, "others must take their place");
    }
    assert!(preferred_by.len() >= 190, "only {} servers are preferred", preferred_by.len());
    let most = preferred_by.values().max().unwrap();
    assert!(*most <= 15, "a server is preferred by {most} of 40 entries");
}

/// Guards against a server that is used again although it has said that it is leaving, because its item
/// in the store says otherwise, and against one whose next process is not used.
#[test]
fn announced_leaving() {
    let fleet = fleet(&[server(1, "a")]);
    let answer = |leaving, now: Instant| {
        let notice = Notice { leaving, ..Notice::default() };
        let probe =
            ProbeAnswer { server: Some(vm("s1")), healthy: true, report: idle_report(), notice };
        fleet.record_probe(SERVICE, "s1", Some(&probe), now.before(ms(2)), now);
    };
    let is_used = |now| matches!(choose(&fleet, now), Choice::Pick(_));
    answer(false, at(10));
    assert!(is_used(at(11)));
    answer(true, at(20));
    assert!(!is_used(at(21)));
    fleet.update(Server { sequence: 2, ..server(1, "a") }, at(30));
    answer(false, at(40));
    assert!(!is_used(at(41)), "the same process");
    fleet.unlist("s1", ms(100), at(50));
    fleet.unlist("s1", ms(100), at(1_000));
    fleet.update(Server { sequence: 3, ..server(1, "a") }, at(2_000));
    answer(false, at(2_010));
    assert!(!is_used(at(2_011)), "the same process, listed again");
    fleet.update(Server { started_ms: 2, ..server(1, "a") }, at(3_000));
    answer(false, at(3_010));
    assert!(is_used(at(3_011)), "the next process");
}

/// Guards against requests to a server that has asked for a pause, also after its item has expired and
/// come back, and against a pause without end.
#[test]
fn requested_pause() {
    let fleet = fleet(&[server(1, "a")]);
    let answer = |pause, now: Instant| {
        let notice = Notice { pause, ..Notice::default() };
        let probe =
            ProbeAnswer { server: Some(vm("s1")), healthy: true, report: idle_report(), notice };
        fleet.record_probe(SERVICE, "s1", Some(&probe), now.before(ms(2)), now);
    };
    let is_used = |now| matches!(choose(&fleet, now), Choice::Pick(_));
    answer(Some(ms(5_000)), at(10));
    assert!(!is_used(at(11)));
    assert_eq!(fleet.wait(SERVICE, &ServerNames::new(), 0, at(1_010)), Some(ms(4_000)));
    answer(Some(ms(10)), at(1_020));
    assert!(!is_used(at(1_030)), "a shorter pause does not end the first one");
    fleet.unlist("s1", ms(100), at(1_050));
    fleet.unlist("s1", ms(100), at(2_000));
    fleet.update(Server { sequence: 3, ..server(1, "a") }, at(3_000));
    answer(None, at(3_010));
    assert!(!is_used(at(3_011)), "the same process, listed again");
    answer(None, at(5_011));
    assert!(is_used(at(5_012)));
    answer(Some(Duration::MAX), at(6_000));
    assert_eq!(
        fleet.wait(SERVICE, &ServerNames::new(), 0, at(6_000)),
        Some(Duration::from_secs(3_600))
    );
    fleet.update(Server { started_ms: 2, ..server(1, "a") }, at(7_000));
    answer(None, at(7_010));
    assert!(is_used(at(7_011)), "the next process");
}
