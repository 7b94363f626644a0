//! The adapter that parses configurations and VM lists.

use jackdawpin_core::holder::config::Config;
use jackdawpin_core::holder::control::DocumentKind;
use jackdawpin_core::holder::member::VmList;
use jackdawpin_core::holder::port;
use jackdawpin_document as document;

/// Parses documents in the formats of `jackdawpin-document`, which operators and the platform
/// publish.
#[derive(Debug, Clone, Copy, Default)]
pub struct Parser;

impl port::Parser for Parser {
    fn config(&self, bytes: &[u8]) -> Result<Config, String> {
        document::config::parse(parse_utf8(bytes)?).map_err(|faults| faults.to_string())
    }

    fn list(&self, bytes: &[u8]) -> Result<VmList, String> {
        document::vm_list::parse(parse_utf8(bytes)?).map_err(|faults| faults.to_string())
    }

    fn number(&self, kind: DocumentKind, bytes: &[u8]) -> u64 {
        let Ok(text) = parse_utf8(bytes) else {
            return 0;
        };
        let number = match kind {
            DocumentKind::Config => document::config::declared_revision(text),
            DocumentKind::List => document::vm_list::declared_version(text),
        };
        number.unwrap_or(0)
    }
}

fn parse_utf8(bytes: &[u8]) -> Result<&str, String> {
    std::str::from_utf8(bytes).map_err(|err| format!("the document is not UTF-8: {err}"))
}
