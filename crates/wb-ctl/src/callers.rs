//! The file of callers: `caller,classes,key`, classes separated by `;`.

use eyre::Context;
use eyre::ensure;
use wb_record::Batch;
use wb_types::policy::CallerRow;

/// Reads a file of callers. Keys are kept only as digests.
///
/// # Errors
///
/// The first line that is malformed.
pub fn parse(text: &str) -> eyre::Result<Vec<CallerRow>> {
    let mut reader = csv::ReaderBuilder::new()
        .trim(csv::Trim::All)
        .from_reader(text.as_bytes());
    let mut callers = Vec::new();
    for record in reader.records() {
        let record = record.wrap_err("a line of the callers' file is malformed")?;
        ensure!(
            record.len() == 3,
            "a line of the callers' file needs 3 cells"
        );
        let classes: Vec<_> = record[1]
            .split(';')
            .map(|class| class.trim().into())
            .collect();
        ensure!(!record[0].is_empty(), "a caller needs a name");
        ensure!(record[2].len() >= 8, "a key needs at least 8 characters");
        callers.push(CallerRow {
            digest: Batch::digest(&record[2]),
            caller: record[0].into(),
            classes,
        });
    }
    Ok(callers)
}
