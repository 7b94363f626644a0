//! Collects the values of settings from flags and environment variables; flags take precedence.

use std::collections::HashMap;

use gumdrop::Opt;
use gumdrop::Parser;
use gumdrop::ParsingStyle;

use super::problem::Problem;
use super::table;
use super::table::Action;
use super::table::Setting;

/// Values of settings as given, not yet checked.
#[derive(Debug, Default)]
pub struct RawValues {
    values: HashMap<&'static str, String>,
    actions: Vec<&'static Action>,
    problems: Vec<Problem>,
}

impl RawValues {
    /// Collects the values: the flags among `arguments`, then the environment variables of the
    /// other settings, which `variable` looks up by name. `arguments` does not start with the name
    /// of the program.
    pub fn collect(
        arguments: &[impl AsRef<str>],
        variable: impl Fn(&str) -> Option<String>,
    ) -> Self {
        let mut raw = Self::default();
        raw.parse_flags(arguments);
        for setting in table::SETTINGS {
            if raw.values.contains_key(setting.flag) {
                continue;
            }
            if let Some(value) = variable(&setting.variable()) {
                raw.values.insert(setting.flag, value);
            }
        }
        raw
    }

    /// The value of `setting`, or its default.
    pub fn value(&self, setting: &Setting) -> Option<&str> {
        self.values.get(setting.flag).map(String::as_str).or(setting.default)
    }

    /// Whether `action` is on the command line.
    pub fn has_action(&self, action: &Action) -> bool {
        self.actions.contains(&action)
    }

    /// Problems of the command line itself, such as unknown flags.
    pub fn problems(&self) -> &[Problem] {
        &self.problems
    }

    fn parse_flags(&mut self, arguments: &[impl AsRef<str>]) {
        let mut parser = Parser::new(arguments, ParsingStyle::AllOptions);
        while let Some(option) = parser.next_opt() {
            match option {
                Opt::Long(flag) => {
                    if let Some(action) = find_action(flag) {
                        self.actions.push(action);
                    } else if let Some(setting) = find_setting(flag) {
                        let value = parser.next_arg();
                        self.set(setting, value);
                    } else {
                        self.problems.push(Problem::Unknown(format!("--{flag}")));
                    }
                }
                Opt::LongWithArg(flag, value) => match find_setting(flag) {
                    Some(setting) => self.set(setting, Some(value)),
                    None => self.problems.push(Problem::Unknown(format!("--{flag}={value}"))),
                },
                Opt::Short('h') => self.actions.push(&table::HELP),
                Opt::Short(flag) => self.problems.push(Problem::Unknown(format!("-{flag}"))),
                Opt::Free(text) => self.problems.push(Problem::Unknown(text.to_owned())),
            }
        }
    }

    fn set(&mut self, setting: &'static Setting, value: Option<&str>) {
        let Some(value) = value else {
            self.problems.push(Problem::NoValue(setting));
            return;
        };
        if self.values.insert(setting.flag, value.to_owned()).is_some() {
            self.problems.push(Problem::Repeated(setting));
        }
    }
}

fn find_action(flag: &str) -> Option<&'static Action> {
    table::ACTIONS.into_iter().find(|action| action.flag == flag)
}

fn find_setting(flag: &str) -> Option<&'static Setting> {
    table::SETTINGS.iter().copied().find(|setting| setting.flag == flag)
}
