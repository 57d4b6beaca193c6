//! Numbered log events.
//!
//! Every log line of the fleet carries the number and name of an [`Event`]. `docs/EVENTS.md`
//! explains each of them.

mod event;
pub mod line;

pub use event::Event;

/// Logs an event as text through the `log` crate, as in
/// `wb_event::emit!(Event::Routed, "request={id} server={server}")`.
#[macro_export]
macro_rules! emit {
    ($event:expr, $($arg:tt)+) => {{
        let event: $crate::Event = $event;
        ::log::log!(
            target: "wisteria",
            event.level(),
            "E{:03} {} {}",
            event.number(),
            event,
            format_args!($($arg)+)
        )
    }};
}
