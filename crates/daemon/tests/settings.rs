//! Settings: the table, the precedence of flags over variables, and the checks.

use std::process::Command as Process;

use rstest::rstest;

use jackdawpin_daemon::settings::Command;
use jackdawpin_daemon::settings::EXIT_INVALID;
use jackdawpin_daemon::settings::Help;
use jackdawpin_daemon::settings::Problem;
use jackdawpin_daemon::settings::Problems;
use jackdawpin_daemon::settings::Settings;
use jackdawpin_daemon::settings::table;

/// The required settings.
const REQUIRED: [&str; 6] = [
    "--vm=e1",
    "--domain=d1",
    "--region=r1",
    "--listen=127.0.0.1:7000",
    "--control=127.0.0.1:7001",
    "--platform=http://127.0.0.1:8500",
];

/// Parses the required settings with extra arguments and these environment variables.
fn parse(extra: &[&str], variables: &[(&str, &str)]) -> Result<Settings, Problems> {
    let arguments: Vec<&str> = REQUIRED.iter().chain(extra).copied().collect();
    let variable = |name: &str| {
        variables.iter().find(|(known, _)| *known == name).map(|(_, value)| (*value).to_owned())
    };
    match Command::read(&arguments, variable)? {
        Command::Run(settings) => Ok(settings),
        other => panic!("expected a run, found {other:?}"),
    }
}

/// Guards against a default value that is not allowed.
#[test]
fn defaults_are_valid() {
    let settings = parse(&[], &[]).unwrap();
    assert_eq!(settings.workers, 2);
    assert_eq!(settings.limits.connections, 4096);
    assert_eq!(settings.stop_limit, None);
    assert_eq!(settings.keys.vms, "jackdawpin/vms");
    assert!(settings.seeds.is_empty());
}

/// Guards against environment variables that override the command line.
#[test]
fn flag_precedes_variable() {
    let variables = [("JACKDAWPIN_WORKERS", "3"), ("JACKDAWPIN_MAX_CONNECTIONS", "7")];
    let settings = parse(&["--workers", "5"], &variables).unwrap();
    assert_eq!(settings.workers, 5);
    assert_eq!(settings.limits.connections, 7);
}

/// Guards against problems that are reported only after others were corrected.
#[test]
fn all_problems_are_reported() {
    let arguments = ["--workers=0", "--listen=host:1", "--color", "--log-level"];
    let variable = |name: &str| (name == "JACKDAWPIN_VM").then(|| "-".to_owned());
    let problems = Command::read(&arguments, variable).unwrap_err().0;
    let expected = [
        Problem::Unknown("--color".to_owned()),
        Problem::NoValue(&table::LOG_LEVEL),
        Problem::InvalidValue(&table::VM, "-".to_owned()),
        Problem::Missing(&table::DOMAIN),
        Problem::Missing(&table::REGION),
        Problem::InvalidValue(&table::LISTEN, "host:1".to_owned()),
        Problem::Missing(&table::CONTROL),
        Problem::Missing(&table::PLATFORM),
        Problem::InvalidValue(&table::WORKERS, "0".to_owned()),
    ];
    assert_eq!(problems, expected);
    assert_eq!(
        Problem::InvalidValue(&table::WORKERS, "0".to_owned()).to_string(),
        "--workers (JACKDAWPIN_WORKERS) is \"0\"; allowed: 1..=64"
    );
}

/// Guards against values outside the rules of the table that are accepted, and against off-by-one
/// errors in ranges.
#[rstest]
#[case("--workers=1", true)]
#[case("--workers=64", true)]
#[case("--workers=65", false)]
#[case("--workers=+2", true)]
#[case("--workers=2.0", false)]
#[case("--max-head-bytes=8192", true)]
#[case("--max-head-bytes=8191", false)]
#[case("--stop-limit-ms=0", true)]
#[case("--stop-limit-ms=-1", false)]
#[case("--seeds=", true)]
#[case("--seeds=127.0.0.1:1, [::1]:2", true)]
#[case("--seeds=127.0.0.1:1,", false)]
#[case("--seeds=127.0.0.1:0", false)]
#[case("--log-format=JSON", false)]
#[case("--log-format=json", true)]
#[case("--log-level=off", false)]
#[case("--config-key=a/b.c", true)]
#[case("--config-key=a//b", false)]
#[case("--config-key=a/../b", false)]
#[case("--config-key=a?b", false)]
#[case("--config-key=jackdawpin/vms", false)]
#[case("--listen=127.0.0.1:7002", false)]
#[case("extra", false)]
fn allowed_values(#[case] argument: &str, #[case] valid: bool) {
    assert_eq!(parse(&[argument], &[]).is_ok(), valid);
}

/// Guards against two listeners with the same address, which would fail only when the second one is
/// bound.
#[test]
fn listener_addresses_must_differ() {
    let mut arguments = REQUIRED;
    arguments[4] = "--control=127.0.0.1:7000";
    let problems = Command::read(&arguments, |_| None).unwrap_err().0;
    let found = "127.0.0.1:7000".to_owned();
    assert_eq!(problems, [Problem::SameValue(&table::CONTROL, &table::LISTEN, found)]);
}

/// Guards against a setting that `--help` does not explain.
#[test]
fn help_lists_every_setting() {
    let help = Help.to_string();
    for setting in table::SETTINGS {
        assert!(help.contains(&format!("--{} VALUE", setting.flag)), "{setting}");
        assert!(help.contains(&setting.variable()), "{setting}");
        assert!(help.contains(&setting.rule.to_string()), "{setting}");
    }
}

/// Guards against invalid settings that are accepted, and against a check that runs the daemon.
#[rstest]
#[case(&REQUIRED, 0)]
#[case(&REQUIRED[1..], EXIT_INVALID)]
fn check_exit_codes(#[case] arguments: &[&str], #[case] code: u8) {
    let mut process = Process::new(env!("CARGO_BIN_EXE_jackdawpind"));
    let output = process.env_clear().arg("--check").args(arguments).output().unwrap();
    assert_eq!(output.status.code(), Some(i32::from(code)));
    assert_eq!(output.stderr.is_empty(), code == 0);
}
