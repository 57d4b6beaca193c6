//! The team of a request's caller: read from its key, passed on to other instances by name, and named
//! to servers.
//!
//! Where the configuration names teams, the key is taken out of the head before anything else is done
//! with it, so that it can't reach a server, another instance or a log line.

use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;
use wb_team::Caller;
use wb_team::TeamTable;

use super::routed::Origin;
use super::routed::Rejection;
use crate::Context;
use crate::platform::Headers;

/// Header of a request that another instance has passed on: the team of its caller.
const PASSED_TEAM: HeaderName = HeaderName::from_static("wisteria-team");
/// Retry delay that callers are given while this instance reads newer routes, by which their key may
/// be known: that of a heartbeat and a call.
const BEHIND_RETRY: Duration = Duration::from_millis(400);

/// What a request says about its team.
pub enum Claim {
    /// Its caller sent this key; `None` if it sent none, or more than one.
    Key(Option<HeaderValue>),
    /// The instance that passed it on has checked the key, and names the team.
    Passed(HeaderValue),
    /// The instance that passed it on has named no team: it has routed it by routes without teams, or
    /// the route is public, or its build knows no teams.
    PassedUnnamed(Option<HeaderValue>),
}

/// Takes the team that another instance has named out of the head of a request that it passed on.
pub fn take_passed(headers: &mut HeaderMap) -> Option<HeaderValue> {
    headers.remove(PASSED_TEAM)
}

/// Takes all that says something about the team out of the head of a request. Without teams, keys are
/// headers like others and stay.
pub fn take_claim(
    context: &Context,
    teams: &TeamTable,
    headers: &mut HeaderMap,
    origin: Origin,
) -> Claim {
    let passed = take_passed(headers);
    let key = if teams.is_empty() {
        None
    } else {
        take_key(headers, &context.headers)
    };
    match (origin, passed) {
        (Origin::Caller, _) => Claim::Key(key),
        (Origin::Instance { .. }, Some(team)) => {
            remove(headers, &context.headers.team);
            Claim::Passed(team)
        }
        (Origin::Instance { .. }, None) => Claim::PassedUnnamed(key),
    }
}

/// Takes the key out of the head, and the headers of the key and of the team in all spellings that a
/// server may take for them. Returns the key if there is exactly one.
fn take_key(headers: &mut HeaderMap, names: &Headers) -> Option<HeaderValue> {
    let mut keys = headers.get_all(&names.key).iter();
    let key = keys.next().cloned();
    let key = key.filter(|_| keys.next().is_none());
    remove(headers, &names.key);
    remove(headers, &names.team);
    key
}

/// Removes a header, also where its name is spelt with underscores: to some servers that is the same.
fn remove(headers: &mut HeaderMap, name: &HeaderName) {
    let dashed = |byte| if byte == b'_' { b'-' } else { byte };
    let is_spelt =
        |other: &&HeaderName| other.as_str().bytes().map(dashed).eq(name.as_str().bytes());
    let spellings: Vec<HeaderName> = headers.keys().filter(is_spelt).cloned().collect();
    for spelling in spellings {
        headers.remove(spelling);
    }
}

/// Finds the team of a request.
///
/// # Errors
///
/// A [`Rejection`] if the request needs a key and has none that is known. It may be repeated if it may be
/// proper by newer routes, or by those of the instance that passed it on.
pub fn identify(
    context: &Context,
    teams: &TeamTable,
    route: &str,
    claim: Claim,
) -> Result<Option<Caller>, Rejection> {
    let (key, passed) = match claim {
        Claim::Passed(team) => return caller_named(teams, &team),
        Claim::Key(key) => (key, false),
        Claim::PassedUnnamed(key) => (key, true),
    };
    let found = teams.identify(route, key.as_ref().map(HeaderValue::as_bytes));
    found.map_err(|err| {
        // The heartbeat that announced newer routes has woken the task that reads them.
        let behind = context.state().has_older_routes(context.now());
        if passed || behind {
            return Rejection::retry_later("routes_behind", BEHIND_RETRY);
        }
        Rejection::new(StatusCode::UNAUTHORIZED, err.into())
    })
}

/// The caller of the team that another instance has named.
fn caller_named(teams: &TeamTable, team: &HeaderValue) -> Result<Option<Caller>, Rejection> {
    let name = str::from_utf8(team.as_bytes());
    let name = name.map_err(|_| Rejection::new(StatusCode::BAD_REQUEST, "bad_team"))?;
    Ok(Some(teams.caller(&name.into())))
}

/// Names the team of a request to a server.
pub fn name(headers: &mut HeaderMap, caller: Option<&Caller>, header: &HeaderName) {
    let Some(caller) = caller else {
        return;
    };
    // Names that can't be sent are not decoded.
    if let Ok(team) = HeaderValue::from_bytes(caller.team.as_bytes()) {
        headers.insert(header, team);
    }
}

/// Names the team of a request that is passed on to another instance. A build that knows no teams
/// passes on what is meant for servers as it is.
pub fn mark(headers: &mut HeaderMap, caller: Option<&Caller>, names: &Headers) {
    name(headers, caller, &PASSED_TEAM);
    name(headers, caller, &names.team);
}
