//! Parsing of configuration documents.

use proptest::prelude::*;
use proptest::test_runner::Config as RunnerConfig;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use rstest::rstest;

use jackdawpin_core::name;
use jackdawpin_document::Faults;
use jackdawpin_document::MAX_DOCUMENT_BYTES;
use jackdawpin_document::config;

fn faults(text: &str) -> Vec<String> {
    let faults = config::parse(text).err();
    faults.iter().flat_map(Faults::iter).map(ToString::to_string).collect()
}

/// Guards against undetected faults, and against reports with the wrong position, field or reason.
#[rstest]
#[case::empty("", "line 1, column 1, revision: the field is missing")]
#[case::revision("revision = 0", "line 1, column 12, revision: revision must be at least 1")]
#[case::negative(
    "revision = -1",
    "line 1, column 12, revision: -1 is not a whole number of 64 bits without sign"
)]
#[case::float(
    "revision = 1.5",
    "line 1, column 12, revision: expected a whole number, found float"
)]
#[case::unknown("colour = 1\nrevision = 1", "line 1, column 1, colour: the field is unknown")]
#[case::unknown_value(
    "revision = 1\n[defaults]\n  slot = 1",
    "line 3, column 3, defaults.slot: the field is unknown"
)]
#[case::misplaced_value("revision = 1\nslots = 2", "line 2, column 1, slots: the field is unknown")]
#[case::range(
    "revision = 1\n[defaults]\nslots = 5000",
    "line 3, column 9, defaults.slots: slots is 5000, allowed is 1 to 1000"
)]
#[case::multibyte_characters(
    "revision = 1\ndefaults = { idempotent_methods = [\"äöü\"], slots = 0 }",
    "line 2, column 35, defaults.idempotent_methods: method \"äöü\" is not an HTTP method in upper case|line 2, column 52, defaults.slots: slots is 0, allowed is 1 to 1000"
)]
#[case::timeout_above_maximum(
    "revision = 1\n[defaults]\nmax_timeout_ms = 5",
    "line 3, column 18, defaults.max_timeout_ms: timeout_ms must not be larger than max_timeout_ms"
)]
#[case::single_brackets(
    "revision = 1\n[service]\nname = \"a\"",
    "line 2, column 1, service: expected an array of tables, written with [[ ]], found table"
)]
#[case::unnamed(
    "revision = 1\n[[service]]\nslots = 1",
    "line 2, column 1, service[1].name: the field is missing"
)]
#[case::bad_name(
    "revision = 1\n[[service]]\nname = \"a b\"",
    "line 3, column 8, service[1].name: character ' ' at byte 1 is not allowed in a name"
)]
#[case::duplicate_service(
    "revision = 1\n[[service]]\nname = \"a\"\n[[service]]\nname = \"a\"",
    "line 5, column 8, service[2].name: service a appears twice"
)]
#[case::path(
    "revision = 1\n[[service]]\nname = \"a\"\nidempotent_paths = [\"/x\", \"y\"]",
    "line 4, column 27, service[1].idempotent_paths[2]: path \"y\" does not start with \"/\""
)]
#[case::no_reason(
    "revision = 1\n[[service]]\nname = \"a\"\n[[exception]]\nservice = \"a\"\nout = true",
    "line 4, column 1, exception[1].reason: a reason is mandatory and must not be blank"
)]
#[case::blank_reason(
    "revision = 1\n[[exception]]\ndomain = \"d\"\nout = true\nreason = \" \\t\"",
    "line 5, column 10, exception[1].reason: a reason is mandatory and must not be blank"
)]
#[case::unknown_service(
    "revision = 1\n[[exception]]\nservice = \"a\"\nout = true\nreason = \"r\"",
    "line 3, column 11, exception[1].service: service a does not exist"
)]
#[case::no_scope(
    "revision = 1\n[[exception]]\nserver = \"s\"\nout = true\nreason = \"r\"",
    "line 2, column 1, exception[1]: the scope must be service, service and server, or domain"
)]
#[case::two_scopes(
    "revision = 1\n[[exception]]\nservice = \"a\"\ndomain = \"d\"\nout = true\nreason = \"r\"",
    "line 2, column 1, exception[1]: the scope must be service, service and server, or domain"
)]
#[case::no_change(
    "revision = 1\n[[exception]]\ndomain = \"d\"\nreason = \"r\"",
    "line 2, column 1, exception[1]: the exception changes nothing"
)]
#[case::same_scope(
    "revision = 1\n[[exception]]\ndomain = \"d\"\nout = true\nreason = \"r\"\n[[exception]]\ndomain = \"d\"\nslots = 1\nreason = \"r\"",
    "line 6, column 1, exception[2]: another exception has the same scope"
)]
#[case::request_value(
    "revision = 1\n[[exception]]\ndomain = \"d\"\nattempts = 1\nreason = \"r\"",
    "line 4, column 1, exception[1].attempts: attempts applies to requests and cannot be changed for a server or a failure domain"
)]
#[case::outage(
    "revision = 1\n[[out]]\ndomain = \"d\"\nreason = \"r\"\n[[out]]\ndomain = \"d\"\nreason = \"r\"\nslots = 1",
    "line 6, column 10, out[2].domain: failure domain d is out of service twice|line 8, column 1, out[2].slots: the field is unknown"
)]
#[case::syntax(
    "revision = 1\nrevision = 2\n[x\nslots = 1",
    "line 2, column 1, document: duplicate key|line 3, column 3, document: unclosed table, expected `]`"
)]
fn bad_document(#[case] text: &str, #[case] expected: &str) {
    assert_eq!(faults(text).join("|"), expected);
}

/// Guards against a combination of exceptions that leaves a server without a spare connection,
/// although each of them is valid alone, in any order of the document.
#[rstest]
#[case::domain_over_service(
    "domain = \"e\"\nslots = 10",
    "domain = \"d\"\nslots = 50",
    "line 12, column 9, exception[2].slots"
)]
#[case::service_under_domain(
    "domain = \"d\"\nslots = 40",
    "service = \"small\"\nconnections = 40",
    "line 12, column 15, exception[2].connections"
)]
#[case::server_over_domain(
    "domain = \"d\"\nslots = 40",
    "service = \"small\"\nserver = \"s\"\nconnections = 30",
    "line 13, column 15, exception[2].connections"
)]
#[case::domain_under_server(
    "service = \"small\"\nserver = \"s\"\nconnections = 30",
    "domain = \"d\"\nslots = 40",
    "line 13, column 9, exception[2].slots"
)]
fn invalid_combination(#[case] first: &str, #[case] second: &str, #[case] position: &str) {
    let start = "revision = 1\n[[service]]\nname = \"small\"\nconnections = 50";
    let first = format!("{start}\n[[exception]]\nreason = \"r\"\n{first}");
    assert_eq!(faults(&first), [""; 0]);
    let both = format!("{first}\n[[exception]]\nreason = \"r\"\n{second}");
    let expected = format!("{position}: connections must be larger than slots");
    assert_eq!(faults(&both), [expected]);
}

/// Guards against a parser that stops at the first fault, or that reports correct sections because
/// of a fault elsewhere.
#[test]
fn all_faults_at_once() {
    let text = "revision = 0
[defaults]
slots = 0
[[service]]
name = \"a\"
queue = -1
[[exception]]
service = \"a\"
attempts = 99
reason = \"r\"
[[exception]]
service = \"b\"
out = \"yes\"
reason = \"\"
";
    let expected = [
        "line 1, column 12, revision: revision must be at least 1",
        "line 3, column 9, defaults.slots: slots is 0, allowed is 1 to 1000",
        "line 6, column 9, service[1].queue: -1 is not a whole number of 64 bits without sign",
        "line 9, column 12, exception[1].attempts: attempts is 99, allowed is 1 to 10",
        "line 12, column 11, exception[2].service: service b does not exist",
        "line 13, column 7, exception[2].out: expected true or false, found string",
        "line 14, column 10, exception[2].reason: a reason is mandatory and must not be blank",
    ];
    assert_eq!(faults(text), expected);
}

/// Guards against a status message of unbounded size.
#[test]
fn long_report_is_truncated() {
    let text: String = (0..30).map(|index| format!("x{index} = 1\n")).collect();
    let faults = config::parse(&text).expect_err("unknown fields");
    let printed = faults.to_string();
    assert_eq!(printed.matches("the field is unknown").count(), 7);
    assert!(printed.ends_with("; and 23 more"), "{printed}");
}

/// Guards against accepting a document larger than the platform can store, and refusing the
/// largest.
#[test]
fn largest_document() {
    let start = "revision = 1\n#";
    let largest = format!("{start}{}", "x".repeat(MAX_DOCUMENT_BYTES - start.len()));
    assert!(config::parse(&largest).is_ok());
    let expected = "line 1, column 1, document: 1048577 bytes long, allowed are 1048576";
    assert_eq!(faults(&format!("{largest}x")), [expected]);
}

/// Guards against examples that are refused, and values that are parsed into the wrong field or
/// scope.
#[test]
fn examples() {
    let colavale = include_str!("../../../examples/colavale.toml");
    let colavale = config::parse(colavale).expect("the example is valid");
    let vm = |name| name::Vm::try_from(name).expect("a name");
    let domain = |name| name::Domain::try_from(name).expect("a name");
    let policy = colavale.policy("alerts", &vm("alerts-17"), &domain("fd-a")).expect("a service");
    assert_eq!((policy.slots, policy.timeout.as_millis()), (2, 1000));
    let policy = colavale.policy("alerts", &vm("alerts-18"), &domain("fd-a")).expect("a service");
    assert_eq!((policy.slots, policy.queue), (3, 256));
    assert_eq!(colavale.service("ordering").expect("a service").policy.queue, 128);

    let authority = include_str!("../../../examples/authority.toml");
    let authority = config::parse(authority).expect("the example is valid");
    let policy = authority.policy("dispatch", &vm("d-1"), &domain("fd-c")).expect("a service");
    assert_eq!((policy.probes_per_minute, policy.queue), (6, 64));
    let dispatch = authority.service("dispatch").expect("a service");
    assert_eq!(dispatch.idempotent_paths, ["/crews/search".into()]);
}

/// Guards against an example in the documentation that is refused.
#[test]
fn documented_example() {
    let page = include_str!("../../../docs/configuration.md");
    let example = page.split("```toml\n").nth(1).and_then(|rest| rest.split("```").next());
    let config = config::parse(example.expect("an example")).expect("the example is valid");
    assert_eq!((config.revision(), config.outages().len()), (42, 1));
}

fn runner() -> TestRunner {
    let config = RunnerConfig { cases: 2_000, failure_persistence: None, ..Default::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

/// Guards against a document that causes a panic instead of being refused.
#[test]
fn arbitrary_bytes() {
    let parse = |bytes: Vec<u8>| {
        let _ = config::parse(&String::from_utf8_lossy(&bytes));
        Ok(())
    };
    runner().run(&prop::collection::vec(any::<u8>(), 0..200), parse).expect("no panic");
}

/// Guards against a position outside the text when a valid document is damaged.
#[test]
fn damaged_document() {
    let text = include_str!("../../../examples/colavale.toml");
    let strategy = (0..text.len(), 0..text.len(), any::<char>());
    let damage = |(from, len, replacement): (usize, usize, char)| {
        let end = from.saturating_add(len % 16).min(text.len());
        let (Some(start), Some(rest)) = (text.get(..from), text.get(end..)) else { return Ok(()) };
        let damaged = format!("{start}{replacement}{rest}");
        let Err(faults) = config::parse(&damaged) else { return Ok(()) };
        let lines = damaged.lines().count() + 1;
        prop_assert!(faults.iter().all(|fault| (1..=lines).contains(&fault.line)));
        Ok(())
    };
    runner().run(&strategy, damage).expect("no panic");
}
