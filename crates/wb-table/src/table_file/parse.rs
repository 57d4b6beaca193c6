//! Parsing of table files, with all errors reported at once.

use std::str::FromStr;
use std::time::Duration;

use csv::StringRecord;
use wb_types::policy::Row;
use wb_types::policy::RowKey;

use super::COLUMNS;
use crate::Finding;
use crate::check;

/// Parses and validates a table file.
///
/// # Errors
///
/// All findings, in the order of their lines in the file. Rows are read only if the header has no
/// findings.
pub fn parse(text: &str) -> Result<Vec<Row>, Vec<Finding>> {
    let mut findings = Vec::new();
    let mut reader = csv::ReaderBuilder::new()
        .trim(csv::Trim::All)
        .flexible(true)
        .from_reader(text.as_bytes());
    let header = reader.headers().cloned().unwrap_or_default();
    check_header(&header, &mut findings);
    if !findings.is_empty() {
        return Err(findings);
    }
    let mut rows = Vec::new();
    let mut lines = Vec::new();
    for (index, record) in reader.records().enumerate() {
        match record {
            Ok(record) => {
                let line = record.position().map_or(0, csv::Position::line);
                let mut cells = Cells {
                    header: &header,
                    record: &record,
                    line,
                    findings: &mut findings,
                };
                if let Some(row) = cells.row() {
                    rows.push(row);
                    lines.push(line);
                }
            }
            Err(err) => findings.push(Finding::new(index as u64 + 2, "line", err.to_string())),
        }
    }
    check::rows(&rows, &lines, &mut findings);
    if findings.is_empty() {
        Ok(rows)
    } else {
        findings.sort_by_key(|finding| finding.line);
        Err(findings)
    }
}

fn check_header(header: &StringRecord, findings: &mut Vec<Finding>) {
    for name in header {
        if !COLUMNS.contains(&name) {
            findings.push(Finding::new(1, name, "unknown column"));
        }
    }
    for name in COLUMNS {
        match header.iter().filter(|column| *column == name).count() {
            0 => findings.push(Finding::new(1, name, "column is missing")),
            1 => {}
            _ => findings.push(Finding::new(1, name, "column occurs more than once")),
        }
    }
}

/// Cells of one line, and the findings to which their errors are added.
struct Cells<'a> {
    header: &'a StringRecord,
    record: &'a StringRecord,
    line: u64,
    findings: &'a mut Vec<Finding>,
}

impl Cells<'_> {
    fn row(&mut self) -> Option<Row> {
        if self.record.len() != self.header.len() {
            let text = format!(
                "has {} cells, the header has {}",
                self.record.len(),
                self.header.len()
            );
            self.findings.push(Finding::new(self.line, "line", text));
            return None;
        }
        let service = self.name("service");
        let class = self.name("class");
        let weight = self.number("weight");
        let rate = self.number("rate_per_s");
        let concurrency = self.number("concurrency");
        let queue = self.number("queue");
        let wait = self.number("wait_ms");
        let deadline = self.number("deadline_ms");
        let floor = self.number("floor_percent");
        Some(Row {
            key: RowKey {
                service: service?.into(),
                class: class?.into(),
            },
            weight: weight?,
            rate: rate?,
            concurrency: concurrency?,
            queue: queue?,
            wait: Duration::from_millis(wait?),
            deadline: Duration::from_millis(deadline?),
            floor: floor?,
        })
    }

    fn cell(&self, column: &str) -> &str {
        let index = self.header.iter().position(|name| name == column);
        index
            .and_then(|index| self.record.get(index))
            .unwrap_or_default()
    }

    fn name(&mut self, column: &str) -> Option<String> {
        let text = self.cell(column).to_owned();
        if check::is_valid_name(&text) {
            return Some(text);
        }
        let message = format!("`{text}` is not a name of letters, digits, `-` and `_`");
        self.findings.push(Finding::new(self.line, column, message));
        None
    }

    fn number<T: FromStr>(&mut self, column: &str) -> Option<T> {
        let text = self.cell(column).to_owned();
        if let Ok(value) = text.parse() {
            return Some(value);
        }
        let message = format!("`{text}` is not a number of the column's kind");
        self.findings.push(Finding::new(self.line, column, message));
        None
    }
}
