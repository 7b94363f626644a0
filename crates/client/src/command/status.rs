use std::io;
use std::io::Write;

use super::Context;
use crate::Exit;
use crate::ask::Ask;
use crate::fleet::findings;
use crate::view::status;

/// Shows each entry and the servers that it holds.
pub(super) async fn run<A: Ask, O: Write, E: Write>(
    ask: &A,
    context: &mut Context<'_, O, E>,
) -> io::Result<Exit> {
    let fleet = context.gather(ask).await;
    let findings = findings(&fleet);
    let text = if context.is_json() {
        status::json(&fleet, &findings)
    } else {
        status::text(&fleet, &findings)
    };
    context.print(&text)?;
    context.finish(&fleet, &findings)
}
