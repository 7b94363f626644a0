//! Reads documents for the decisions.

use jackdawpin_core::holder::config::Config;
use jackdawpin_core::holder::control::DocumentKind;
use jackdawpin_core::holder::member::VmList;
use jackdawpin_core::holder::port;
use jackdawpin_document as document;

/// Reads the documents in the formats that operators and the platform publish.
#[derive(Debug, Clone, Copy, Default)]
pub struct Reader;

impl port::Parser for Reader {
    fn config(&self, bytes: &[u8]) -> Result<Config, String> {
        document::config::read(text(bytes)?).map_err(|faults| faults.to_string())
    }

    fn list(&self, bytes: &[u8]) -> Result<VmList, String> {
        document::vms::read(text(bytes)?).map_err(|faults| faults.to_string())
    }

    fn number(&self, kind: DocumentKind, bytes: &[u8]) -> u64 {
        let Ok(text) = text(bytes) else {
            return 0;
        };
        let number = match kind {
            DocumentKind::Config => document::config::revision(text),
            DocumentKind::List => document::vms::version(text),
        };
        number.unwrap_or(0)
    }
}

fn text(bytes: &[u8]) -> Result<&str, String> {
    std::str::from_utf8(bytes).map_err(|err| format!("the document is not UTF-8: {err}"))
}
