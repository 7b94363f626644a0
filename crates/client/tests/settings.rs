//! Parsing of arguments and of the environment variable.

mod common;

use std::time::Duration;

use rstest::rstest;

use jackdawpin_client::Invocation;
use jackdawpin_client::settings;
use jackdawpin_client::settings::Action;
use jackdawpin_client::settings::Command;
use jackdawpin_client::settings::Error;
use jackdawpin_client::settings::Settings;
use jackdawpin_client::settings::Since;

fn parse(line: &str, environment: Option<&str>) -> Result<Settings, String> {
    let invocation = Invocation {
        arguments: line.split_whitespace().map(Into::into).collect(),
        entries_variable: environment.map(Into::into),
        is_terminal: false,
    };
    match settings::parse(invocation) {
        Ok(Action::Run(settings)) => Ok(settings),
        Ok(Action::Print(text)) => Err(text),
        Err(error) => Err(error.to_string()),
    }
}

/// Guards against options that are ignored, and against errors that do not say what is wrong.
#[rstest]
#[case::no_arguments("", "a command is missing; see --help")]
#[case::unknown_command("statsu --entries a:1", "command \"statsu\" does not exist; see --help")]
#[case::unknown_option("--colour status", "unrecognized option `--colour`; see --help")]
#[case::missing_value("status --entries", "missing argument to option `--entries`; see --help")]
#[case::no_entries("status", "name entries to ask with --entries or JACKDAWPIN_ENTRIES")]
#[case::no_port("status --entries host", "\"host\" is not HOST:PORT")]
#[case::port_zero("status --entries host:0", "\"host:0\" is not HOST:PORT")]
#[case::path("status --entries a:1/x,b:2", "\"a:1/x\" is not HOST:PORT")]
#[case::timeout("status --entries a:1 --timeout-ms 0", "timeout-ms is 0, allowed is 1 to 60000")]
#[case::misplaced_option(
    "status --entries a:1 --follow",
    "option --follow does not belong to status"
)]
#[case::misplaced_vms("timeline --entries a:1 --vms", "option --vms does not belong to timeline")]
#[case::extra_operand("status now --entries a:1", "usage: jackdawpin status")]
#[case::explain("explain alerts --entries a:1", "usage: jackdawpin explain SERVICE SERVER")]
#[case::name(
    "explain a&b s --entries a:1",
    "\"a&b\": character '&' at byte 1 is not allowed in a name"
)]
#[case::since(
    "timeline --since noon --entries a:1",
    "\"noon\" is neither a duration such as 90s, 10m, 2h or 1d nor a time such as 2026-05-03T08:00:00Z"
)]
#[case::check("check", "usage: jackdawpin check [--vms | --against VMLIST] FILE")]
#[case::check_both(
    "check --vms --against list.json file",
    "usage: jackdawpin check [--vms | --against VMLIST] FILE"
)]
#[case::misplaced_against(
    "status --entries a:1 --against list.json",
    "option --against does not belong to status"
)]
#[case::version("--version", "jackdawpin 0.1.0\n")]
fn invalid_arguments(#[case] line: &str, #[case] expected: &str) {
    assert_eq!(parse(line, None).err().as_deref(), Some(expected));
}

/// Guards against an environment variable that overrides a flag, and against truncated lists.
#[rstest]
#[case::flag("status --entries a:1,b:2 --entries [::1]:3", Some("c:4"), &["a:1", "b:2", "[::1]:3"])]
#[case::environment("status", Some("c:4, d:5,c:4"), &["c:4", "d:5"])]
#[case::flag_before_command("--entries a:1 status", None, &["a:1"])]
fn entries(#[case] line: &str, #[case] environment: Option<&str>, #[case] expected: &[&str]) {
    let settings = parse(line, environment).expect("valid settings");
    assert_eq!(settings.entries, expected);
    assert_eq!(settings.timeout, Duration::from_secs(2));
}

/// Guards against a filter that selects the wrong part of the timeline.
#[rstest]
#[case::seconds("90s", 10_000)]
#[case::days("1d", 0)]
#[case::time("1970-01-01T00:00:07.5Z", 7_500)]
fn since(#[case] text: &str, #[case] expected: u64) {
    assert_eq!(Since::try_from(text).map(|since| since.unix_millis(100_000)), Ok(expected));
    let line = format!("timeline --entries a:1 --kind cold,warm --kind held --since {text}");
    let settings = parse(&line, None).expect("valid settings");
    let Command::Timeline { filter, follow: false } = settings.command else {
        panic!("another command")
    };
    assert_eq!(filter.kinds, ["cold", "warm", "held"]);
}

/// Guards against an overflow for a large number of days.
#[test]
fn duration_overflow() {
    let text = format!("{}d", u64::MAX);
    assert_eq!(Since::try_from(text.as_str()), Err(Error::Since(text)));
}

/// Guards against help without an option or an exit code.
#[test]
fn help() {
    common::assert_golden("help.txt", &parse("--help", None).expect_err("the help"));
}
