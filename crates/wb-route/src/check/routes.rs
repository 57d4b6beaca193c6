//! Routes that can never match, and services that are missing.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Finding;
use super::route_place;
use crate::Route;
use crate::RouteTable;

pub(super) fn check(table: &RouteTable) -> Vec<Finding> {
    let mut findings = Vec::new();
    for route in table.routes() {
        check_match(route, &mut findings);
        check_services(route, table, &mut findings);
    }
    check_hidden(table, &mut findings);
    check_unused(table, &mut findings);
    findings
}

fn check_match(route: &Route, findings: &mut Vec<Finding>) {
    let place = route_place(&route.name);
    if route.host.is_empty() || route.host.contains([':', '/', ' ']) {
        let text = format!("never matches: `{}` is no host name", route.host);
        findings.push(Finding::error(&place, text));
    }
    if !route.prefix.starts_with('/') {
        let text = format!(
            "never matches: prefix `{}` doesn't begin with a slash",
            route.prefix
        );
        findings.push(Finding::error(&place, text));
    } else if !route.prefix.ends_with('/') {
        let text = format!("prefix `{}` doesn't end with a slash", route.prefix);
        findings.push(Finding::warning(&place, text));
    }
}

fn check_services(route: &Route, table: &RouteTable, findings: &mut Vec<Finding>) {
    let place = route_place(&route.name);
    for part in &route.services {
        if !table.services.contains_key(&part.service) {
            let text = format!("service `{}` is not configured", part.service);
            findings.push(Finding::error(&place, text));
        }
        let is_used = part.weight.is_finite() && part.weight > 0.0;
        if !is_used {
            let text = format!(
                "service `{}` of weight {} never gets a request",
                part.service, part.weight
            );
            findings.push(Finding::error(&place, text));
        }
    }
}

/// Of routes with the same host and prefix, the first by name gets all requests.
fn check_hidden(table: &RouteTable, findings: &mut Vec<Finding>) {
    let mut first: BTreeMap<(String, &str), &Route> = BTreeMap::new();
    for route in table.routes() {
        let key = (route.host.to_ascii_lowercase(), route.prefix.as_str());
        let Some(other) = first.get(&key) else {
            first.insert(key, route);
            continue;
        };
        let text = format!(
            "never matches: route `{}` has the same host and prefix",
            other.name
        );
        findings.push(Finding::error(route_place(&route.name), text));
    }
}

fn check_unused(table: &RouteTable, findings: &mut Vec<Finding>) {
    let parts = table.routes().flat_map(|route| &route.services);
    let used: BTreeSet<&str> = parts.map(|part| &*part.service).collect();
    for name in table.services.keys() {
        if !used.contains(&**name) {
            let place = format!("services/{name}");
            findings.push(Finding::warning(place, "no route uses the service"));
        }
    }
}
