//! The table of settings: flag, allowed values, default and help text of each.

use std::fmt;

use super::rule::Rule;

/// Prefix of the names of environment variables.
const VARIABLE_PREFIX: &str = "JACKDAWPIN_";

/// One setting.
#[derive(Debug, PartialEq, Eq)]
pub struct Setting {
    /// Name of the flag, without the leading `--`.
    pub flag: &'static str,
    /// Which values are allowed.
    pub rule: Rule,
    /// The value if neither the flag nor the variable is given; `None` if the setting is required.
    pub default: Option<&'static str>,
    /// One line for `--help`.
    pub help: &'static str,
}

impl Setting {
    /// Name of the environment variable.
    pub fn variable(&self) -> String {
        let mut name = String::from(VARIABLE_PREFIX);
        name.extend(self.flag.chars().map(|c| if c == '-' { '_' } else { c.to_ascii_uppercase() }));
        name
    }
}

impl fmt::Display for Setting {
    /// The flag and the variable, for messages.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "--{} ({})", self.flag, self.variable())
    }
}

/// A flag without a value that makes the program do something other than run the daemon. It has no
/// environment variable.
#[derive(Debug, PartialEq, Eq)]
pub struct Action {
    /// Name of the flag, without the leading `--`.
    pub flag: &'static str,
    /// One line for `--help`.
    pub help: &'static str,
}

/// Checks the settings and exits.
pub static CHECK: Action = Action { flag: "check", help: "check the settings and exit" };
/// Prints the version and exits.
pub static VERSION: Action = Action { flag: "version", help: "print the version and exit" };
/// Prints the help and exits.
pub static HELP: Action = Action { flag: "help", help: "print this help and exit" };

/// All actions.
pub static ACTIONS: [&Action; 3] = [&CHECK, &VERSION, &HELP];

macro_rules! settings {
    ($(
        $(#[$doc:meta])*
        $name:ident = $flag:literal, $rule:expr, $default:expr, $help:literal;
    )*) => {
        $(
            $(#[$doc])*
            pub static $name: Setting =
                Setting { flag: $flag, rule: $rule, default: $default, help: $help };
        )*

        /// All settings, in the order of `--help`.
        pub static SETTINGS: &[&Setting] = &[$(&$name),*];
    };
}

settings! {
    /// Name of this VM.
    VM = "vm", Rule::Name, None, "name of this VM";
    /// Failure domain of this VM.
    DOMAIN = "domain", Rule::Name, None, "failure domain of this VM";
    /// Region of this VM.
    REGION = "region", Rule::Name, None, "region of this VM";
    /// Address for callers.
    LISTEN = "listen", Rule::Address, None, "address on which callers connect";
    /// Address for peers and operators.
    CONTROL = "control", Rule::Address, None,
        "address on which other entries and operators connect";
    /// Address of the platform.
    PLATFORM = "platform", Rule::Url, None, "address of the platform's configuration service";
    /// Control addresses of other entries.
    SEEDS = "seeds", Rule::Addresses { max: 64 }, Some(""), "control addresses of other entries";
    /// Number of worker threads.
    WORKERS = "workers", Rule::Number { min: 1, max: 64 }, Some("2"), "number of worker threads";
    /// Format of the log.
    LOG_FORMAT = "log-format", Rule::Choice(&["text", "json"]), Some("text"),
        "format of the log lines";
    /// Lowest level that is logged.
    LOG_LEVEL = "log-level", Rule::Choice(&["error", "warn", "info", "debug", "trace"]),
        Some("info"), "lowest level that is logged";
    /// Largest number of connections per listener.
    MAX_CONNECTIONS = "max-connections", Rule::Number { min: 1, max: 65_536 }, Some("4096"),
        "connections per listener";
    /// Largest size of a request's head, in bytes. The smallest value is the smallest buffer that
    /// hyper accepts.
    MAX_HEAD_BYTES = "max-head-bytes", Rule::Number { min: 8_192, max: 1_048_576 }, Some("32768"),
        "size of a request's line and header fields, in bytes";
    /// Time limit of a request's head, in ms.
    HEAD_TIMEOUT_MS = "head-timeout-ms", Rule::Number { min: 100, max: 600_000 }, Some("5000"),
        "time from the first byte of a request to the end of its header fields, in ms";
    /// Time limit of a body, in ms.
    BODY_TIMEOUT_MS = "body-timeout-ms", Rule::Number { min: 100, max: 600_000 }, Some("10000"),
        "time to receive a body, and longest pause while a response is sent, in ms";
    /// Time after which an idle connection is closed, in ms.
    IDLE_TIMEOUT_MS = "idle-timeout-ms", Rule::Number { min: 1_000, max: 3_600_000 }, Some("60000"),
        "time after which an idle connection is closed, in ms";
    /// Largest total size of all bodies that are buffered at the same time, in bytes.
    MAX_BUFFERED_BYTES = "max-buffered-bytes", Rule::Number { min: 1_048_576, max: 4_294_967_295 },
        Some("67108864"), "bytes of all bodies held at once";
    /// Time limit of a planned stop, in ms; 0 means none.
    STOP_LIMIT_MS = "stop-limit-ms", Rule::Number { min: 0, max: 86_400_000 }, Some("0"),
        "time limit of a planned stop, in ms; 0 waits for everything in flight";
    /// Key of the configuration.
    CONFIG_KEY = "config-key", Rule::Key, Some("jackdawpin/config"), "key of the configuration";
    /// Key of the VM list.
    VMS_KEY = "vms-key", Rule::Key, Some("jackdawpin/vms"), "key of the list of VMs";
}
