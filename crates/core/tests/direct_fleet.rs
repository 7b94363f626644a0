//! The table of servers and the choice among them.
#![allow(clippy::unwrap_used)]

mod direct_support;

use std::time::Duration;

use rstest::rstest;

use crate::direct_support::SERVICE;
use crate::direct_support::Seeded;
use crate::direct_support::at;
use crate::direct_support::cold;
use crate::direct_support::domain;
use crate::direct_support::idle;
use crate::direct_support::loaded;
use crate::direct_support::ms;
use crate::direct_support::row;
use crate::direct_support::server;
use crate::direct_support::vm;
use jackdawpin_core::direct::fleet::AttemptResult;
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
use jackdawpin_core::direct::port::ProbeAnswer;
use jackdawpin_core::time::Instant;

const USUAL: Duration = Duration::from_millis(100);

fn terms(now: Instant) -> Criteria {
    Criteria {
        work: Work { usual_time: USUAL, time_left: ms(300) },
        max_time: ms(400),
        overdue_at: now + ms(400),
        cold_allowance: 2,
        only_likely: false,
    }
}

fn fleet(servers: &[Server]) -> Fleet {
    let fleet = Fleet::new(domain("a"), row(1, "a").ip);
    for server in servers {
        fleet.update(server.clone(), at(0));
    }
    fleet
}

fn report(fleet: &Fleet, number: u16, report: LoadReport, now: Instant) {
    let name = format!("s{number}");
    let probe = ProbeAnswer { server: Some(vm(&name)), healthy: true, report };
    fleet.record_probe(SERVICE, &name, Some(&probe), now);
}

fn all() -> ServerNames {
    (1..10).map(|number| vm(&format!("s{number}"))).collect()
}

fn choose(fleet: &Fleet, now: Instant) -> Choice {
    fleet.choose(SERVICE, &all(), &terms(now), &all(), now)
}

fn picked(choice: &Choice) -> &str {
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

/// Guards against a choice by the number of requests alone: a server that runs at a quarter of its
/// pace is worse than a busy one at its usual pace.
#[rstest]
#[case::pace(loaded(0, 400), loaded(1, 100), "s2")]
#[case::load(loaded(3, 100), loaded(0, 130), "s2")]
#[case::cold(cold(), loaded(1, 100), "s2")]
#[case::equal_is_near(idle(), idle(), "s1")]
#[case::far_if_near_is_full(loaded(6, 100), idle(), "s2")]
fn best_report(#[case] near: LoadReport, #[case] far: LoadReport, #[case] expected: &str) {
    let fleet = fleet(&[server(1, "a"), server(2, "b")]);
    report(&fleet, 1, near, at(10));
    report(&fleet, 2, far, at(10));
    assert_eq!(picked(&choose(&fleet, at(11))), expected);
}

/// Guards against a choice by a report that is older than the changes of a server's pace.
#[test]
fn stale_report() {
    let fleet = fleet(&[server(1, "a")]);
    report(&fleet, 1, idle(), at(10));
    assert_eq!(choose(&fleet, at(40)), Choice::NoServer);
    let found =
        fleet.candidates(SERVICE, Scope::All, &ServerNames::new(), 4, at(40), &Seeded::new(1));
    assert!(found[0].needs_probe, "a server with a stale report must be probed: {found:?}");
}

/// Guards against work that a server reports as its own and that is counted twice, and against
/// several choices between two reports that all see the server as idle.
#[test]
fn unreported_requests() {
    let fleet = fleet(&[server(1, "a"), server(2, "a")]);
    report(&fleet, 1, idle(), at(10));
    report(&fleet, 2, loaded(1, 100), at(10));
    let names: Vec<String> = (0..4).map(|_| picked(&choose(&fleet, at(11))).to_owned()).collect();
    let first = names.iter().filter(|name| *name == "s1").count();
    assert!((2..4).contains(&first), "{names:?}");
}

/// Guards against work for servers that leave, that are out of service with their failure domain, or
/// whose entry ended long ago.
#[test]
fn unusable() {
    let servers = [server(1, "a"), server(2, "b"), server(3, "c"), server(4, "a")];
    let fleet = fleet(&servers);
    for number in 1..=4 {
        report(&fleet, number, idle(), at(10));
    }
    fleet.update(Server { draining: true, ..server(1, "a") }, at(11));
    fleet.set_domain_out(&domain("b"), true);
    fleet.unlist("s3", EXPIRY_GRACE, at(11));
    assert_eq!(picked(&choose(&fleet, at(12))), "s4", "a lapsed server is the last choice");
    fleet.unlist("s4", EXPIRY_GRACE, at(12));

    let late = at(12) + EXPIRY_GRACE + ms(1);
    for number in 1..=4 {
        report(&fleet, number, idle(), late);
    }
    assert_eq!(choose(&fleet, late), Choice::NoServer);
    fleet.set_domain_out(&domain("b"), false);
    assert_eq!(picked(&choose(&fleet, late)), "s2");
}

/// Guards against a store that was away: its servers' entries lapsed, and without them no request
/// could be served until they are back.
#[test]
fn lapsed_with_the_store() {
    let fleet = fleet(&[server(1, "a")]);
    fleet.unlist("s1", EXPIRY_GRACE_AFTER_OUTAGE, at(100));
    for (now, usable) in [(at(2_000), true), (at(2_400), false)] {
        report(&fleet, 1, idle(), now);
        assert_eq!(choose(&fleet, now) != Choice::NoServer, usable, "{now:?}");
    }
    fleet.update(server(1, "a"), at(2_500));
    report(&fleet, 1, idle(), at(2_501));
    assert_eq!(picked(&choose(&fleet, at(2_501))), "s1", "its entry is back");
}

/// Guards against a server that started again under its old name and that is still judged by what
/// its predecessor did.
#[test]
fn born_again() {
    let fleet = fleet(&[server(1, "a")]);
    report(&fleet, 1, idle(), at(10));
    fleet.update(Server { started_ms: 2, ..server(1, "a") }, at(11));
    assert_eq!(choose(&fleet, at(12)), Choice::NoServer, "its state is unknown until it is probed");
}

/// Guards against an address that another server has taken over.
#[test]
fn other_server_answers() {
    let fleet = fleet(&[server(1, "a")]);
    let probe = ProbeAnswer { server: Some(vm("s9")), healthy: true, report: idle() };
    fleet.record_probe(SERVICE, "s1", Some(&probe), at(10));
    assert_eq!(choose(&fleet, at(11)), Choice::NoServer);
    let found =
        fleet.candidates(SERVICE, Scope::All, &ServerNames::new(), 4, at(11), &Seeded::new(1));
    assert!(found.is_empty(), "it must rest: {found:?}");
}

/// Guards against a server that looks idle because it fails what it gets: its answers count, not its
/// reports.
#[rstest]
#[case::errors(AttemptResult::Failed)]
#[case::absent(AttemptResult::Unreachable)]
fn faults_count(#[case] landing: AttemptResult) {
    let fleet = fleet(&[server(1, "a"), server(2, "b")]);
    for round in 0..3 {
        let now = at(100 + round * 10);
        report(&fleet, 1, idle(), now);
        let pick = pick(choose(&fleet, now));
        assert_eq!(pick.server.as_str(), "s1");
        fleet.finish(SERVICE, "r", &pick, landing, now);
        report(&fleet, 1, idle(), now + ms(1));
        report(&fleet, 2, loaded(2, 150), now + ms(1));
        if picked(&choose(&fleet, now + ms(1))) == "s2" {
            return;
        }
    }
    panic!("a server that fails everything is still preferred");
}

/// Guards against a server that takes requests, answers none and stays the best choice: a missing
/// answer counts before its request ends.
#[test]
fn overdue_answers_count() {
    let fleet = fleet(&[server(1, "a"), server(2, "b")]);
    report(&fleet, 1, idle(), at(10));
    let silent = pick(choose(&fleet, at(10)));
    assert_eq!(silent.server.as_str(), "s1");
    let late = at(10) + ms(450);
    report(&fleet, 1, idle(), late);
    report(&fleet, 2, idle(), late);
    assert_eq!(picked(&choose(&fleet, late)), "s2");
}

/// Guards against a fault that is held against a server for ever.
#[test]
fn faults_fade() {
    let fleet = fleet(&[server(1, "a"), server(2, "b")]);
    report(&fleet, 1, idle(), at(10));
    let failed = pick(choose(&fleet, at(10)));
    fleet.finish(SERVICE, "r", &failed, AttemptResult::Failed, at(11));
    let later = at(20_000);
    report(&fleet, 1, idle(), later);
    report(&fleet, 2, idle(), later);
    assert_eq!(picked(&choose(&fleet, later)), "s1");
}

/// Guards against a cold server that gets more than this entry's share, or anything from an entry
/// that does not own it.
#[test]
fn cold_share() {
    let fleet = fleet(&[server(1, "a")]);
    report(&fleet, 1, cold(), at(10));
    let foreign = fleet.choose(SERVICE, &all(), &terms(at(10)), &ServerNames::new(), at(10));
    assert_eq!(foreign, Choice::NoServer);
    let mut times = Vec::new();
    for now in (10..3_000).step_by(5).map(at) {
        report(&fleet, 1, cold(), now);
        if let Choice::Pick(pick) = choose(&fleet, now) {
            fleet.finish(SERVICE, "r", &pick, AttemptResult::Shed, now);
            times.push(now);
        }
    }
    for (index, first) in times.iter().enumerate() {
        let within = times[index..].iter().filter(|time| time.since(*first) < ms(1_000));
        assert!(within.count() <= 2, "more than 2 within a second from {first:?}");
    }
    assert!(times.len() >= 5, "the share is used: {times:?}");
}

/// Guards against overload that is passed on to servers: if the best one takes too long, the request
/// is turned away at once.
#[test]
fn too_busy() {
    let fleet = fleet(&[server(1, "a")]);
    report(&fleet, 1, loaded(9, 100), at(10));
    assert!(matches!(choose(&fleet, at(10)), Choice::Overloaded(time) if time > ms(400)));
}

/// Guards against an estimate of the usual time that slow servers or busy ones spoil.
#[test]
fn usual_time() {
    let fleet = fleet(&[server(1, "a")]);
    assert_eq!(fleet.usual_time("r", ms(120)), ms(120), "a guess until an answer was seen");
    for (pace, time) in [(100, 80), (400, 320), (100, 80), (50, 40)] {
        report(&fleet, 1, loaded(0, pace), at(10));
        let pick = pick(choose(&fleet, at(10)));
        fleet.finish(SERVICE, "r", &pick, AttemptResult::Answered(ms(time)), at(10));
    }
    assert_eq!(fleet.usual_time("r", ms(120)), ms(80));
}

/// Guards against a service without load reports, whose servers would all look idle.
#[test]
fn without_load() {
    let fleet = fleet(&[server(1, "a"), server(2, "a")]);
    let silent = LoadReport { load: None, cold_for: Duration::ZERO };
    let mut names = Vec::new();
    for _ in 0..6 {
        report(&fleet, 1, silent, at(10));
        report(&fleet, 2, silent, at(10));
        names.push(picked(&choose(&fleet, at(11))).to_owned());
    }
    let first = names.iter().filter(|name| *name == "s1").count();
    assert_eq!(first, 3, "requests in flight must even out: {names:?}");
}

/// Guards against an entry that opens connections to all servers of a large fleet, and against one
/// that gives up when the far servers it usually asks are gone.
#[test]
fn few_far_servers() {
    let servers: Vec<Server> =
        (1..200).map(|n| server(n, if n % 10 == 0 { "a" } else { "b" })).collect();
    let fleet = fleet(&servers);
    let random = Seeded::new(1);
    let ask =
        |asked: &ServerNames| fleet.candidates(SERVICE, Scope::All, asked, 4, at(10), &random);
    let mut far = std::collections::BTreeSet::new();
    for _ in 0..500 {
        let names = ask(&ServerNames::new()).into_iter().map(|candidate| candidate.server);
        far.extend(names.filter(|name| !name.as_str().ends_with('0')));
    }
    assert!(far.len() <= 16, "{} far servers", far.len());
    for name in &far {
        fleet.unlist(name.as_str(), Duration::ZERO, at(5));
    }
    let others = ask(&ServerNames::new());
    assert_eq!(others.len(), 4, "others take their place: {others:?}");
}
