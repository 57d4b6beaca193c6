//! Options files of the gateway daemon: all findings are reported at once with their positions.

use std::path::Path;

use datadriven::walk;
use wb_settings::gateway::Options;

#[test]
fn options() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/gateway");
    walk(&folder.display().to_string(), |file| {
        file.run(|case| match Options::parse("options.yaml", &case.input) {
            Ok(options) => format!("{options:?}\n"),
            Err(findings) => findings
                .iter()
                .map(|finding| format!("{finding}\n"))
                .collect(),
        });
    });
}
