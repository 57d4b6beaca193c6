//! The catalogue of events.

use log::Level;
use strum::Display;
use strum::EnumIter;

/// An event, numbered for operators.
///
/// The hundreds group the events: 1xx process, 2xx routing, 3xx health, 4xx membership and
/// placement, 5xx policy table and routes, 6xx tickets, 7xx records, 8xx listeners, 9xx the log.
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
    /// The settings were read again.
    Reloaded = 106,
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
    /// A caller asked which addresses to use.
    Resolved = 206,
    /// A request waits for a slot.
    Queued = 207,
    /// An attempt at a backend server ended without a whole answer.
    AttemptFailed = 208,
    /// A request ended with a failure that says nothing about whether it ran.
    Failed = 209,
    /// The caller went away before the answer.
    CallerGone = 210,
    /// The state of a backend server's health chart changed.
    Health = 301,
    /// A backend server was kept because of the floor.
    FloorHeld = 302,
    /// A backend server is leaving.
    ServerLeaving = 303,
    /// The list of backend servers changed.
    RosterChanged = 304,
    /// A row of the platform can't be read.
    RowUnreadable = 306,
    /// A new connection told why an earlier one of the server was reset.
    ResetExplained = 307,
    /// A member's liveness changed.
    Member = 401,
    /// The homes and owners of a service changed.
    Placement = 402,
    /// No other instance is heard.
    Isolated = 403,
    /// The instance has joined the fleet.
    Joined = 404,
    /// A datagram of another instance can't be read.
    PacketUnreadable = 405,
    /// A datagram is larger than a packet of the network.
    PacketTooLarge = 406,
    /// An instance that was asked for what it knows did not answer.
    PeerSilent = 407,
    /// A higher version of the policy table is in force.
    TableApplied = 501,
    /// An edit was decided.
    EditDecided = 502,
    /// The platform did not answer.
    PlatformDown = 503,
    /// The platform answers again.
    PlatformUp = 504,
    /// A version of the routes is in force.
    RoutesApplied = 505,
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
    /// Lines were dropped, since the reader of the output is slow.
    LinesDropped = 901,
}

impl Event {
    /// Number of the event in the catalogue.
    pub fn number(self) -> u16 {
        self as u16
    }

    /// Whether the line tells of a request that went well, so that it goes first when lines have
    /// to be dropped.
    pub fn is_routine(self) -> bool {
        matches!(
            self,
            Self::Routed | Self::Answered | Self::Resolved | Self::Queued | Self::ConnectionError
        )
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
