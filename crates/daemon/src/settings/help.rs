//! The text of `--help`, made from the table.

use std::fmt;

use super::table;

/// Displays as the help text.
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
        for action in table::ACTIONS {
            writeln!(f, "  --{:<9} {}", action.flag, action.help)?;
        }
        Ok(())
    }
}
