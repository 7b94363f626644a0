//! Requests at an entry that has lost contact with the servers, and those that such entries pass on.
#![allow(clippy::unwrap_used)]

mod direct_support;

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rstest::rstest;

use crate::direct_support::Behaviour;
use crate::direct_support::SeededRandom;
use crate::direct_support::ServerDoubles;
use crate::direct_support::TestDispatcher;
use crate::direct_support::UploadDouble;
use crate::direct_support::at;
use crate::direct_support::config;
use crate::direct_support::content;
use crate::direct_support::dispatcher;
use crate::direct_support::idle_report;
use crate::direct_support::member;
use crate::direct_support::ms;
use crate::direct_support::route;
use crate::direct_support::server;
use crate::direct_support::service;
use jackdawpin_core::direct::cold;
use jackdawpin_core::direct::dispatch::Call;
use jackdawpin_core::direct::dispatch::Completion;
use jackdawpin_core::direct::dispatch::Origin;
use jackdawpin_core::direct::forward::Forwards;
use jackdawpin_core::direct::forward::Report;
use jackdawpin_core::direct::forward::ServiceNames;
use jackdawpin_core::direct::peers::Peers;
use jackdawpin_core::direct::port::ForwardEnd;
use jackdawpin_core::direct::port::ForwardReply;
use jackdawpin_core::direct::port::Verdict;
use jackdawpin_core::outcome::Answer;
use jackdawpin_core::outcome::Outcome;
use jackdawpin_core::outcome::Refusal;
use jackdawpin_core::port::Clock;

const SERVERS: u16 = 6;

fn peer(number: u8) -> Ipv4Addr {
    member(number, "a").ip
}

fn answered() -> ForwardEnd {
    ForwardEnd::Answered(Answer { status: 200, headers: Vec::new(), body: Bytes::new() })
}

/// Entry 1 of four, with servers that all behave in this way.
fn entry(doubles: &ServerDoubles, behaviour: &Behaviour, seed: u64) -> Arc<TestDispatcher> {
    let servers: Vec<_> = (1..=SERVERS).map(|number| server(number, "a")).collect();
    set_all(doubles, behaviour);
    let entry = dispatcher(doubles, &servers, seed);
    entry.set_config(config(7, vec![route(true)]));
    let now = entry.clock().now();
    for number in 2..=4 {
        entry.peers.receive(peer(number), [member(number, "a")], now);
    }
    entry
}

fn set_all(doubles: &ServerDoubles, behaviour: &Behaviour) {
    for number in 1..=SERVERS {
        doubles.add(number, behaviour.clone(), idle_report());
    }
}

/// Records that entry `number` reaches the service, and how forwards to it end.
fn reach(
    entry: &TestDispatcher,
    doubles: &ServerDoubles,
    number: u8,
    reply: impl Into<ForwardReply>,
) {
    let report = Report { reached: smallvec::smallvec![service("desk")], load: 0 };
    entry.forwards.record_report(peer(number), true, report, entry.clock().now());
    doubles.0.lock().unwrap().forward_ends.insert(peer(number), reply.into());
}

async fn serve(
    entry: &Arc<TestDispatcher>,
    id: &str,
    idempotent: bool,
    origin: Option<Origin<'_>>,
) -> (Completion, Duration) {
    let (content, route, received) = (content(), route(idempotent), entry.clock().now());
    let call = Call {
        id,
        route: &route,
        received,
        caller_timeout: Some(ms(1_500)),
        waited: ms(40),
        content: &content,
        upload: None::<&UploadDouble>,
        origin,
    };
    let completion = entry.serve(call).await;
    (completion, entry.clock().now().since(received))
}

fn forwarded_to(doubles: &ServerDoubles, id: &str) -> Vec<Ipv4Addr> {
    let state = doubles.0.lock().unwrap();
    state.forwards.iter().filter(|seen| seen.id == id).map(|seen| seen.entry).collect()
}

/// Guards against a refusal of requests that another entry could serve, and against a wait for
/// servers that are known not to answer.
#[tokio::test(start_paused = true)]
async fn requests_without_contact_are_passed_on() {
    let doubles = ServerDoubles::default();
    let entry = entry(&doubles, &Behaviour::Unreachable, 1);
    reach(&entry, &doubles, 2, answered());
    let (first, took) = serve(&entry, "first", false, None).await;
    assert!(matches!(first.outcome, Outcome::Answered(_)), "{first:?}");
    assert!(took < ms(150), "{took:?}");
    tokio::time::sleep(ms(200)).await;
    reach(&entry, &doubles, 2, answered());
    let (later, took) = serve(&entry, "later", false, None).await;
    assert!(matches!(later.outcome, Outcome::Answered(_)), "{later:?}");
    assert_eq!(took, Duration::ZERO);
    let seen = doubles.0.lock().unwrap().forwards.last().cloned().unwrap();
    assert_eq!((seen.config_version, seen.max_attempts, seen.waited), (7, 2, ms(40)));
    assert!(seen.time_left < ms(800), "{seen:?}");
}

/// Guards against useless hops: while no entry reaches a service, because its servers are down, while
/// reports are out of date, and from the entry that a request was passed on to.
#[tokio::test(start_paused = true)]
async fn useless_requests_are_not_passed_on() {
    let doubles = ServerDoubles::default();
    let entry = entry(&doubles, &Behaviour::Unreachable, 2);
    let (refused, _) = serve(&entry, "down", false, None).await;
    assert_eq!(refused.outcome, Outcome::Refused(Refusal::NoServer));
    reach(&entry, &doubles, 2, answered());
    let desk = service("desk");
    let origin = Origin { entry: peer(3), service: &desk, max_attempts: 1 };
    let (refused, _) = serve(&entry, "second hop", false, Some(origin)).await;
    assert_eq!(refused.outcome, Outcome::Refused(Refusal::NoServer));
    tokio::time::sleep(ms(1_000)).await;
    let (refused, _) = serve(&entry, "old report", false, None).await;
    assert_eq!(refused.outcome, Outcome::Refused(Refusal::NoServer));
    assert!(doubles.0.lock().unwrap().forwards.is_empty());
}

/// Guards against a request that is passed on when servers answer, however busy they are.
#[tokio::test(start_paused = true)]
async fn requests_with_contact_are_not_passed_on() {
    let doubles = ServerDoubles::default();
    let entry = entry(&doubles, &Behaviour::Shed, 3);
    reach(&entry, &doubles, 2, answered());
    let (refused, _) = serve(&entry, "shed", false, None).await;
    assert_eq!(refused.outcome, Outcome::Refused(Refusal::Attempts));
    assert!(doubles.0.lock().unwrap().forwards.is_empty());
}

/// Guards against a second run of a request that may have run behind a lost answer, and against a
/// repeatable one that is given up although a further entry could serve it.
#[rstest]
#[case::unsafe_lost(false, ForwardEnd::MayHaveRun(Verdict::CONNECTION_BROKEN), 1, false)]
#[case::safe_lost(true, ForwardEnd::MayHaveRun(Verdict::CONNECTION_BROKEN), 2, true)]
#[case::not_sent(false, ForwardEnd::NotSent, 2, true)]
#[case::lost_contact_too(false, ForwardEnd::Refused(Refusal::NoServer, None), 2, true)]
#[case::full(false, ForwardEnd::Refused(Refusal::Full, None), 2, true)]
#[case::overload(false, ForwardEnd::Refused(Refusal::QueueFull, None), 1, false)]
#[tokio::test(start_paused = true)]
async fn further_entry_only_if_it_may_run_there(
    #[case] idempotent: bool,
    #[case] end: ForwardEnd,
    #[case] hops: usize,
    #[case] is_answered: bool,
) {
    let doubles = ServerDoubles::default();
    let entry = entry(&doubles, &Behaviour::Unreachable, 4);
    let _ = serve(&entry, "loses contact", false, None).await;
    tokio::time::sleep(ms(200)).await;
    reach(&entry, &doubles, 2, end.clone());
    reach(&entry, &doubles, 3, end);
    let (first, _) = serve(&entry, "both", idempotent, None).await;
    assert_eq!(forwarded_to(&doubles, "both").len(), hops, "{first:?}");
    assert!(!matches!(first.outcome, Outcome::Answered(_)));
    // Entries that could take nothing are not asked for more until they report again.
    reach(&entry, &doubles, 4, answered());
    let (second, _) = serve(&entry, "third", idempotent, None).await;
    if is_answered {
        assert_eq!(forwarded_to(&doubles, "third"), [peer(4)]);
        assert!(matches!(second.outcome, Outcome::Answered(_)), "{second:?}");
    }
}

/// Guards against a refusal of a request that may have run, whatever other entries answer: 300 runs
/// with random ends.
#[tokio::test(start_paused = true)]
async fn refusals_are_true_over_two_hops() {
    for seed in 0..300 {
        let mut random = fastrand::Rng::with_seed(seed);
        let doubles = ServerDoubles::default();
        let entry = entry(&doubles, &Behaviour::Unreachable, seed);
        let mut may_have_run = Vec::new();
        for number in 2..=4 {
            let end = match random.u8(..5) {
                0 => answered(),
                1 => ForwardEnd::MayHaveRun(Verdict::TIMEOUT),
                2 => ForwardEnd::Refused(Refusal::NoServer, None),
                3 => ForwardEnd::Refused(Refusal::Attempts, None),
                _ => ForwardEnd::NotSent,
            };
            if matches!(end, ForwardEnd::Answered(_) | ForwardEnd::MayHaveRun(_)) {
                may_have_run.push(peer(number));
            }
            reach(&entry, &doubles, number, end);
        }
        let idempotent = random.bool();
        let (completion, took) = serve(&entry, "x", idempotent, None).await;
        let seen = forwarded_to(&doubles, "x");
        let runs = seen.iter().filter(|ip| may_have_run.contains(ip)).count();
        assert!(seen.len() <= 2 && took <= ms(800), "seed {seed}: {seen:?} in {took:?}");
        assert!(idempotent || runs <= 1, "seed {seed}: may have run {runs} times");
        let refused = matches!(completion.outcome, Outcome::Refused(_));
        assert!(!refused || runs == 0, "seed {seed}: refused, but it may have run");
    }
}

/// Guards against entries that go on to pass requests on after contact is back, and against the
/// back-off of servers that were silent only because of the cut.
#[tokio::test(start_paused = true)]
async fn servers_are_used_once_contact_is_back() {
    let doubles = ServerDoubles::default();
    let entry = entry(&doubles, &Behaviour::Unreachable, 5);
    for _ in 0..60 {
        reach(&entry, &doubles, 2, answered());
        let _ = serve(&entry, "cut", true, None).await;
        tokio::time::sleep(ms(50)).await;
    }
    set_all(&doubles, &Behaviour::Answer(200, ms(50)));
    for _ in 0..30 {
        reach(&entry, &doubles, 2, answered());
        let (completion, _) = serve(&entry, "back", true, None).await;
        assert!(matches!(completion.outcome, Outcome::Answered(_)));
        tokio::time::sleep(ms(100)).await;
    }
    let (completion, _) = serve(&entry, "direct", true, None).await;
    assert!(completion.forwards.is_empty() && completion.sends == 1, "{completion:?}");
    let now = entry.clock().now();
    let scope = jackdawpin_core::direct::fleet::Scope::All;
    let none = jackdawpin_core::direct::fleet::ServerNames::new();
    let usable = entry.fleet.candidates("desk", scope, &none, 24, now, entry.random());
    assert_eq!(usable.len(), usize::from(SERVERS));
}

/// Guards against a carrier that takes most of the requests while others are idle.
#[tokio::test(start_paused = true)]
async fn less_loaded_entries_get_more() {
    let doubles = ServerDoubles::default();
    let entry = entry(&doubles, &Behaviour::Unreachable, 6);
    let now = entry.clock().now();
    for (number, load) in [(2, 30), (3, 0), (4, 0)] {
        let report = Report { reached: smallvec::smallvec![service("desk")], load };
        entry.forwards.record_report(peer(number), true, report, now);
    }
    let chosen = || entry.forwards.choose(&service("desk"), &[], now, entry.random()).unwrap();
    let hops: Vec<_> = (0..40).map(|_| chosen()).collect();
    let count = |number| hops.iter().filter(|hop| hop.entry == peer(number)).count();
    assert_eq!(count(2), 0);
    assert!(count(3).abs_diff(count(4)) <= 12, "{} and {}", count(3), count(4));
}

/// Guards against requests to a leaving server after contact is back: the entry that passes its
/// answer on must know it, too.
#[tokio::test(start_paused = true)]
async fn leaving_server_is_known_from_forwarded_answers() {
    let doubles = ServerDoubles::default();
    let entry = entry(&doubles, &Behaviour::Unreachable, 7);
    let leaving = Some(server(1, "a").name);
    reach(&entry, &doubles, 2, ForwardReply { end: answered(), sends: 1, leaving });
    let _ = serve(&entry, "told", false, None).await;
    assert_eq!(entry.fleet.server_counts(entry.clock().now()), (5, 6));
}

/// Guards against attempts beyond the route's limit over both entries, against a service that the later
/// configuration of the second entry no longer allows, and against an entry that says
/// it reaches a service that it has lost contact with, or that says so while it leaves.
#[tokio::test(start_paused = true)]
async fn the_second_entry_keeps_the_limits_of_the_first() {
    let doubles = ServerDoubles::default();
    let entry = entry(&doubles, &Behaviour::Shed, 8);
    let desk = [service("desk")];
    let origin = Origin { entry: peer(3), service: &desk[0], max_attempts: 1 };
    let (refused, _) = serve(&entry, "once", true, Some(origin)).await;
    assert_eq!((refused.sends, refused.outcome), (1, Outcome::Refused(Refusal::Attempts)));
    let other = service("moved");
    let origin = Origin { entry: peer(3), service: &other, max_attempts: 1 };
    let (refused, _) = serve(&entry, "old route", true, Some(origin)).await;
    assert_eq!((refused.sends, refused.outcome), (0, Outcome::Refused(Refusal::NotReady)));
    tokio::time::sleep(ms(400)).await;
    assert_eq!(entry.report_reached(&desk).await.reached.as_slice(), desk);
    tokio::time::sleep(ms(400)).await;
    set_all(&doubles, &Behaviour::Unreachable);
    assert!(entry.report_reached(&desk).await.reached.is_empty());
    set_all(&doubles, &Behaviour::Shed);
    tokio::time::sleep(ms(3_000)).await;
    entry.peers.leave();
    assert!(entry.report_reached(&desk).await.reached.is_empty());
}

/// Guards against places on cold and limited servers that nobody uses, because their owners have lost
/// contact, and against more owners than the server can bear, whichever entries were asked and
/// while contact comes back: 200 runs.
#[test]
fn owners_without_contact_are_replaced_by_as_many() {
    let desk = ServiceNames::from_iter([service("desk")]);
    for seed in 0..200 {
        let mut random = fastrand::Rng::with_seed(seed);
        let entries = random.u8(4..30);
        let lost: Vec<u8> = (1..=entries).filter(|_| random.u8(..10) < 6).collect();
        let all_asked = random.bool();
        let forwards: Vec<Forwards> = (0..entries).map(|_| Forwards::default()).collect();
        let peers: Vec<Peers> = (1..=entries).map(|own| peers_of(own, entries)).collect();
        for number in &lost {
            let own = usize::from(number - 1);
            forwards[own].want(&desk[0], at(1_000));
            let random_source = SeededRandom::new(seed);
            forwards[own].next_round(&peers[own], at(1_000), &random_source).unwrap();
            for asked in (0..usize::from(entries)).filter(|asked| *asked != own) {
                if all_asked || random.bool() {
                    forwards[asked].record_question(peer(*number), &desk, at(1_001));
                }
            }
        }
        for now in [at(1_100), at(1_550), at(1_650), at(2_100)] {
            let owners = |number: &u8| {
                let own = usize::from(number - 1);
                let without = forwards[own].entries_without(&desk[0], now);
                !forwards[own].has_given_up_share(&desk[0], now)
                    && peers[own].rank_for_server("s1", "a", &without, now) < cold::OWNER_COUNT
            };
            let owners = (1..=entries).filter(owners).count();
            assert!(owners <= cold::OWNER_COUNT, "seed {seed} {now:?}: {owners} owners");
            let able = usize::from(entries) - lost.len();
            if all_asked && now == at(1_100) {
                assert_eq!(owners, able.min(cold::OWNER_COUNT), "seed {seed}");
            }
        }
    }
}

/// What entry `own` knows of itself and of all others.
fn peers_of(own: u8, entries: u8) -> Peers {
    let peers = Peers::new(member(own, "a"), Vec::new());
    for number in (1..=entries).filter(|number| *number != own) {
        peers.receive(peer(number), [member(number, "a")], at(1_000));
    }
    peers
}
