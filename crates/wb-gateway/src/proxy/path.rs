//! What attempts show of this instance's path to the backend servers.

use wb_event::Event;
use wb_event::line;
use wb_types::id::ServerName;

use crate::Context;
use crate::context::State;

/// Records that a server did not respond, or could not be connected.
pub fn record_failure(context: &Context, server: &ServerName) {
    let now = context.now();
    let mut state = context.state();
    if state.reach.record_failure(server, now) {
        log_change(context, &state);
    }
}

/// Records that a server responded.
pub fn record_success(context: &Context, state: &mut State) {
    if state.reach.record_success(context.now()) {
        log_change(context, state);
    }
}

fn log_change(context: &Context, state: &State) {
    let now = context.now();
    let reach = &state.reach;
    let millis = |age: std::time::Duration| age.as_millis() as u64;
    context
        .metrics
        .servers_unreachable
        .set(i64::from(reach.is_cut()));
    line!(
        Event::ServersUnreachable,
        cut = reach.is_cut(),
        failed = reach.failed_count(),
        success_ms = reach.success_age(now).map(millis),
        peer_success_ms = reach.peer_success_age(now).map(millis)
    );
}
