//! Hedged attempt of one request, and what the log and the metrics say of it.

use std::time::Duration;

use wb_balance::Refusal;
use wb_balance::hedge;
use wb_balance::hedge::FirstAttempt;
use wb_event::Event;
use wb_event::line;
use wb_types::id::Moment;

use super::routed::RoutedRequest;
use super::slot::AttemptKind;
use crate::Context;
use crate::metrics::ServiceLabels;

/// Delay after which a hedged attempt that was refused is tried again, as a fraction of the typical
/// latency: a slot becomes free about as often at a small service.
const RETRY_DIVISOR: u32 = 4;
/// Shortest such delay.
const RETRY_MIN: Duration = Duration::from_millis(20);

/// Hedged attempt of a request, as far as it has come.
#[derive(Debug, Default)]
pub struct HedgeState {
    /// When it starts if it has not yet.
    at: Option<Moment>,
    /// When the attempt was sent beside which it starts, if operators limit hedged attempts.
    first_sent: Option<Moment>,
    /// Whether that attempt is a trial of a suspect server.
    trial: bool,
    /// Whether it was due before.
    due: bool,
    /// Whether it was refused before.
    refused: bool,
    /// When it was sent.
    sent: Option<Moment>,
}

impl HedgeState {
    /// When it starts if it has not yet.
    pub fn at(&self) -> Option<Moment> {
        self.at
    }

    /// Schedules no hedged attempt.
    pub fn cancel(&mut self) {
        self.at = None;
    }

    /// Schedules a hedged attempt beside one that is being sent.
    pub fn schedule(&mut self, context: &Context, routed: &RoutedRequest, trial: bool) {
        let now = context.now();
        self.trial = trial;
        let limit = context.settings.options.hedges.limit(&routed.service);
        let delay = if limit.is_some() {
            self.first_sent = Some(now);
            limited_delay(context, routed, trial, now)
        } else {
            Some(unlimited_delay(context, routed, trial, now))
        };
        self.at = delay.map(|delay| now + delay);
    }

    /// Records that the hedged attempt is due.
    pub fn start(&mut self, context: &Context, routed: &RoutedRequest) {
        self.at = None;
        let was_due = std::mem::replace(&mut self.due, true);
        if was_due || self.trial || self.first_sent.is_none() {
            return;
        }
        let mut state = context.state();
        let service = state.service(&routed.service, context);
        if let Some(hedging) = service.balancer.hedging() {
            hedging.record_due();
        }
    }

    /// Records that the hedged attempt was sent.
    pub fn sent(&mut self, context: &Context, routed: &RoutedRequest) {
        let now = context.now();
        self.sent = Some(now);
        let Some(first) = self.first_sent else {
            return;
        };
        count(context, routed, "started");
        line!(
            Event::Hedged,
            request = routed.id,
            service = routed.service,
            route = routed.route.name,
            after_ms = now.saturating_sub(first).as_millis() as u64
        );
    }

    /// Records that the hedged attempt was refused, and schedules the next try.
    pub fn refused(&mut self, context: &Context, routed: &RoutedRequest, refusal: &Refusal) {
        let was_refused = std::mem::replace(&mut self.refused, true);
        if self.first_sent.is_some() && !was_refused {
            count(context, routed, refusal.cause.into());
        }
        let pause = routed.latency_threshold(context, 1, Duration::ZERO) / RETRY_DIVISOR;
        self.at = Some(context.now() + pause.max(RETRY_MIN));
    }

    /// Records that an attempt was answered: the others are given up.
    pub fn answered(&self, context: &Context, routed: &RoutedRequest, winner: AttemptKind) {
        let (Some(first), Some(sent)) = (self.first_sent, self.sent) else {
            return;
        };
        let now = context.now();
        let won = winner == AttemptKind::Hedge;
        if won {
            // The first attempt would have taken longer than this.
            let mut state = context.state();
            let service = state.service(&routed.service, context);
            if let Some(hedging) = service.balancer.hedging() {
                let lasted = now.saturating_sub(first);
                hedging.record_duration(&routed.route.name, lasted, now);
            }
        }
        let outcome = if won { "won" } else { "cancelled" };
        count(context, routed, outcome);
        line!(
            Event::HedgeEnded,
            request = routed.id,
            service = routed.service,
            route = routed.route.name,
            outcome = outcome,
            first_ms = now.saturating_sub(first).as_millis() as u64,
            hedge_ms = now.saturating_sub(sent).as_millis() as u64
        );
    }
}

/// Delay of a hedged attempt that operators limit; `None` if there is none.
fn limited_delay(
    context: &Context,
    routed: &RoutedRequest,
    trial: bool,
    now: Moment,
) -> Option<Duration> {
    let route = &routed.route;
    if !route.repeat.is_idempotent() {
        return None;
    }
    let mut state = context.state();
    let service = state.service(&routed.service, context);
    service.balancer.hedging()?.delay(&route.name, trial, now)
}

/// Delay of a hedged attempt that only the budget of retries bounds.
fn unlimited_delay(
    context: &Context,
    routed: &RoutedRequest,
    trial: bool,
    now: Moment,
) -> Duration {
    let route = &routed.route;
    hedge::delay(FirstAttempt {
        typical: routed.latency_threshold(context, 1, Duration::ZERO),
        trial,
        until_target: (routed.arrived + route.target_latency).saturating_sub(now),
        until_deadline: routed.deadline.saturating_sub(now),
    })
}

fn count(context: &Context, routed: &RoutedRequest, kind: &'static str) {
    let labels = ServiceLabels {
        service: routed.service.to_string(),
        kind,
    };
    context.metrics.hedges.get_or_create(&labels).inc();
}
