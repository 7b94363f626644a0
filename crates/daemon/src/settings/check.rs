//! Checks the values and reports every problem at once.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use log::LevelFilter;

use super::Keys;
use super::LogFormat;
use super::LogSettings;
use super::Settings;
use super::problem::Problem;
use super::problem::Problems;
use super::raw::Raw;
use super::rule;
use super::rule::Rule;
use super::table;
use super::table::Setting;
use crate::listen::Limits;
use jackdawpin_core::name;

impl TryFrom<Raw> for Settings {
    type Error = Problems;

    fn try_from(raw: Raw) -> Result<Self, Problems> {
        let mut check = Check { raw: &raw, problems: Vec::new() };
        let settings = check.settings();
        let mut problems = check.problems;
        // Problems of the command line come first, since others may follow from them.
        problems.splice(0..0, raw.problems().iter().cloned());
        match settings {
            Some(settings) if problems.is_empty() => Ok(settings),
            _ => Err(Problems(problems)),
        }
    }
}

/// Reads values and collects problems.
struct Check<'a> {
    raw: &'a Raw,
    problems: Vec<Problem>,
}

impl<'a> Check<'a> {
    /// The settings, or `None` if a value is not allowed. All values are read before the first `?`,
    /// so that all problems are collected.
    fn settings(&mut self) -> Option<Settings> {
        let vm = self.name(&table::VM);
        let domain = self.name(&table::DOMAIN);
        let region = self.name(&table::REGION);
        let listen = self.read(&table::LISTEN, rule::address);
        let control = self.read(&table::CONTROL, rule::address);
        let platform = self.read(&table::PLATFORM, rule::url);
        let seeds = self.addresses(&table::SEEDS);
        let workers = self.size(&table::WORKERS);
        let log = self.log();
        let limits = self.limits();
        let max_buffered = self.size(&table::MAX_BUFFERED_BYTES);
        let stop_limit = self.time(&table::STOP_LIMIT_MS);
        let keys = self.keys();
        self.differ(&table::CONTROL, &table::LISTEN, control.as_ref(), listen.as_ref());
        Some(Settings {
            vm: vm?,
            domain: domain?,
            region: region?,
            listen: listen?,
            control: control?,
            platform: platform?,
            seeds: seeds?,
            workers: workers?,
            log: log?,
            limits: limits?,
            max_buffered_bytes: max_buffered?,
            stop_limit: stop_limit.map(|limit| (!limit.is_zero()).then_some(limit))?,
            keys: keys?,
        })
    }

    fn log(&mut self) -> Option<LogSettings> {
        let format = self.read(&table::LOG_FORMAT, |text| match text {
            "text" => Some(LogFormat::Text),
            "json" => Some(LogFormat::Json),
            _ => None,
        });
        let level = self.read(&table::LOG_LEVEL, |text| LevelFilter::from_str(text).ok());
        Some(LogSettings { format: format?, level: level? })
    }

    fn limits(&mut self) -> Option<Limits> {
        let connections = self.size(&table::MAX_CONNECTIONS);
        let head_bytes = self.size(&table::MAX_HEAD_BYTES);
        let head_timeout = self.time(&table::HEAD_TIMEOUT_MS);
        let body_timeout = self.time(&table::BODY_TIMEOUT_MS);
        let idle_timeout = self.time(&table::IDLE_TIMEOUT_MS);
        Some(Limits {
            connections: connections?,
            head_bytes: head_bytes?,
            head_timeout: head_timeout?,
            body_timeout: body_timeout?,
            idle_timeout: idle_timeout?,
        })
    }

    fn keys(&mut self) -> Option<Keys> {
        let config = self.read(&table::CONFIG_KEY, rule::key);
        let vms = self.read(&table::VMS_KEY, rule::key);
        self.differ(&table::VMS_KEY, &table::CONFIG_KEY, vms.as_ref(), config.as_ref());
        Some(Keys { config: config?.to_owned(), vms: vms?.to_owned() })
    }

    fn name<T: for<'t> TryFrom<&'t str, Error = name::Error>>(
        &mut self,
        setting: &'static Setting,
    ) -> Option<T> {
        self.read(setting, |text| T::try_from(text).ok())
    }

    fn addresses(&mut self, setting: &'static Setting) -> Option<Vec<SocketAddr>> {
        self.read(setting, |text| match setting.rule {
            Rule::Addresses { max } => rule::addresses(text, max),
            _ => None,
        })
    }

    fn number(&mut self, setting: &'static Setting) -> Option<u64> {
        self.read(setting, |text| match setting.rule {
            Rule::Number { min, max } => rule::number(text, min, max),
            _ => None,
        })
    }

    fn size(&mut self, setting: &'static Setting) -> Option<usize> {
        self.number(setting).and_then(|value| usize::try_from(value).ok())
    }

    fn time(&mut self, setting: &'static Setting) -> Option<Duration> {
        self.number(setting).map(Duration::from_millis)
    }

    /// Reads one setting with `parse`, and notes the problem if there is no value or `parse`
    /// returns `None`.
    fn read<T>(
        &mut self,
        setting: &'static Setting,
        parse: impl FnOnce(&'a str) -> Option<T>,
    ) -> Option<T> {
        let Some(text) = self.raw.value(setting) else {
            // A flag without its value is reported as such.
            if !self.raw.problems().contains(&Problem::NoValue(setting)) {
                self.problems.push(Problem::Missing(setting));
            }
            return None;
        };
        let value = setting.rule.permits(text).then(|| parse(text)).flatten();
        if value.is_none() {
            self.problems.push(Problem::Value(setting, text.to_owned()));
        }
        value
    }

    fn differ<T: PartialEq + ToString>(
        &mut self,
        setting: &'static Setting,
        other: &'static Setting,
        value: Option<&T>,
        other_value: Option<&T>,
    ) {
        if let Some(value) = value
            && Some(value) == other_value
        {
            self.problems.push(Problem::Same(setting, other, value.to_string()));
        }
    }
}
