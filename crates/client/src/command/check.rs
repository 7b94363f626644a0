use std::fs;
use std::io;
use std::io::Write;
use std::path::Path;

use super::Context;
use crate::Exit;
use crate::settings::Document;
use crate::view::check;
use crate::view::check::CheckedDocument;
use crate::view::check::DocumentSummary;
use jackdawpin_core::holder::config::Config;
use jackdawpin_core::holder::member::Role;
use jackdawpin_core::holder::member::VmList;
use jackdawpin_document::Faults;
use jackdawpin_document::config;
use jackdawpin_document::digest;
use jackdawpin_document::vm_list;
use jackdawpin_wire::DocumentVersion;

/// Checks a document in a file. Sends no request to an entry.
///
/// # Errors
///
/// The output cannot be written.
pub fn run<O: Write, E: Write>(
    file: &Path,
    document: &Document,
    context: &mut Context<'_, O, E>,
) -> io::Result<Exit> {
    let Some(bytes) = read_file(file, context)? else {
        return Ok(Exit::Usage);
    };
    let mut checked = Vec::new();
    let mut warnings = Vec::new();
    match document {
        Document::VmList => {
            checked.push(CheckedDocument::new(file, parse_vm_list(&bytes).map(list_summary)))
        }
        Document::Config { against: None } => {
            checked.push(CheckedDocument::new(file, parse_config(&bytes).map(config_summary)));
        }
        Document::Config { against: Some(against) } => {
            let Some(list_bytes) = read_file(against, context)? else {
                return Ok(Exit::Usage);
            };
            let (config, list) = (parse_config(&bytes), parse_vm_list(&list_bytes));
            if let (Ok((config, _)), Ok((list, _))) = (&config, &list) {
                warnings = config.unknown_names(list);
            }
            checked.push(CheckedDocument::new(file, config.map(config_summary)));
            checked.push(CheckedDocument::new(against, list.map(list_summary)));
        }
    }
    let text = if context.is_json() {
        check::json(&checked, &warnings)
    } else {
        check::text(&checked, &warnings)
    };
    context.print(&text)?;
    let passed = warnings.is_empty() && checked.iter().all(|document| document.result.is_ok());
    Ok(if passed { Exit::Success } else { Exit::Failed })
}

/// The bytes of a file; `None` if it cannot be read, which is reported.
fn read_file<O, E: Write>(
    file: &Path,
    context: &mut Context<'_, O, E>,
) -> io::Result<Option<Vec<u8>>> {
    match fs::read(file) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(error) => {
            writeln!(context.errors, "jackdawpin: {} cannot be read: {error}", file.display())?;
            Ok(None)
        }
    }
}

fn parse_config(bytes: &[u8]) -> Result<(Config, DocumentVersion), Faults> {
    let config = config::parse(jackdawpin_document::decode_text(bytes)?)?;
    let version = DocumentVersion { number: config.revision(), digest: digest(bytes) };
    Ok((config, version))
}

fn parse_vm_list(bytes: &[u8]) -> Result<(VmList, DocumentVersion), Faults> {
    let list = vm_list::parse(jackdawpin_document::decode_text(bytes)?)?;
    let version = DocumentVersion { number: list.version(), digest: digest(bytes) };
    Ok((list, version))
}

fn config_summary((config, version): (Config, DocumentVersion)) -> DocumentSummary {
    let counts = vec![
        ("services", config.services().count()),
        ("exceptions", config.exceptions().len()),
        ("failure domains out", config.outages().len()),
    ];
    DocumentSummary { version, counts }
}

fn list_summary((list, version): (VmList, DocumentVersion)) -> DocumentSummary {
    let is_entry = |role: &Role| matches!(role, Role::Entry { .. });
    let entries = list.vms().iter().filter(|vm| is_entry(&vm.role)).count();
    let counts = vec![("entries", entries), ("servers", list.vms().len() - entries)];
    DocumentSummary { version, counts }
}
