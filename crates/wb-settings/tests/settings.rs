//! Settings: findings come at once, each with its place; the examples have none.

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
fn the_examples_have_no_findings() {
    for name in ["association", "mistvale"] {
        let file = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("../../examples")
            .join(name)
            .join("entry.yaml");
        let text = std::fs::read_to_string(file).expect("the example is there");
        let settings = Settings::parse("entry.yaml", &text).expect("no findings");
        assert!(!settings.to_string().contains(&settings.tokens.operators));
    }
}
