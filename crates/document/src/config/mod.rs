//! Parses the configuration document.
//!
//! The text is parsed into a tree in which each key and value has its position (`toml::Spanned`).
//! Each section is then converted field by field: `jackdawpin_core::holder::config::Override`
//! checks the ranges of values, and `jackdawpin_core::holder::config::Builder` checks the sections
//! against each other. A faulty value is reported and left out, so that one mistake does not cause
//! reports about correct sections.

mod section;
mod table;

use toml::Spanned;
use toml::de::DeTable;

use self::table::Table;
use crate::Faults;
use crate::fault::FaultCollector;
use jackdawpin_core::holder::config::Config;

/// Parses a configuration.
///
/// # Errors
///
/// All faults that can be found in one pass. If the text is too large, only that fault; if it is
/// not TOML, only the syntax errors.
pub fn parse(text: &str) -> Result<Config, Faults> {
    let mut faults = FaultCollector::new(text);
    let config = parse_toml(text, &mut faults)
        .map(|root| section::build_config(&Table::root(root.get_ref()), &mut faults));
    faults.finish(config)
}

/// The revision field of a document that need not be valid; `None` if it cannot be read.
pub fn declared_revision(text: &str) -> Option<u64> {
    #[derive(serde::Deserialize)]
    struct RevisionField {
        revision: u64,
    }
    toml::from_str::<RevisionField>(text).ok().map(|field| field.revision)
}

/// Parses the text as TOML. Returns `None` if there is any fault: the parser guesses the values
/// around a syntax error, and faults reported in them would mislead.
fn parse_toml<'t>(text: &'t str, faults: &mut FaultCollector<'_>) -> Option<Spanned<DeTable<'t>>> {
    if faults.len() > 0 {
        return None;
    }
    let (root, errors) = DeTable::parse_recoverable(text);
    for error in &errors {
        let offset = error.span().map_or(0, |span| span.start);
        faults.add_document_fault(offset, error.message());
    }
    errors.is_empty().then_some(root)
}
