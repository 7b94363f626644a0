//! The merging layer: values as given, flags before environment variables.

use std::collections::HashMap;

use gumdrop::Opt;
use gumdrop::Parser;
use gumdrop::ParsingStyle;

use super::problem::Problem;
use super::table;
use super::table::Action;
use super::table::Setting;

/// Values as given, not yet checked.
#[derive(Debug, Default)]
pub struct Raw {
    values: HashMap<&'static str, String>,
    actions: Vec<&'static Action>,
    problems: Vec<Problem>,
}

impl Raw {
    /// Collects the values: the flags among `arguments`, then what `variable` knows about the
    /// settings without a flag. `arguments` does not start with the name of the program.
    pub fn collect(
        arguments: &[impl AsRef<str>],
        variable: impl Fn(&str) -> Option<String>,
    ) -> Self {
        let mut raw = Self::default();
        raw.read_flags(arguments);
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

    /// Whether `action` was asked for.
    pub fn asks(&self, action: &Action) -> bool {
        self.actions.contains(&action)
    }

    /// What is wrong with the command line itself.
    pub fn problems(&self) -> &[Problem] {
        &self.problems
    }

    fn read_flags(&mut self, arguments: &[impl AsRef<str>]) {
        let mut parser = Parser::new(arguments, ParsingStyle::AllOptions);
        while let Some(option) = parser.next_opt() {
            match option {
                Opt::Long(flag) => {
                    if let Some(action) = action(flag) {
                        self.actions.push(action);
                    } else if let Some(setting) = setting(flag) {
                        let value = parser.next_arg();
                        self.set(setting, value);
                    } else {
                        self.problems.push(Problem::Unknown(format!("--{flag}")));
                    }
                }
                Opt::LongWithArg(flag, value) => match setting(flag) {
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

fn action(flag: &str) -> Option<&'static Action> {
    table::ACTIONS.into_iter().find(|action| action.flag == flag)
}

fn setting(flag: &str) -> Option<&'static Setting> {
    table::SETTINGS.iter().copied().find(|setting| setting.flag == flag)
}
