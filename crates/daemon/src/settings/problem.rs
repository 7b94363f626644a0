//! Problems of the settings, as reported to the operator.

use std::fmt;

use quick_error::quick_error;

use super::table::Setting;

quick_error! {
    /// One problem of the settings.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Problem {
        /// A required setting was not given.
        Missing(setting: &'static Setting) {
            display("{} is required; allowed: {}", setting, setting.rule)
        }
        /// The value is not allowed.
        InvalidValue(setting: &'static Setting, found: String) {
            display("{} is {:?}; allowed: {}", setting, found, setting.rule)
        }
        /// Two settings that must differ have the same value.
        SameValue(setting: &'static Setting, other: &'static Setting, found: String) {
            display("{} and {} are both {:?}; they must differ", setting, other, found)
        }
        /// The flag has no value.
        NoValue(setting: &'static Setting) {
            display("{} has no value; allowed: {}", setting, setting.rule)
        }
        /// The flag was given more than once.
        Repeated(setting: &'static Setting) {
            display("{} was given more than once", setting)
        }
        /// The argument is neither a known flag nor the value of one.
        Unknown(argument: String) {
            display("{:?} is not a known flag; see --help", argument)
        }
    }
}

/// All problems of the settings; displayed one a line.
#[derive(Debug, PartialEq, Eq)]
pub struct Problems(pub Vec<Problem>);

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(Problem::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for Problems {}
