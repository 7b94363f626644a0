use std::fs;
use std::io;
use std::io::Write;
use std::path::Path;

use super::Context;
use crate::Exit;
use crate::view::check;
use crate::view::check::Summary;
use jackdawpin_core::member::Role;
use jackdawpin_document::Faults;
use jackdawpin_document::config;
use jackdawpin_document::digest;
use jackdawpin_document::vms;
use jackdawpin_wire::Order;

/// Checks a document in a file.
pub(super) fn run<O: Write, E: Write>(
    file: &Path,
    vms: bool,
    context: &mut Context<'_, O, E>,
) -> io::Result<Exit> {
    let name = file.display().to_string();
    let bytes = match fs::read(file) {
        Ok(bytes) => bytes,
        Err(error) => {
            writeln!(context.errors, "jackdawpin: {name} cannot be read: {error}")?;
            return Ok(Exit::Usage);
        }
    };
    let result = if vms { read_vms(&bytes) } else { read_config(&bytes) };
    let text =
        if context.is_json() { check::json(&name, &result) } else { check::text(&name, &result) };
    context.print(&text)?;
    Ok(if result.is_ok() { Exit::Fine } else { Exit::Failed })
}

fn read_config(bytes: &[u8]) -> Result<Summary, Faults> {
    let config = config::read(jackdawpin_document::text(bytes)?)?;
    let order = Order { number: config.revision(), digest: digest(bytes) };
    let parts = vec![
        ("services", config.services().count()),
        ("exceptions", config.exceptions().len()),
        ("failure domains out", config.outages().len()),
    ];
    Ok(Summary { order, parts })
}

fn read_vms(bytes: &[u8]) -> Result<Summary, Faults> {
    let list = vms::read(jackdawpin_document::text(bytes)?)?;
    let order = Order { number: list.version(), digest: digest(bytes) };
    let is_entry = |role: &Role| matches!(role, Role::Entry { .. });
    let entries = list.vms().iter().filter(|vm| is_entry(&vm.role)).count();
    let parts = vec![("entries", entries), ("servers", list.vms().len() - entries)];
    Ok(Summary { order, parts })
}
