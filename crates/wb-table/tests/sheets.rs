//! Table files, valid and invalid: the cases in `scenarios/sheet`.

use std::path::Path;

use datadriven::walk;
use wb_table::table_file::parse;
use wb_table::table_file::write;

#[test]
fn table_files() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/sheet");
    walk(&folder.display().to_string(), |file| {
        file.run(|case| match parse(&case.input) {
            Ok(rows) => write(rows.iter()),
            Err(findings) => findings
                .iter()
                .map(|finding| format!("{finding}\n"))
                .collect(),
        });
    });
}

#[test]
fn example_table_files_have_no_findings() {
    for name in ["association", "mistvale"] {
        let file = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("../../examples")
            .join(name)
            .join("table.csv");
        let text = std::fs::read_to_string(file).expect("the example exists");
        let rows = parse(&text).expect("the example has no findings");
        assert_eq!(parse(&write(rows.iter())), Ok(rows));
    }
}
