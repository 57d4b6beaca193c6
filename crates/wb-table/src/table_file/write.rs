//! Writing a sheet.

use wb_types::policy::Row;

use super::COLUMNS;

/// Writes rows as a sheet that [`super::parse`] reads back.
pub fn write<'a>(rows: impl Iterator<Item = &'a Row>) -> String {
    let mut lines = vec![COLUMNS.join(",")];
    lines.extend(rows.map(line));
    lines.push(String::new());
    lines.join("\n")
}

fn line(row: &Row) -> String {
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
