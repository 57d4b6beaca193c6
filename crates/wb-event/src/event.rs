//! The catalogue of events.

use log::Level;
use strum::Display;
use strum::EnumIter;

/// An event, numbered for operators.
///
/// The hundreds group the events: 1xx process, 2xx routing, 3xx health, 4xx membership and
/// placement, 5xx policy table, 6xx tickets, 7xx records, 8xx listeners.
#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
#[repr(u16)]
pub enum Event {
    /// The process has started.
    Started = 101,
    /// The instance is ready for callers.
    Ready = 102,
    /// A signal to leave came.
    Leaving = 103,
    /// All work is finished and the process ends.
    Stopped = 104,
    /// A second signal cut the work in progress.
    Cut = 105,
    /// A request was given to a backend server.
    Routed = 201,
    /// A request was passed to another home.
    Passed = 202,
    /// A request was refused.
    Refused = 203,
    /// A request was answered.
    Answered = 204,
    /// A request is tried again.
    Retried = 205,
    /// The state of a backend server's health chart changed.
    Health = 301,
    /// A backend server was kept because of the floor.
    FloorHeld = 302,
    /// A backend server is leaving.
    ServerLeaving = 303,
    /// A member's liveness changed.
    Member = 401,
    /// The homes and owners of a service changed.
    Placement = 402,
    /// No other instance is heard.
    Isolated = 403,
    /// A higher version of the policy table is in force.
    TableApplied = 501,
    /// An edit was decided.
    EditDecided = 502,
    /// The platform did not answer.
    PlatformDown = 503,
    /// The platform answers again.
    PlatformUp = 504,
    /// A ticket's work was settled.
    TicketSettled = 601,
    /// Tickets were handed to another instance.
    TicketsMoved = 602,
    /// Decision records were dropped.
    RecordsDropped = 701,
    /// A batch of decision records was stored.
    RecordsStored = 702,
    /// A connection of a caller ended with an error.
    ConnectionError = 801,
}

impl Event {
    /// Number of the event in the catalogue.
    pub fn number(self) -> u16 {
        self as u16
    }

    /// Level at which the event is logged.
    pub fn level(self) -> Level {
        match self {
            Self::Routed | Self::Passed | Self::Answered | Self::Refused => Level::Info,
            Self::ConnectionError | Self::RecordsStored => Level::Debug,
            Self::Isolated | Self::PlatformDown | Self::RecordsDropped => Level::Warn,
            Self::FloorHeld | Self::Cut => Level::Warn,
            _ => Level::Info,
        }
    }
}
