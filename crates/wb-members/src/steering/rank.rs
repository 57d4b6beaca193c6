//! The ranking of instances that all of them agree on.

use std::cmp::Reverse;
use std::collections::HashMap;

use wb_types::id::DomainName;
use wb_types::id::InstanceName;
use wb_types::rendezvous::weight;

use super::Card;

/// Subject of the rendezvous hash.
const SUBJECT: &str = "homes";

/// Names in order of CPU share, largest first; among equals, the failure domains take turns.
pub(super) fn rank<'a>(cards: impl Iterator<Item = &'a Card>) -> Vec<InstanceName> {
    let mut cards: Vec<&Card> = cards.collect();
    let millis = |card: &Card| (card.cores * 1000.0) as u32;
    cards.sort_by_key(|card| (Reverse(millis(card)), Reverse(weight(SUBJECT, &card.name))));
    let mut turns: HashMap<(u32, &DomainName), usize> = HashMap::new();
    let mut placed: Vec<_> = cards
        .into_iter()
        .map(|card| {
            let turn = turns.entry((millis(card), &card.domain)).or_default();
            *turn += 1;
            let key = (
                Reverse(millis(card)),
                *turn,
                Reverse(weight(SUBJECT, &card.name)),
            );
            (key, card.name.clone())
        })
        .collect();
    placed.sort();
    placed.into_iter().map(|(_, name)| name).collect()
}
