//! Reads the configuration document.
//!
//! The text is parsed into a tree in which each key and value knows its place (`toml::Spanned`).
//! Each section is then read field by field: the values go through
//! `jackdawpin_core::holder::config::Override`, which checks ranges, and the sections through
//! `jackdawpin_core::holder::config::Builder`, which checks how they fit together. A faulty value is
//! reported and left out, so that one mistake does not cause reports about sections that are right.

mod section;
mod table;

use toml::Spanned;
use toml::de::DeTable;

use self::table::Table;
use crate::Faults;
use crate::fault::Log;
use jackdawpin_core::holder::config::Config;

/// Reads a configuration.
///
/// # Errors
///
/// All faults that can be found in one pass. If the text is too large or not TOML, only the faults
/// of syntax.
pub fn read(text: &str) -> Result<Config, Faults> {
    let mut log = Log::new(text);
    let config =
        parse(text, &mut log).map(|root| section::config(&Table::root(root.get_ref()), &mut log));
    log.finish(config)
}

/// The revision that a document claims to have, even if it is not valid; `None` if it has none.
pub fn revision(text: &str) -> Option<u64> {
    #[derive(serde::Deserialize)]
    struct Head {
        revision: u64,
    }
    toml::from_str::<Head>(text).ok().map(|head| head.revision)
}

/// Parses the text. Returns no tree if there is any fault: the values around broken syntax are
/// guesses, and faults found in them would mislead.
fn parse<'t>(text: &'t str, log: &mut Log<'_>) -> Option<Spanned<DeTable<'t>>> {
    if log.len() > 0 {
        return None;
    }
    let (root, errors) = DeTable::parse_recoverable(text);
    for error in &errors {
        let offset = error.span().map_or(0, |span| span.start);
        log.whole(offset, error.message());
    }
    errors.is_empty().then_some(root)
}
