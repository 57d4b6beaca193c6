//! Settings files: all findings are reported at once with their positions; the examples are valid.

use std::path::Path;

use datadriven::walk;
use wb_settings::Settings;

#[test]
fn settings() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/settings");
    walk(&folder.display().to_string(), |file| {
        file.run(|case| match Settings::parse("entry.yaml", &case.input) {
            Ok(settings) => settings.to_string(),
            Err(findings) => findings
                .iter()
                .map(|finding| format!("{finding}\n"))
                .collect(),
        });
    });
}

#[test]
fn examples_are_valid_and_print_no_token() {
    for name in ["association", "mistvale"] {
        let file = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("../../examples")
            .join(name)
            .join("entry.yaml");
        let text = std::fs::read_to_string(file).expect("the example exists");
        let settings = Settings::parse("entry.yaml", &text).expect("no findings");
        assert!(!settings.to_string().contains(&settings.tokens.operators));
    }
}
