//! Validation of table rows.

use std::collections::HashSet;

use wb_types::policy::Row;

use crate::Finding;

/// Maximum length of a service or class name, in bytes.
const NAME_BYTES_MAX: usize = 64;
/// Maximum weight of a row.
const WEIGHT_MAX: u32 = 1000;

/// Whether a text is a valid name of a service or class.
pub fn is_valid_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    !text.is_empty() && text.len() <= NAME_BYTES_MAX && text.chars().all(allowed)
}

/// Validates each row, and that no key occurs twice.
///
/// `lines` gives the line of each row in its file; rows without one are reported at line 0.
pub fn rows(rows: &[Row], lines: &[u64], findings: &mut Vec<Finding>) {
    let mut seen = HashSet::new();
    for (index, row) in rows.iter().enumerate() {
        let line = lines.get(index).copied().unwrap_or(0);
        let mut add = |column: &str, text: &str| findings.push(Finding::new(line, column, text));
        if !seen.insert(&row.key) {
            add("class", "the service has a row for this class already");
        }
        if !is_valid_name(&row.key.service) || !is_valid_name(&row.key.class) {
            add("service", "service and class are names");
        }
        if row.weight == 0 || row.weight > WEIGHT_MAX {
            add("weight", "must be 1 to 1000");
        }
        if !row.rate.is_finite() || row.rate <= 0.0 {
            add("rate_per_s", "must be above 0");
        }
        if row.concurrency == 0 {
            add("concurrency", "must be above 0");
        }
        if row.deadline.is_zero() {
            add("deadline_ms", "must be above 0");
        }
        if row.wait > row.deadline {
            add("wait_ms", "must not be above deadline_ms");
        }
        if row.floor > 100 {
            add("floor_percent", "must be 0 to 100");
        }
    }
}
