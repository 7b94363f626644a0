//! The text of `--help`, generated from the table of settings.

use std::fmt;

use super::table;

/// The help text, as its `Display` output.
pub struct Help;

impl fmt::Display for Help {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "Usage: jackdawpind [--FLAG VALUE]...")?;
        writeln!(f)?;
        writeln!(
            f,
            "Each setting is a flag or an environment variable; the flag takes precedence."
        )?;
        for setting in table::SETTINGS {
            writeln!(f)?;
            writeln!(f, "  --{} VALUE", setting.flag)?;
            writeln!(f, "      {}", setting.help)?;
            writeln!(f, "      variable: {}", setting.variable())?;
            match setting.default {
                Some("") => writeln!(f, "      default: empty")?,
                Some(value) => writeln!(f, "      default: {value}")?,
                None => writeln!(f, "      required")?,
            }
            writeln!(f, "      allowed: {}", setting.rule)?;
        }
        writeln!(f)?;
        for (i, action) in table::ACTIONS.into_iter().enumerate() {
            let end = if i + 1 < table::ACTIONS.len() { "\n" } else { "" };
            write!(f, "  --{:<9} {}{end}", action.flag, action.help)?;
        }
        Ok(())
    }
}
