//! Parser of the callers file: CSV with the columns `caller,classes,key`, classes separated by `;`.

use eyre::Context;
use eyre::ensure;
use wb_record::Batch;
use wb_types::policy::CallerRow;

/// Parses a callers file. Keys are returned only as digests.
///
/// # Errors
///
/// For the first malformed line.
pub fn parse(text: &str) -> eyre::Result<Vec<CallerRow>> {
    let mut reader = csv::ReaderBuilder::new()
        .trim(csv::Trim::All)
        .from_reader(text.as_bytes());
    let mut callers = Vec::new();
    for record in reader.records() {
        let record = record.wrap_err("malformed line in the callers file")?;
        ensure!(
            record.len() == 3,
            "a line of the callers file must have 3 fields"
        );
        let classes: Vec<_> = record[1]
            .split(';')
            .map(|class| class.trim().into())
            .collect();
        ensure!(
            !record[0].is_empty(),
            "the name of a caller must not be empty"
        );
        ensure!(
            record[2].len() >= 8,
            "a key must have at least 8 characters"
        );
        callers.push(CallerRow {
            digest: Batch::digest(&record[2]),
            caller: record[0].into(),
            classes,
        });
    }
    Ok(callers)
}
