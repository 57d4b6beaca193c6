//! Limits that contradict each other.

use super::Finding;
use super::ServerCounts;
use super::route_place;
use crate::Route;
use crate::RouteTable;

pub(super) fn check(table: &RouteTable, servers: &ServerCounts) -> Vec<Finding> {
    let mut findings = Vec::new();
    for route in table.routes() {
        check_times(route, &mut findings);
        check_attempts(route, servers, &mut findings);
    }
    check_limits(table, &mut findings);
    check_teams(table, &mut findings);
    findings
}

fn check_times(route: &Route, findings: &mut Vec<Finding>) {
    let place = route_place(&route.name);
    if route.timeout.is_zero() {
        findings.push(Finding::error(place, "no request is answered in 0 ms"));
    } else if route.timeout < route.target_latency {
        let text = format!(
            "the time limit of {} ms is below the latency goal of {} ms",
            route.timeout.as_millis(),
            route.target_latency.as_millis()
        );
        findings.push(Finding::error(place, text));
    }
}

fn check_attempts(route: &Route, servers: &ServerCounts, findings: &mut Vec<Finding>) {
    for part in &route.services {
        let Some(count) = servers.get(&part.service) else {
            continue;
        };
        if route.max_attempts > *count {
            let text = format!(
                "{} attempts, each at another server, but service `{}` has {count} servers",
                route.max_attempts, part.service
            );
            findings.push(Finding::warning(route_place(&route.name), text));
        }
    }
}

fn check_limits(table: &RouteTable, findings: &mut Vec<Finding>) {
    let limits = table.limits;
    let zeros = [
        (limits.head_bytes == 0, "no head has 0 bytes"),
        (limits.head_timeout.is_zero(), "no head is complete in 0 ms"),
        (
            limits.idle_timeout.is_zero(),
            "no connection is idle for 0 ms",
        ),
    ];
    for (is_zero, text) in zeros {
        if is_zero {
            findings.push(Finding::error("limits", text));
        }
    }
}

fn check_teams(table: &RouteTable, findings: &mut Vec<Finding>) {
    for (name, team) in table.teams.teams() {
        let Some(allowance) = team.allowance else {
            continue;
        };
        if allowance.burst < 1.0 {
            let text = format!("the burst of {} is less than one request", allowance.burst);
            findings.push(Finding::warning(format!("teams/{name}"), text));
        }
    }
}
