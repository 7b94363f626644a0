//! Checks the values and reports every problem at once.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use log::LevelFilter;

use super::DocumentKeys;
use super::LogFormat;
use super::LogSettings;
use super::Settings;
use super::problem::Problem;
use super::problem::Problems;
use super::raw::RawValues;
use super::rule;
use super::rule::Rule;
use super::table;
use super::table::Setting;
use crate::listen::Limits;
use jackdawpin_core::name;

impl TryFrom<RawValues> for Settings {
    type Error = Problems;

    fn try_from(raw: RawValues) -> Result<Self, Problems> {
        let mut checker = Checker { raw: &raw, problems: Vec::new() };
        let settings = checker.settings();
        let mut problems = checker.problems;
        // Problems of the command line come first, since others may follow from them.
        problems.splice(0..0, raw.problems().iter().cloned());
        match settings {
            Some(settings) if problems.is_empty() => Ok(settings),
            _ => Err(Problems(problems)),
        }
    }
}

/// Parses values and collects problems.
struct Checker<'a> {
    raw: &'a RawValues,
    problems: Vec<Problem>,
}

impl<'a> Checker<'a> {
    /// The settings, or `None` if a value is not allowed. All values are parsed before the first
    /// `?`, so that all problems are collected.
    fn settings(&mut self) -> Option<Settings> {
        let vm = self.name(&table::VM);
        let domain = self.name(&table::DOMAIN);
        let region = self.name(&table::REGION);
        let listen = self.parse(&table::LISTEN, rule::address);
        let control = self.parse(&table::CONTROL, rule::address);
        let platform = self.parse(&table::PLATFORM, rule::url);
        let seeds = self.addresses(&table::SEEDS);
        let workers = self.size(&table::WORKERS);
        let log = self.log();
        let limits = self.limits();
        let max_buffered_bytes = self.size(&table::MAX_BUFFERED_BYTES);
        let stop_limit = self.duration(&table::STOP_LIMIT_MS);
        let keys = self.keys();
        self.check_distinct(&table::CONTROL, &table::LISTEN, control.as_ref(), listen.as_ref());
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
            max_buffered_bytes: max_buffered_bytes?,
            stop_limit: stop_limit.map(|limit| (!limit.is_zero()).then_some(limit))?,
            keys: keys?,
        })
    }

    fn log(&mut self) -> Option<LogSettings> {
        let format = self.parse(&table::LOG_FORMAT, |text| match text {
            "text" => Some(LogFormat::Text),
            "json" => Some(LogFormat::Json),
            _ => None,
        });
        let level = self.parse(&table::LOG_LEVEL, |text| LevelFilter::from_str(text).ok());
        Some(LogSettings { format: format?, level: level? })
    }

    fn limits(&mut self) -> Option<Limits> {
        let connections = self.size(&table::MAX_CONNECTIONS);
        let head_bytes = self.size(&table::MAX_HEAD_BYTES);
        let head_timeout = self.duration(&table::HEAD_TIMEOUT_MS);
        let body_timeout = self.duration(&table::BODY_TIMEOUT_MS);
        let idle_timeout = self.duration(&table::IDLE_TIMEOUT_MS);
        Some(Limits {
            connections: connections?,
            head_bytes: head_bytes?,
            head_timeout: head_timeout?,
            body_timeout: body_timeout?,
            idle_timeout: idle_timeout?,
        })
    }

    fn keys(&mut self) -> Option<DocumentKeys> {
        let config = self.parse(&table::CONFIG_KEY, rule::key);
        let vms = self.parse(&table::VMS_KEY, rule::key);
        self.check_distinct(&table::VMS_KEY, &table::CONFIG_KEY, vms.as_ref(), config.as_ref());
        Some(DocumentKeys { config: config?.to_owned(), vms: vms?.to_owned() })
    }

    fn name<T: for<'t> TryFrom<&'t str, Error = name::Error>>(
        &mut self,
        setting: &'static Setting,
    ) -> Option<T> {
        self.parse(setting, |text| T::try_from(text).ok())
    }

    fn addresses(&mut self, setting: &'static Setting) -> Option<Vec<SocketAddr>> {
        self.parse(setting, |text| match setting.rule {
            Rule::Addresses { max } => rule::addresses(text, max),
            _ => None,
        })
    }

    fn number(&mut self, setting: &'static Setting) -> Option<u64> {
        self.parse(setting, |text| match setting.rule {
            Rule::Number { min, max } => rule::number(text, min, max),
            _ => None,
        })
    }

    fn size(&mut self, setting: &'static Setting) -> Option<usize> {
        self.number(setting).and_then(|value| usize::try_from(value).ok())
    }

    fn duration(&mut self, setting: &'static Setting) -> Option<Duration> {
        self.number(setting).map(Duration::from_millis)
    }

    /// Parses the value of a setting with `parser`, and records a problem if there is no value or
    /// `parser` returns `None`.
    fn parse<T>(
        &mut self,
        setting: &'static Setting,
        parser: impl FnOnce(&'a str) -> Option<T>,
    ) -> Option<T> {
        let Some(text) = self.raw.value(setting) else {
            // A flag without a value is reported as such already.
            if !self.raw.problems().contains(&Problem::NoValue(setting)) {
                self.problems.push(Problem::Missing(setting));
            }
            return None;
        };
        let value = setting.rule.permits(text).then(|| parser(text)).flatten();
        if value.is_none() {
            self.problems.push(Problem::InvalidValue(setting, text.to_owned()));
        }
        value
    }

    /// Records a problem if two settings have the same value.
    fn check_distinct<T: PartialEq + ToString>(
        &mut self,
        setting: &'static Setting,
        other: &'static Setting,
        value: Option<&T>,
        other_value: Option<&T>,
    ) {
        if let Some(value) = value
            && Some(value) == other_value
        {
            self.problems.push(Problem::SameValue(setting, other, value.to_string()));
        }
    }
}
