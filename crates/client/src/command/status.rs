use std::io;
use std::io::Write;

use super::Context;
use crate::Exit;
use crate::entry_client::EntryClient;
use crate::fleet::findings;
use crate::view::status;

/// Prints each entry and the servers that it holds.
pub(super) async fn run<C: EntryClient, O: Write, E: Write>(
    client: &C,
    context: &mut Context<'_, O, E>,
) -> io::Result<Exit> {
    let fleet = context.discover(client).await;
    let findings = findings(&fleet);
    let text = if context.is_json() {
        status::json(&fleet, &findings)
    } else {
        status::text(&fleet, &findings)
    };
    context.print(&text)?;
    context.finish(&fleet, &findings)
}
