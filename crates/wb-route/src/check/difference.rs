//! What differs between two versions of a configuration.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Debug;

use serde::Serialize;

use super::route_place;
use crate::Route;
use crate::RouteTable;

/// A part that differs.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Change {
    /// The part, such as `routes/lookup`, with the name of the value if both versions have the part.
    pub place: String,
    /// Value before; `None` if there was none.
    pub before: Option<String>,
    /// Value afterwards; `None` if there is none.
    pub after: Option<String>,
}

/// Values of a configuration, by place.
type Values = BTreeMap<String, String>;

/// What differs between two versions, in the order of the places. Of keys, only their numbers are named.
pub fn compare(before: &RouteTable, after: &RouteTable) -> Vec<Change> {
    let (old, new) = (values(before), values(after));
    let places: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    let mut changes: Vec<Change> = places
        .into_iter()
        .filter(|place| old.get(*place) != new.get(*place))
        .map(|place| Change {
            place: place.clone(),
            before: old.get(place).cloned(),
            after: new.get(place).cloned(),
        })
        .collect();
    changes.extend(key_changes(before, after));
    changes.sort();
    changes
}

fn values(table: &RouteTable) -> Values {
    let mut values = Values::new();
    for route in table.routes() {
        add_route(&mut values, route);
    }
    for (name, service) in &table.services {
        let place = format!("services/{name}");
        add(&mut values, &place, "connections", &service.max_connections);
        add(&mut values, &place, "health_path", &service.health_path);
    }
    add(
        &mut values,
        "limits",
        "head_bytes",
        &table.limits.head_bytes,
    );
    add(
        &mut values,
        "limits",
        "body_bytes",
        &table.limits.body_bytes,
    );
    add(
        &mut values,
        "limits",
        "head_timeout",
        &table.limits.head_timeout,
    );
    add(
        &mut values,
        "limits",
        "idle_timeout",
        &table.limits.idle_timeout,
    );
    for (name, team) in table.teams.teams() {
        let place = format!("teams/{name}");
        add(&mut values, &place, "priority", &team.priority);
        add(&mut values, &place, "allowance", &team.allowance);
    }
    values
}

fn add_route(values: &mut Values, route: &Route) {
    let place = route_place(&route.name);
    add(values, &place, "host", &route.host);
    add(values, &place, "prefix", &route.prefix);
    add(values, &place, "repeat", &route.repeat);
    add(values, &place, "timeout", &route.timeout);
    add(values, &place, "target_latency", &route.target_latency);
    add(values, &place, "priority", &route.priority);
    add(values, &place, "max_attempts", &route.max_attempts);
    let parts = route.services.iter();
    let parts: Vec<(&str, f64)> = parts.map(|part| (&*part.service, part.weight)).collect();
    add(values, &place, "services", &parts);
}

fn add(values: &mut Values, place: &str, name: &str, value: &impl Debug) {
    values.insert(format!("{place}/{name}"), format!("{value:?}"));
}

fn key_changes(before: &RouteTable, after: &RouteTable) -> Vec<Change> {
    let teams = before.teams.teams().chain(after.teams.teams());
    let names: BTreeSet<_> = teams.map(|(name, _)| name).collect();
    let mut changes = Vec::new();
    for name in names {
        let removed = before.teams.keys_missing_in(&after.teams, name);
        let added = after.teams.keys_missing_in(&before.teams, name);
        let number = |count: usize| (count > 0).then(|| format!("{count} keys"));
        if removed + added > 0 {
            changes.push(Change {
                place: format!("teams/{name}/keys"),
                before: number(removed),
                after: number(added),
            });
        }
    }
    changes
}
