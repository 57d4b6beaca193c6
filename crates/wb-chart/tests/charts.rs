//! The fleet's charts, and charts with faults.

use std::path::Path;
use std::sync::Arc;

use assert_matches::assert_matches;
use wb_chart::Chart;
use wb_chart::Error;
use wb_chart::Machine;

#[test]
fn the_fleets_charts_are_whole() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../charts");
    for entry in std::fs::read_dir(folder).expect("the folder is there") {
        let file = entry.expect("an entry").path();
        let text = std::fs::read_to_string(&file).expect("a chart");
        assert_matches!(Chart::parse(&text), Ok(_), "{}", file.display());
    }
}

#[test]
fn faults_are_told_together() {
    let text = "name: x\nfirst: a\nstates:\n  b: {go: c}\n  d: {}\n";
    assert_matches!(Chart::parse(text), Err(Error::Findings(list)) if list.len() == 4);
    assert_matches!(Chart::parse("name: x"), Err(Error::Syntax(_)));
}

#[test]
fn a_machine_takes_only_what_its_state_accepts() {
    let text = "name: x\nfirst: a\nstates:\n  a: {go: b}\n  b: {back: a}\n";
    let chart = Chart::parse(text).expect("a whole chart");
    let mut machine = Machine::new(Arc::new(chart));
    assert_eq!(machine.step("back"), None);
    assert_eq!(machine.step("go"), Some("b"));
    assert!(machine.accepts("back") && !machine.accepts("go"));
}
