//! Parsing of VM lists.

use proptest::test_runner::Config as RunnerConfig;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use rstest::rstest;

use jackdawpin_core::holder::member::Role;
use jackdawpin_core::holder::member::VmState;
use jackdawpin_document::decode_text;
use jackdawpin_document::digest;
use jackdawpin_document::vm_list;

/// Guards against undetected faults, and against reports with the wrong position, field or reason.
#[rstest]
#[case::empty("", "line 1, column 1, document: EOF while parsing a value")]
#[case::syntax("{\"version\": 1,\n \"vms\": [}", "line 2, column 10, document: expected value")]
#[case::trailing("{} x", "line 1, column 4, document: trailing characters")]
#[case::not_object("[]", "line 1, column 1, document: expected an object, found an array")]
#[case::missing(
    "{}",
    "line 1, column 1, version: the field is missing|line 1, column 1, vms: the field is missing"
)]
#[case::version(
    "{\"version\": 0, \"vms\": []}",
    "line 1, column 13, version: version must be at least 1"
)]
#[case::repeated_field(
    "{\"version\": 1, \"version\": 2, \"vms\": []}",
    "line 1, column 27, version: the field appears twice"
)]
#[case::wrong_types(
    "{\"version\": -1, \"vms\": {}}",
    "line 1, column 13, version: expected a whole number of 64 bits without sign, found another number|line 1, column 24, vms: expected an array, found an object"
)]
#[case::wrong_element_types(
    "{\"version\": 1, \"vms\": [1, null]}",
    "line 1, column 24, vms[1]: expected an object, found another number|line 1, column 27, vms[2]: expected an object, found null"
)]
#[case::entry(
    "{\"version\": 1, \"vms\": [\n{\"name\": \"-a\", \"role\": \"entry\", \"caller\": \"host:1\", \"domain\": true, \"region\": \"r\", \"state\": \"gone\"}]}",
    "line 2, column 1, vms[1].control: the field is missing|line 2, column 10, vms[1].name: character '-' at byte 0 is not allowed in a name|line 2, column 43, vms[1].caller: \"host:1\" is not an IP address with a port|line 2, column 63, vms[1].domain: expected a string, found true or false|line 2, column 93, vms[1].state: state \"gone\" is neither \"live\" nor \"leaving\""
)]
#[case::role(
    "{\"version\": 1, \"vms\": [{\"name\": \"a\", \"role\": \"proxy\", \"domain\": \"d\", \"region\": \"r\", \"state\": \"live\"}]}",
    "line 1, column 46, vms[1].role: role \"proxy\" is neither \"entry\" nor \"server\""
)]
fn bad_list(#[case] text: &str, #[case] expected: &str) {
    let faults = vm_list::parse(text).expect_err("the list should be refused");
    let found: Vec<_> = faults.iter().map(ToString::to_string).collect();
    assert_eq!(found.join("|"), expected);
}

/// Guards against two VMs of the same name, whose heartbeats and leases could not be told apart.
#[test]
fn duplicate_vm() {
    let vm = r#"{"name": "a", "role": "server", "service": "s", "address": "127.0.0.1:1",
        "domain": "d", "region": "r", "state": "live"}"#;
    let text = format!("{{\"version\": 1, \"vms\": [{vm},\n{vm}]}}");
    let faults = vm_list::parse(&text).expect_err("a duplicate");
    assert_eq!(faults.to_string(), "line 3, column 10, vms[2].name: VM a appears twice");
}

/// Guards against values that are parsed into the wrong field, and against refusing a list because
/// of fields that the platform adds.
#[test]
fn documented_example() {
    let page = include_str!("../../../docs/configuration.md");
    let example = page.split("```json\n").nth(1).and_then(|rest| rest.split("```").next());
    let example = example.expect("an example").replacen('{', "{\"extra\": [1, {}], ", 2);
    let list = vm_list::parse(&example).expect("the example is valid");
    assert_eq!((list.version(), list.vms().len()), (7, 2));
    let entry = list.vm("entry-1").expect("an entry");
    let caller = "127.0.0.1:7000".parse().expect("an address");
    let control = "127.0.0.1:7001".parse().expect("an address");
    assert_eq!(entry.role, Role::Entry { caller, control });
    let server = list.vm("srv-1").expect("a server");
    assert_eq!((server.state, server.domain.as_str()), (VmState::Leaving, "fd-a"));
}

/// Guards against accepting a document that is not UTF-8, and against a report without its
/// position.
#[test]
fn invalid_utf8() {
    let faults = decode_text("{\n\"é".as_bytes()).err();
    assert_eq!(faults, None);
    let faults = decode_text(b"{\n\"\xc3\xa9\xff").expect_err("not UTF-8");
    assert_eq!(faults.to_string(), "line 2, column 3, document: the text is not UTF-8");
}

/// Guards against a digest that differs from the published algorithm, and thus between versions of
/// the program.
#[test]
fn digest_of_empty_document() {
    assert_eq!(digest(b""), 0x2d06_8005_38d3_94c2);
}

/// Guards against a list that causes a panic instead of being refused.
#[test]
fn arbitrary_text() {
    let config = RunnerConfig { cases: 2_000, failure_persistence: None, ..Default::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let pattern =
        "[\\[\\]{}\",:0-9a-z \n\\\\é]{0,200}|\\{\"version\":[0-9]{0,30},\"vms\":[^x]{0,80}\\}";
    let parse = |text: String| {
        let _ = vm_list::parse(&text);
        Ok(())
    };
    runner.run(&pattern, parse).expect("no panic");
}
