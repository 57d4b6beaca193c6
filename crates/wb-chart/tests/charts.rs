//! Charts of the fleet, and charts with errors.

use std::path::Path;
use std::sync::Arc;

use assert_matches::assert_matches;
use wb_chart::Chart;
use wb_chart::Error;
use wb_chart::Machine;

#[test]
fn charts_of_the_fleet_are_valid() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../charts");
    for entry in std::fs::read_dir(folder).expect("the folder exists") {
        let file = entry.expect("a readable entry").path();
        let text = std::fs::read_to_string(&file).expect("a readable file");
        assert_matches!(Chart::parse(&text), Ok(_), "{}", file.display());
    }
}

#[test]
fn all_errors_of_a_chart_are_reported_together() {
    let text = "name: x\nfirst: a\nstates:\n  b: {go: c}\n  d: {}\n";
    assert_matches!(Chart::parse(text), Err(Error::Findings(list)) if list.len() == 4);
    assert_matches!(Chart::parse("name: x"), Err(Error::Syntax(_)));
}

#[test]
fn machine_ignores_events_without_a_transition() {
    let text = "name: x\nfirst: a\nstates:\n  a: {go: b}\n  b: {back: a}\n";
    let chart = Chart::parse(text).expect("a valid chart");
    let mut machine = Machine::new(Arc::new(chart));
    assert_eq!(machine.step("back"), None);
    assert_eq!(machine.step("go"), Some("b"));
    assert!(machine.accepts("back") && !machine.accepts("go"));
}
