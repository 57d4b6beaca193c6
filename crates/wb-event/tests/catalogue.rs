//! The catalogue page lists every event, and nothing else.

use std::collections::BTreeSet;
use std::path::Path;

use strum::IntoEnumIterator;
use wb_event::Event;

#[test]
fn the_page_matches_the_code() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/EVENTS.md");
    let text = std::fs::read_to_string(page).expect("the page is there");
    let listed: BTreeSet<String> = text
        .lines()
        .filter_map(|line| line.strip_prefix("| E"))
        .filter_map(|line| {
            let mut cells = line.split('|').map(str::trim);
            Some(format!(
                "{} {}",
                cells.next()?,
                cells.next()?.trim_matches('`')
            ))
        })
        .collect();
    let known: BTreeSet<String> = Event::iter()
        .map(|event| format!("{:03} {event}", event.number()))
        .collect();
    assert_eq!(listed, known);
}
