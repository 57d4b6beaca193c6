//! Formats tables, status and decisions for the terminal.

use std::fmt::Write;

use tabled::builder::Builder;
use tabled::settings::Style;
use wb_entry::operators::Explanation;
use wb_entry::operators::Status;
use wb_record::DecisionRecord;
use wb_table::table_file::COLUMNS;
use wb_types::policy::Content;
use wb_types::policy::Delta;
use wb_types::policy::EditOutcome;
use wb_types::policy::Row;

/// Returns the cells of a policy row, in the order of [`COLUMNS`].
fn cells(row: &Row) -> [String; 9] {
    [
        row.key.service.to_string(),
        row.key.class.to_string(),
        row.weight.to_string(),
        row.rate.to_string(),
        row.concurrency.to_string(),
        row.queue.to_string(),
        row.wait.as_millis().to_string(),
        row.deadline.as_millis().to_string(),
        row.floor.to_string(),
    ]
}

/// Formats the policy table.
pub fn table(delta: &Delta) -> String {
    let mut builder = Builder::default();
    builder.push_record(COLUMNS.iter().copied().chain(["version"]));
    for row in &delta.rows {
        if let Content::Policy(policy) = &row.content {
            let cells = cells(policy).into_iter();
            builder.push_record(cells.chain([row.version.to_string()]));
        }
    }
    let table = builder.build().with(Style::sharp()).to_string();
    format!("table version {}\n{table}", delta.upto)
}

/// Formats the state of the fleet as seen by an instance.
pub fn status(status: &Status) -> String {
    let mut text = format!(
        "instance {}  table {}  active {}  tickets {}  isolated {}  leaving {}\n",
        status.instance,
        status.table,
        status.active,
        status.tickets,
        status.isolated,
        status.leaving
    );
    let mut members = Builder::default();
    members.push_record(["instance", "liveness"]);
    for member in &status.members {
        members.push_record([member.name.to_string(), member.liveness.to_string()]);
    }
    let members = members.build().with(Style::sharp()).to_string();
    text.push_str(&members);
    for (name, service) in &status.services {
        let homes = service.homes.join(", ");
        let _ = writeln!(text, "\nservice {name}  homes {homes}");
        if service.servers.is_empty() {
            continue;
        }
        let mut servers = Builder::default();
        servers.push_record(["server", "state", "score", "busy", "slots", "leaving"]);
        for server in &service.servers {
            servers.push_record([
                server.name.to_string(),
                server.state.clone(),
                format!("{:.1}", server.score),
                server.busy.to_string(),
                server.slots.to_string(),
                server.leaving.to_string(),
            ]);
        }
        let servers = servers.build().with(Style::sharp()).to_string();
        text.push_str(&servers);
    }
    text
}

/// Formats the result of an edit.
pub fn outcome(outcome: &EditOutcome) -> String {
    match outcome {
        EditOutcome::Accepted(version) => format!("accepted at version {version}"),
        EditOutcome::Unknown => {
            "unknown: the platform did not confirm the commit; check with `wisteria edit-state`"
                .to_owned()
        }
        EditOutcome::Refused(refusal) => {
            let mut text = "refused".to_owned();
            for finding in &refusal.findings {
                let _ = write!(text, "\n  {finding}");
            }
            for winner in &refusal.winners {
                let row = match &winner.content {
                    Content::Policy(row) => cells(row).join(","),
                    Content::Dropped(key) => format!("{},{} was deleted", key.service, key.class),
                    Content::Caller(caller) => caller.caller.to_string(),
                };
                let _ = write!(text, "\n  won at version {}: {row}", winner.version);
            }
            text
        }
    }
}

/// Formats the decisions about a request.
pub fn explanation(explanation: &Explanation) -> String {
    let mut text = String::new();
    for decision in &explanation.decisions {
        let _ = writeln!(
            text,
            "at {}: {}",
            decision.instance,
            format_record(&decision.record)
        );
        for choice in &decision.record.candidates {
            let _ = writeln!(
                text,
                "    candidate {} (free {}, score {:.2})",
                choice.name, choice.free, choice.score
            );
        }
        for record in &decision.before {
            let _ = writeln!(text, "  served before: {}", format_record(record));
        }
        for record in &decision.after {
            let _ = writeln!(text, "  served after:  {}", format_record(record));
        }
    }
    for gap in &explanation.gaps {
        let _ = writeln!(text, "gap: {gap}");
    }
    text
}

fn format_record(record: &DecisionRecord) -> String {
    format!(
        "{} order {} {} {} caller {} row {}/{} table {} tag {:.3} ahead {} waited {} us",
        record.request,
        record.order,
        record.verdict,
        record.target,
        record.caller,
        record.row.service,
        record.row.class,
        record.table,
        record.tag,
        record.ahead,
        record.waited.as_micros()
    )
}
