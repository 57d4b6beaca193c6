//! Writing of table files.

use wb_types::policy::Row;

use super::COLUMNS;

/// Formats rows as a table file that [`parse`](fn@super::parse) accepts.
pub fn write<'a>(rows: impl Iterator<Item = &'a Row>) -> String {
    let mut lines = vec![COLUMNS.join(",")];
    lines.extend(rows.map(format_row));
    lines.push(String::new());
    lines.join("\n")
}

fn format_row(row: &Row) -> String {
    format!(
        "{},{},{},{},{},{},{},{},{}",
        row.key.service,
        row.key.class,
        row.weight,
        row.rate,
        row.concurrency,
        row.queue,
        row.wait.as_millis(),
        row.deadline.as_millis(),
        row.floor
    )
}
