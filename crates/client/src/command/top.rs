use std::io;
use std::io::Write;

use super::Context;
use super::INTERVAL;
use crate::Exit;
use crate::ask::Ask;
use crate::fleet::Finding;
use crate::fleet::Fleet;
use crate::fleet::Row;
use crate::fleet::findings;
use crate::fleet::rows;
use crate::view::top;

/// Shows rates and latency per service, once or until the process is ended. Rates need two views of
/// the fleet, so the first output comes after one interval.
pub(super) async fn run<A: Ask, O: Write, E: Write>(
    ask: &A,
    once: bool,
    context: &mut Context<'_, O, E>,
) -> io::Result<Exit> {
    let mut ticks = tokio::time::interval(INTERVAL);
    ticks.tick().await;
    let mut before = context.gather(ask).await;
    if before.members.is_empty() {
        let findings = findings(&before);
        let text = view(context.is_json(), once, &[], &before, &findings);
        context.print(&text)?;
        return context.finish(&before, &findings);
    }
    loop {
        ticks.tick().await;
        let fleet = context.gather(ask).await;
        let findings = findings(&fleet);
        let text = view(context.is_json(), once, &rows(&before, &fleet), &fleet, &findings);
        if context.terminal && !once && !context.is_json() {
            context.print(top::ERASE)?;
        }
        context.print(&text)?;
        if once {
            return context.finish(&fleet, &findings);
        }
        before = fleet;
    }
}

fn view(json: bool, once: bool, rows: &[Row], fleet: &Fleet, findings: &[Finding]) -> String {
    if json { top::json(rows, fleet, findings, once) } else { top::text(rows, fleet, findings) }
}
