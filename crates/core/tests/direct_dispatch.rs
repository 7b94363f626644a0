//! The dispatch of requests, with server doubles and paused time.
#![allow(clippy::unwrap_used)]

mod direct_support;

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;

use crate::direct_support::Behaviour;
use crate::direct_support::PausedClock;
use crate::direct_support::ServerDoubles;
use crate::direct_support::TestDispatcher;
use crate::direct_support::UploadDouble;
use crate::direct_support::cold_report;
use crate::direct_support::config;
use crate::direct_support::content;
use crate::direct_support::dispatcher;
use crate::direct_support::domain;
use crate::direct_support::idle_report;
use crate::direct_support::loaded_report;
use crate::direct_support::member;
use crate::direct_support::ms;
use crate::direct_support::route;
use crate::direct_support::server;
use jackdawpin_core::direct::config::Kind;
use jackdawpin_core::direct::config::Route;
use jackdawpin_core::direct::connections;
use jackdawpin_core::direct::dispatch::Call;
use jackdawpin_core::direct::dispatch::Completion;
use jackdawpin_core::outcome::Outcome;
use jackdawpin_core::outcome::Refusal;
use jackdawpin_core::outcome::UnknownReason;
use jackdawpin_core::port::Clock;

/// Time that a server double takes to answer.
const WORK_TIME: Duration = Duration::from_millis(100);

/// Serves a request of a caller that waits for 1.5 s, and returns the time it took.
async fn serve(
    dispatcher: &Arc<TestDispatcher>,
    id: &str,
    route: &Route,
) -> (Completion, Duration) {
    let content = content();
    let received = dispatcher.clock().now();
    let call = Call {
        id,
        route,
        received,
        caller_timeout: Some(ms(1_500)),
        waited: Duration::ZERO,
        content: &content,
        upload: None,
        origin: None,
    };
    let completion = dispatcher.serve(call).await;
    (completion, dispatcher.clock().now().since(received))
}

/// An entry with one server for each behaviour, all idle and in the entry's own failure domain.
fn entry(doubles: &ServerDoubles, behaviours: &[Behaviour], seed: u64) -> Arc<TestDispatcher> {
    let mut servers = Vec::new();
    for (number, behaviour) in (1..).zip(behaviours) {
        doubles.add(number, behaviour.clone(), idle_report());
        servers.push(server(number, "a"));
    }
    let dispatcher = dispatcher(doubles, &servers, seed);
    dispatcher.set_config(config(1, vec![route(true)]));
    dispatcher
}

/// Guards against a dispatcher that does not serve at all, or that takes longer than the probe and
/// the work.
#[tokio::test(start_paused = true)]
async fn request_is_served() {
    let doubles = ServerDoubles::default();
    let dispatcher =
        entry(&doubles, &[Behaviour::Answer(200, WORK_TIME), Behaviour::Answer(200, WORK_TIME)], 1);
    let (completion, took) = serve(&dispatcher, "1", &route(true)).await;
    assert!(matches!(completion.outcome, Outcome::Answered(answer) if answer.status == 200));
    assert!(took <= WORK_TIME + ms(5), "{took:?}");
    assert_eq!(doubles.runs("1"), 1);
}

/// Guards against a request that is not idempotent and runs twice, and against a refusal of a
/// request that may have run, whatever its servers do. 400 runs with random servers.
#[tokio::test(start_paused = true)]
async fn at_most_once_and_true_refusals() {
    for seed in 0..400 {
        let mut random = fastrand::Rng::with_seed(seed);
        let doubles = ServerDoubles::default();
        let behaviours: Vec<Behaviour> = (0..random.usize(1..7))
            .map(|_| match random.u8(..6) {
                0 => Behaviour::Answer(200, WORK_TIME),
                1 => Behaviour::Answer(500, WORK_TIME),
                2 => Behaviour::Shed,
                3 => Behaviour::BreakConnection,
                4 => Behaviour::Unreachable,
                _ => Behaviour::NeverAnswer,
            })
            .collect();
        let dispatcher = entry(&doubles, &behaviours, seed);
        for (id, idempotent) in [("once", false), ("often", true), ("again", false)] {
            let (completion, took) = serve(&dispatcher, id, &route(idempotent)).await;
            let runs = doubles.runs(id);
            if !idempotent {
                assert!(runs <= 1, "seed {seed} {behaviours:?}: {id} ran {runs} times");
            }
            assert!(runs <= 2, "seed {seed}: more servers than the route allows");
            if matches!(completion.outcome, Outcome::Refused(_)) {
                assert_eq!(runs, 0, "seed {seed} {behaviours:?}: refused, but it ran");
                assert!(completion.retry_after.is_some());
            }
            assert!(took <= ms(800), "seed {seed}: took {took:?}, longer than its route allows");
        }
    }
}

/// Guards against an idempotent request that fails although another server could serve it.
#[rstest]
#[case::error(Behaviour::Answer(500, Duration::from_millis(20)))]
#[case::broken(Behaviour::BreakConnection)]
#[case::shed(Behaviour::Shed)]
#[case::unreachable(Behaviour::Unreachable)]
#[tokio::test(start_paused = true)]
async fn retried_on_another_server(#[case] bad: Behaviour) {
    for seed in 0..10 {
        let doubles = ServerDoubles::default();
        let dispatcher = entry(&doubles, &[bad.clone(), Behaviour::Answer(200, WORK_TIME)], seed);
        let (completion, _) = serve(&dispatcher, "1", &route(true)).await;
        assert!(
            matches!(&completion.outcome, Outcome::Answered(answer) if answer.status == 200),
            "seed {seed}: {completion:?}"
        );
    }
}

/// Guards against an idempotent request that waits for a server without an answer until its latency
/// target has passed.
#[tokio::test(start_paused = true)]
async fn hedge_beside_an_unresponsive_server() {
    let mut hedged = 0;
    for seed in 0..20 {
        let doubles = ServerDoubles::default();
        let dispatcher =
            entry(&doubles, &[Behaviour::NeverAnswer, Behaviour::Answer(200, ms(60))], seed);
        // The usual time is known from earlier answers.
        doubles.add(1, Behaviour::Answer(200, ms(60)), idle_report());
        for id in ["a", "b", "c"] {
            serve(&dispatcher, id, &route(true)).await;
        }
        doubles.add(1, Behaviour::NeverAnswer, idle_report());
        let (completion, took) = serve(&dispatcher, "1", &route(true)).await;
        hedged += u32::from(completion.hedged);
        assert!(matches!(completion.outcome, Outcome::Answered(_)), "seed {seed}");
        assert!(took <= ms(300), "seed {seed}: {took:?}");
        let dropped = doubles.0.lock().unwrap().dropped;
        assert_eq!(dropped, u32::from(completion.hedged), "the losing attempt must be dropped");
        let verdicts: Vec<_> = completion.attempts.iter().map(|attempt| attempt.verdict).collect();
        let expected: &[_] = if completion.hedged { &["ran", "dropped"] } else { &["ran"] };
        assert_eq!(verdicts, expected, "seed {seed}: an attempt is missing in the log");
    }
    assert!(hedged > 0, "no seed chose the server that does not answer");
}

/// Guards against an idempotent request that ends without an answer because its server lost it,
/// when there is time for another attempt but not within the latency target. This happened in a
/// recorded incident.
#[tokio::test(start_paused = true)]
async fn hedge_after_the_latency_target() {
    let mut hedged = 0;
    for seed in 0..20 {
        let doubles = ServerDoubles::default();
        let dispatcher = entry(
            &doubles,
            &[Behaviour::Answer(200, ms(60)), Behaviour::Answer(200, ms(60))],
            seed,
        );
        let tight = Route { latency_target: Some(ms(130)), ..route(true) };
        for id in ["a", "b", "c"] {
            serve(&dispatcher, id, &tight).await;
        }
        doubles.add(1, Behaviour::NeverAnswer, idle_report());
        let (completion, took) = serve(&dispatcher, "1", &tight).await;
        hedged += u32::from(completion.hedged);
        assert!(matches!(completion.outcome, Outcome::Answered(_)), "seed {seed}: {completion:?}");
        assert!(took <= ms(400), "seed {seed}: {took:?}");
    }
    assert!(hedged > 0, "no seed chose the server that does not answer");
}

/// Guards against a request that is not idempotent and waits beyond its timeout, or is refused
/// although it may have run.
#[tokio::test(start_paused = true)]
async fn unanswered_request() {
    let doubles = ServerDoubles::default();
    let dispatcher = entry(&doubles, &[Behaviour::NeverAnswer, Behaviour::NeverAnswer], 1);
    let (completion, took) = serve(&dispatcher, "1", &route(false)).await;
    assert_eq!(completion.outcome, Outcome::Unknown(UnknownReason::Timeout));
    assert!((ms(750)..=ms(800)).contains(&took), "{took:?}");
}

/// Guards against a delayed refusal: overload and missing servers must be reported at once.
#[rstest]
#[case::busy(true, Refusal::QueueFull, 60)]
#[case::no_server(false, Refusal::NoServer, 120)]
#[tokio::test(start_paused = true)]
async fn refused_at_once(#[case] busy: bool, #[case] expected: Refusal, #[case] max_millis: u64) {
    let doubles = ServerDoubles::default();
    let dispatcher = entry(&doubles, &[], 1);
    if busy {
        doubles.add(1, Behaviour::Answer(200, WORK_TIME), loaded_report(9, 400));
        dispatcher.fleet.update(server(1, "a"), dispatcher.clock().now());
    }
    let (completion, took) = serve(&dispatcher, "1", &route(true)).await;
    assert_eq!(completion.outcome, Outcome::Refused(expected));
    assert!(took <= ms(max_millis), "{took:?}");
}

/// Guards against refusals in the wrong order of priorities: less urgent requests are refused
/// first.
#[tokio::test(start_paused = true)]
async fn less_urgent_is_refused_first() {
    let doubles = ServerDoubles::default();
    let dispatcher = entry(&doubles, &[], 1);
    // The expected time is about the latency target.
    doubles.add(1, Behaviour::Answer(200, WORK_TIME), loaded_report(2, 160));
    dispatcher.fleet.update(server(1, "a"), dispatcher.clock().now());
    let urgent = Route { priority: 0, ..route(true) };
    let less_urgent = Route { priority: 2, ..route(true) };
    let (urgent, _) = serve(&dispatcher, "1", &urgent).await;
    let (less_urgent, _) = serve(&dispatcher, "2", &less_urgent).await;
    assert!(matches!(urgent.outcome, Outcome::Answered(_)), "{urgent:?}");
    assert_eq!(less_urgent.outcome, Outcome::Refused(Refusal::QueueFull));
}

/// Guards against retries beyond the service's budget when every server sheds.
#[tokio::test(start_paused = true)]
async fn retries_within_the_budget() {
    let doubles = ServerDoubles::default();
    let behaviours = vec![Behaviour::Shed; 6];
    let dispatcher = entry(&doubles, &behaviours, 1);
    let requests = 500;
    for id in 0..requests {
        serve(&dispatcher, &id.to_string(), &route(true)).await;
    }
    let arrivals = doubles.arrivals().len();
    // The configuration allows retries for a fifth of the requests, and 60 more.
    let max_arrivals = requests + requests / 5 + 60;
    assert!(arrivals <= max_arrivals, "{arrivals} arrivals of {requests} requests");
    assert!(arrivals > requests + 60, "{arrivals}: the budget is not used");
}

/// Guards against a request that its caller has given up and that still uses a server.
#[tokio::test(start_paused = true)]
async fn abandoned_request() {
    let doubles = ServerDoubles::default();
    let dispatcher = entry(&doubles, &[Behaviour::NeverAnswer], 1);
    let served = tokio::time::timeout(ms(50), serve(&dispatcher, "1", &route(false))).await;
    assert!(served.is_err());
    assert_eq!(doubles.0.lock().unwrap().dropped, 1, "the attempt must end with the request");
}

/// Guards against requests to a failure domain that is out of service, also when they are retried.
#[tokio::test(start_paused = true)]
async fn domain_out_of_service() {
    let doubles = ServerDoubles::default();
    let dispatcher = entry(&doubles, &[Behaviour::Shed], 1);
    doubles.add(2, Behaviour::Answer(200, WORK_TIME), idle_report());
    dispatcher.fleet.update(server(2, "b"), dispatcher.clock().now());
    dispatcher.fleet.set_domain_out(&domain("b"), true);
    let (completion, _) = serve(&dispatcher, "1", &route(true)).await;
    assert!(matches!(completion.outcome, Outcome::Refused(_)), "{completion:?}");
    let reached = doubles.arrivals();
    assert!(reached.iter().all(|(_, name)| name.as_str() == "s1"), "{reached:?}");
}

/// Guards against a change to an older configuration, and against requests that are routed without
/// a configuration.
#[tokio::test(start_paused = true)]
async fn config_version_only_increases() {
    let doubles = ServerDoubles::default();
    let dispatcher = dispatcher(&doubles, &[], 1);
    assert_eq!(dispatcher.route("a.example", "/r/1").err(), Some(Refusal::NotReady));
    assert!(dispatcher.set_config(config(7, vec![route(true)])));
    assert!(!dispatcher.set_config(config(7, vec![])));
    assert!(!dispatcher.set_config(config(6, vec![])));
    assert!(dispatcher.route("a.example", "/r/1").is_ok());
    assert!(dispatcher.set_config(config(12, vec![])));
    dispatcher.record_proof(dispatcher.clock().now());
    assert_eq!(dispatcher.route("a.example", "/r/1").err(), Some(Refusal::UnknownService));
}

/// Guards against more requests than cold servers can take when all servers are cold. The only
/// entry owns all of them.
#[tokio::test(start_paused = true)]
async fn only_cold_servers() {
    let doubles = ServerDoubles::default();
    let dispatcher = entry(&doubles, &[], 1);
    for number in 1..=3 {
        doubles.add(number, Behaviour::Answer(200, ms(10)), cold_report());
        dispatcher.fleet.update(server(number, "a"), dispatcher.clock().now());
    }
    let begun = tokio::time::Instant::now();
    let mut id = 0;
    while begun.elapsed() < ms(3_000) {
        id += 1;
        serve(&dispatcher, &id.to_string(), &route(true)).await;
    }
    let arrivals = doubles.arrivals().len();
    // The cold rate of 7.3 per second, times the factor of 1.5, plus the slack of 5, for each of 3
    // servers and 3 s, and one more second because the windows may overlap the end.
    assert!(arrivals <= 16 * 3 * 4, "{arrivals}");
    assert!(arrivals >= 3 * 3, "{arrivals}: cold servers get no requests");
    let _: &PausedClock = dispatcher.clock();
}

/// Guards against an entry that is cut off from the store and from all its peers and goes on
/// sending to a failure domain that was taken out of service meanwhile. Guards also against an
/// entry that refuses requests because only the store is unavailable.
#[tokio::test(start_paused = true)]
async fn isolated_entry_is_fenced() {
    let doubles = ServerDoubles::default();
    let dispatcher = entry(&doubles, &[Behaviour::Answer(200, WORK_TIME)], 1);
    let route = || dispatcher.route("a.example", "/r/1").err();
    tokio::time::sleep(ms(8_000)).await;
    assert_eq!(route(), None, "an entry that never had peers is not cut off from them");
    dispatcher.peers.receive(member(2, "a").ip, [member(2, "a")], dispatcher.clock().now());
    tokio::time::sleep(ms(3_000)).await;
    assert_eq!(route(), None, "a peer is live");
    tokio::time::sleep(ms(1_000)).await;
    assert_eq!(route(), Some(Refusal::Fenced));
    dispatcher.record_proof(dispatcher.clock().now());
    assert_eq!(route(), None);
    tokio::time::sleep(ms(5_100)).await;
    assert_eq!(route(), Some(Refusal::Fenced));
}

/// Guards against an entry that denies a proper request, which its caller will not retry: the route
/// was added while the entry could not learn of it.
#[tokio::test(start_paused = true)]
async fn route_denied_without_a_recent_proof() {
    let doubles = ServerDoubles::default();
    let dispatcher = entry(&doubles, &[Behaviour::Answer(200, WORK_TIME)], 1);
    let refusal = |path| dispatcher.route("a.example", path).err();
    assert_eq!(refusal("/added/1"), Some(Refusal::Fenced), "nothing was proved since the start");
    dispatcher.record_proof(dispatcher.clock().now());
    tokio::time::sleep(ms(1_900)).await;
    assert_eq!(refusal("/added/1"), Some(Refusal::UnknownService));
    tokio::time::sleep(ms(200)).await;
    assert_eq!(refusal("/added/1"), Some(Refusal::Fenced), "the proof is too old");
    assert_eq!(refusal("/r/1"), None, "known routes are served all the same");
    dispatcher.record_proof(dispatcher.clock().now());
    assert_eq!(refusal("/added/1"), Some(Refusal::UnknownService));
    dispatcher.discard_proof();
    assert_eq!(refusal("/added/1"), Some(Refusal::Fenced), "the process was suspended");
}

/// Guards against refusals for overload while servers are idle. Work that takes longer than its
/// latency target, or one answer that was delayed by a suspended process, would otherwise cause
/// all further requests of a route to be refused permanently. Found by the soak test with seed 37.
#[tokio::test(start_paused = true)]
async fn work_slower_than_the_latency_target() {
    let doubles = ServerDoubles::default();
    let dispatcher =
        entry(&doubles, &[Behaviour::Answer(200, ms(450)), Behaviour::Answer(200, ms(450))], 1);
    for id in 0..5 {
        let (completion, _) = serve(&dispatcher, &id.to_string(), &route(false)).await;
        assert!(matches!(completion.outcome, Outcome::Answered(_)), "{completion:?}");
    }
    for number in 1..=2 {
        doubles.add(number, Behaviour::Answer(200, ms(30)), idle_report());
    }
    for id in 10..100 {
        serve(&dispatcher, &id.to_string(), &route(false)).await;
    }
    let usual = dispatcher.fleet.usual_time("r", ms(0));
    assert!(usual < ms(60), "{usual:?}: the estimate does not recover");
}

/// Guards against an answer that is ready but not returned while the server of a hedge is selected.
#[tokio::test(start_paused = true)]
async fn answer_while_a_hedge_is_selected() {
    let mut hedges = 0;
    for seed in 0..20 {
        let doubles = ServerDoubles::default();
        let dispatcher = entry(
            &doubles,
            &[Behaviour::Answer(200, ms(200)), Behaviour::Answer(200, ms(200))],
            seed,
        );
        let slow_route = Route { latency_target: Some(ms(700)), ..route(true) };
        for id in ["a", "b", "c"] {
            serve(&dispatcher, id, &slow_route).await;
        }
        // The first answer is late enough for a hedge. Its server takes long to select, because the
        // other one does not answer probes.
        doubles.add(1, Behaviour::Answer(200, ms(330)), idle_report());
        doubles.add(2, Behaviour::Unreachable, idle_report());
        let before = doubles.0.lock().unwrap().probes;
        let (completion, took) = serve(&dispatcher, "1", &slow_route).await;
        hedges += u32::from(doubles.0.lock().unwrap().probes > before + 2);
        assert!(matches!(completion.outcome, Outcome::Answered(_)), "seed {seed}: {completion:?}");
        assert!(took <= ms(330 + 15), "seed {seed}: {took:?}");
    }
    assert!(hedges > 0, "no seed looked for a second server");
}

/// Guards against an error answer that is lost because the server of the hedge never answers.
#[tokio::test(start_paused = true)]
async fn error_answer_beside_an_unanswered_hedge() {
    let mut hedged = 0;
    for seed in 0..20 {
        let doubles = ServerDoubles::default();
        let dispatcher = entry(
            &doubles,
            &[Behaviour::Answer(200, ms(60)), Behaviour::Answer(200, ms(60))],
            seed,
        );
        for id in ["a", "b", "c"] {
            serve(&dispatcher, id, &route(true)).await;
        }
        doubles.add(1, Behaviour::Answer(500, ms(150)), idle_report());
        doubles.add(2, Behaviour::NeverAnswer, idle_report());
        let (completion, _) = serve(&dispatcher, "1", &route(true)).await;
        hedged += u32::from(completion.hedged);
        assert!(
            matches!(&completion.outcome, Outcome::Answered(answer) if answer.status == 500),
            "seed {seed}: {completion:?}"
        );
    }
    assert!(hedged > 0, "no seed sent to both servers");
}

/// Guards against entries that together keep more idle connections than a server accepts, so that
/// it resets further ones, and against entries that open a connection for each request.
#[rstest]
#[case(1, 16)]
#[case(16, 7)]
#[case(99, 1)]
#[case(1_000, 1)]
fn idle_connection_limit(#[case] entries: usize, #[case] expected: usize) {
    assert_eq!(connections::idle_limit(240, entries), expected);
}

/// Guards against a connection limit of the configuration that has no effect.
#[tokio::test(start_paused = true)]
async fn idle_connections_follow_the_config() {
    let doubles = ServerDoubles::default();
    let dispatcher = entry(&doubles, &[Behaviour::Answer(200, WORK_TIME)], 1);
    for number in 2..=20 {
        let peer = member(number, "a");
        dispatcher.peers.receive(peer.ip, [peer], dispatcher.clock().now());
    }
    serve(&dispatcher, "1", &route(true)).await;
    assert_eq!(doubles.0.lock().unwrap().max_idle, Some(6));
}

/// Guards against requests that are refused by an entry that is about to have its first
/// configuration, and against a wait that goes on although there is one. After a power-off of all
/// entries, 80 requests were refused in the half second of the start.
#[tokio::test(start_paused = true)]
async fn wait_for_first_config() {
    let doubles = ServerDoubles::default();
    let dispatcher = dispatcher(&doubles, &[], 1);
    let waiting = tokio::spawn({
        let dispatcher = Arc::clone(&dispatcher);
        async move { dispatcher.wait_for_config().await }
    });
    tokio::time::sleep(ms(40)).await;
    assert!(!waiting.is_finished());
    dispatcher.set_config(config(1, vec![route(true)]));
    waiting.await.unwrap();
    let again = tokio::time::timeout(ms(1), dispatcher.wait_for_config()).await;
    assert!(again.is_ok(), "a configuration is in force");
}

/// Guards against an upload that is sent to a second server after the first has received a part of
/// its body, which no longer exists, and against one that is given up before any of it was sent.
#[rstest]
#[case::received_and_shed(Behaviour::Shed, false)]
#[case::not_sent(Behaviour::Unreachable, true)]
#[tokio::test(start_paused = true)]
async fn upload_is_sent_once(#[case] bad: Behaviour, #[case] retried: bool) {
    let mut answered = 0;
    for seed in 0..10 {
        let doubles = ServerDoubles::default();
        let dispatcher = entry(&doubles, &[bad.clone(), Behaviour::Answer(200, WORK_TIME)], seed);
        // The first server looks like the best one when it is probed.
        doubles.add(2, Behaviour::Answer(200, WORK_TIME), loaded_report(2, 100));
        let route = Route { kind: Kind::Upload, ..route(false) };
        let (content, upload) = (content(), UploadDouble::default());
        let call = Call {
            id: "1",
            route: &route,
            received: dispatcher.clock().now(),
            caller_timeout: Some(ms(1_500)),
            waited: Duration::ZERO,
            content: &content,
            upload: Some(&upload),
            origin: None,
        };
        let completion = dispatcher.serve(call).await;
        answered += u32::from(matches!(completion.outcome, Outcome::Answered(_)));
        assert!(doubles.arrivals().len() <= 1, "seed {seed}: {:?}", doubles.arrivals());
    }
    assert_eq!(answered, if retried { 10 } else { 0 });
}

/// Guards against a request that is taken during a planned stop and cut at its end, and against a
/// refusal of one that ends before that.
#[tokio::test(start_paused = true)]
async fn requests_that_may_outlast_a_planned_stop_are_refused() {
    let doubles = ServerDoubles::default();
    let dispatcher = entry(&doubles, &[Behaviour::Answer(200, WORK_TIME)], 1);
    let now = dispatcher.clock().now();
    dispatcher.set_stop(now + ms(1_000));
    let (short, _) = serve(&dispatcher, "short", &route(false)).await;
    assert!(matches!(short.outcome, Outcome::Answered(_)), "{short:?}");
    tokio::time::sleep(ms(200)).await;
    let (long, took) = serve(&dispatcher, "long", &route(false)).await;
    assert_eq!((long.outcome, took), (Outcome::Refused(Refusal::Leaving), Duration::ZERO));
    assert_eq!(doubles.runs("long"), 0);
    assert!(long.retry_after.unwrap() <= ms(30), "{:?}", long.retry_after);
}
