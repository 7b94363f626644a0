use std::io;
use std::io::Write;

use super::Context;
use super::POLL_INTERVAL;
use crate::Exit;
use crate::entry_client::EntryClient;
use crate::fleet::Finding;
use crate::fleet::Fleet;
use crate::fleet::ServiceSummary;
use crate::fleet::findings;
use crate::fleet::service_summaries;
use crate::view::top;

/// Prints rates and latency per service, once or until the process is stopped. Rates need two polls
/// of the fleet, so the first output comes after one interval.
pub(super) async fn run<C: EntryClient, O: Write, E: Write>(
    client: &C,
    once: bool,
    context: &mut Context<'_, O, E>,
) -> io::Result<Exit> {
    let mut ticks = tokio::time::interval(POLL_INTERVAL);
    ticks.tick().await;
    let mut before = context.discover(client).await;
    if before.reachable.is_empty() {
        let findings = findings(&before);
        let text = format_output(context.is_json(), once, &[], &before, &findings);
        context.print(&text)?;
        return context.finish(&before, &findings);
    }
    loop {
        ticks.tick().await;
        let fleet = context.discover(client).await;
        let findings = findings(&fleet);
        let text = format_output(
            context.is_json(),
            once,
            &service_summaries(&before, &fleet),
            &fleet,
            &findings,
        );
        if context.is_terminal && !once && !context.is_json() {
            context.print(top::CLEAR_SCREEN)?;
        }
        context.print(&text)?;
        if once {
            return context.finish(&fleet, &findings);
        }
        before = fleet;
    }
}

fn format_output(
    json: bool,
    once: bool,
    summaries: &[ServiceSummary],
    fleet: &Fleet,
    findings: &[Finding],
) -> String {
    if json {
        top::json(summaries, fleet, findings, once)
    } else {
        top::text(summaries, fleet, findings)
    }
}
