//! Allowances of teams: a request above that of its team is refused before its body is read.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use wb_allowance::Refusal;
use wb_allowance::Verdict;
use wb_event::Event;
use wb_event::line;
use wb_types::id::Moment;
use wb_types::id::TeamName;

use super::routed::Origin;
use super::routed::Rejection;
use super::routed::RoutedRequest;
use crate::Context;
use crate::allowance_metrics::Admission;
use crate::clock;
use crate::context::State;
use crate::peers::allowance::send_questions;

/// Interval at which it is checked whether tokens have accrued for a request that waits for one.
const RECHECK_INTERVAL: Duration = Duration::from_millis(25);

/// The token of a request, given back when it is dropped unless it was spent.
pub struct Token {
    context: Arc<Context>,
    team: TeamName,
    taken: Moment,
    spent: bool,
}

impl Token {
    /// Marks the token as spent: a server may have executed the request.
    pub fn spend(&mut self) {
        self.spent = true;
    }
}

impl Drop for Token {
    fn drop(&mut self) {
        if self.spent {
            return;
        }
        let now = clock::boot_time();
        let mut state = self.context.state();
        state.allowances.give_back(&self.team, self.taken, now);
    }
}

/// Takes a token of the team's allowance, and waits a moment for another instance to lend one if there
/// is none here. Returns `None` if the request needs none. What another instance passes on has been
/// counted there.
///
/// # Errors
///
/// A [`Rejection`] if the team is over its allowance, or this instance can't tell.
pub async fn admit(
    context: &Arc<Context>,
    routed: &RoutedRequest,
) -> Result<Option<Token>, Rejection> {
    let caller = routed.caller.as_ref();
    let limited = caller.filter(|caller| caller.allowance.is_some());
    let (Some(caller), Origin::Caller) = (limited, routed.origin) else {
        return Ok(None);
    };
    let team = &caller.team;
    let mut waits_until = None;
    loop {
        let grants = context.allowance_wakeup.notified();
        match decide(context, team, waits_until) {
            Verdict::Admitted => break,
            Verdict::Refused(refusal) => return Err(refuse(context, routed, team, &refusal)),
            Verdict::Wait(until) => {
                waits_until = Some(until);
                let wait = until
                    .saturating_sub(clock::boot_time())
                    .min(RECHECK_INTERVAL);
                tokio::select! {
                    () = grants => {}
                    () = tokio::time::sleep(wait) => {}
                }
            }
        }
    }
    let metrics = &context.metrics.allowances;
    metrics.count(team, Admission::Admitted);
    Ok(Some(Token {
        context: context.clone(),
        team: team.clone(),
        taken: clock::boot_time(),
        spent: false,
    }))
}

fn decide(context: &Context, team: &TeamName, waits_until: Option<Moment>) -> Verdict {
    let now = clock::boot_time();
    let mut state = context.state();
    let state: &mut State = &mut state;
    let verdict = match waits_until {
        None => state.allowances.admit(team, now),
        Some(until) => state.allowances.decide(team, until, now),
    };
    send_questions(context, state);
    verdict
}

fn refuse(
    context: &Context,
    routed: &RoutedRequest,
    team: &TeamName,
    refusal: &Refusal,
) -> Rejection {
    let (event, admission, status, reason) = if refusal.is_over {
        let status = StatusCode::TOO_MANY_REQUESTS;
        let event = Event::AllowanceExceeded;
        (event, Admission::Exceeded, status, "allowance")
    } else {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let event = Event::AllowanceUnknown;
        (event, Admission::Unknown, status, "allowance_unknown")
    };
    line!(
        event,
        request = routed.id,
        route = routed.route.name,
        team = team,
        level = refusal.level,
        part = refusal.part,
        after_ms = refusal.retry_after.as_millis() as u64
    );
    context.metrics.allowances.count(team, admission);
    Rejection {
        status,
        reason,
        retry_after: Some(refusal.retry_after),
    }
}
