//! The catalogue of events.

use log::Level;
use strum::Display;
use strum::EnumIter;

/// An event, numbered for operators.
///
/// Events are grouped by hundreds: 1xx process, 2xx routing, 3xx health, 4xx membership and
/// placement, 5xx policy table and routes, 6xx tickets, 7xx decision records, 8xx listeners, 9xx
/// the log itself.
#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
#[repr(u16)]
pub enum Event {
    /// The process has started.
    Started = 101,
    /// The instance is ready for callers.
    Ready = 102,
    /// A termination signal arrived and the instance leaves the fleet.
    Leaving = 103,
    /// All requests have finished and the process exits.
    Stopped = 104,
    /// Requests in progress were cut by a second signal, or at the end of the grace period.
    Cut = 105,
    /// The settings file was read again.
    Reloaded = 106,
    /// A request was sent to a backend server.
    Routed = 201,
    /// A request was passed to another home.
    Passed = 202,
    /// A request was refused.
    Refused = 203,
    /// A request was answered.
    Answered = 204,
    /// A request is retried.
    Retried = 205,
    /// A caller asked the directory for addresses.
    Resolved = 206,
    /// A request was queued until a slot is free.
    Queued = 207,
    /// An attempt at a backend server ended without a complete response.
    AttemptFailed = 208,
    /// A request failed, and it is unknown whether it was executed.
    Failed = 209,
    /// The caller disconnected before the response.
    CallerGone = 210,
    /// A request may crash the servers which run it, or was cleared of that.
    RequestSuspected = 211,
    /// A request was refused, since its team is over its allowance.
    AllowanceExceeded = 212,
    /// A request was refused, since this instance can't tell whether its team is over its allowance.
    AllowanceUnknown = 213,
    /// A hedged attempt was sent, while the first takes long.
    Hedged = 216,
    /// A request with a hedged attempt was answered, and the other attempt given up.
    HedgeEnded = 217,
    /// The health state of a backend server changed.
    Health = 301,
    /// A backend server was not ejected, since the capacity left would be below the floor.
    FloorHeld = 302,
    /// A backend server is leaving.
    ServerLeaving = 303,
    /// The list of backend servers changed.
    RosterChanged = 304,
    /// A row of the platform can't be decoded.
    RowUnreadable = 306,
    /// An attempt on a new connection showed why an earlier connection to the server was reset.
    ResetExplained = 307,
    /// A backend server named a limit on its requests, changed it or lifted it.
    ServerLimit = 308,
    /// The list of backend servers has another version or content.
    RosterVersion = 309,
    /// This instance may have missed changes of the list of backend servers.
    RosterStale = 310,
    /// A backend server that turned a request away asked for a pause.
    ServerPause = 311,
    /// A backend server ended while it had a request.
    ServerEnded = 312,
    /// This instance reaches no backend server while others do, or reaches them again.
    ServersUnreachable = 313,
    /// A backend server that may have left was asked whether it has.
    ServerAsked = 314,
    /// A streamed response was cut off at its deadline, since its caller did not read it.
    ResponseUnread = 316,
    /// A backend server may have ended since it held too many bytes of bodies.
    BytesBlamed = 317,
    /// Another instance has reported how many bytes of bodies a service's servers hold.
    BytesLimited = 318,
    /// A member's liveness changed.
    Member = 401,
    /// The homes or owners of a service changed.
    Placement = 402,
    /// The instance lost contact with all others, in one direction or both, or regained it.
    Isolated = 403,
    /// The instance has joined the fleet.
    Joined = 404,
    /// A datagram of another instance can't be decoded.
    PacketUnreadable = 405,
    /// A datagram is larger than one network packet.
    PacketTooLarge = 406,
    /// Another instance did not answer a call for its state.
    PeerSilent = 407,
    /// A datagram to another instance could not be sent.
    PacketUnsent = 408,
    /// This instance holds the parts of allowances of more or fewer instances.
    LeasesChanged = 409,
    /// Another instance has not reported its requests in progress for long.
    CountsExpired = 410,
    /// The platform's row under this instance's name is not the one that it has written.
    RowReplaced = 411,
    /// A newer version of the policy table is in force.
    TableApplied = 501,
    /// An edit of the policy table was accepted or refused, or its outcome is unknown.
    EditDecided = 502,
    /// A call to the platform failed.
    PlatformDown = 503,
    /// The platform answers again.
    PlatformUp = 504,
    /// A version of the routes is in force.
    RoutesApplied = 505,
    /// The platform's store is in another era: it came back from an older copy.
    PlatformRestored = 506,
    /// A version of the routes that names teams is in force.
    TeamsApplied = 507,
    /// The routes of another instance were not applied, since it doesn't say whether there are teams.
    TeamsUntold = 508,
    /// The outcome of a ticket's request was settled.
    TicketSettled = 601,
    /// Tickets were moved from a leaving instance to another.
    TicketsMoved = 602,
    /// Decision records were dropped.
    RecordsDropped = 701,
    /// A batch of decision records was stored.
    RecordsStored = 702,
    /// A connection of a caller ended with an error.
    ConnectionError = 801,
    /// Log lines were dropped, because the reader of the output is too slow.
    LinesDropped = 901,
}

impl Event {
    /// Returns the number of the event in the catalogue.
    pub fn number(self) -> u16 {
        self as u16
    }

    /// Whether the event is routine, such as one of a request that succeeded. Its lines are dropped
    /// first if not all can be written.
    pub fn is_routine(self) -> bool {
        matches!(
            self,
            Self::Routed
                | Self::Answered
                | Self::Resolved
                | Self::Queued
                | Self::ConnectionError
                | Self::AllowanceExceeded
                | Self::AllowanceUnknown
                | Self::Hedged
                | Self::HedgeEnded
        )
    }

    /// Returns the level at which the event is logged.
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
