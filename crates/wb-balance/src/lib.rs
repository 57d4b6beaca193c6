//! Choice of a backend server, queueing and refusal, without I/O.
//!
//! - [`bytes`]: body bytes in flight at the servers, and how many they can hold.
//! - [`closing`]: which requests are still sent before the process ends.
//! - [`detector`]: failure detector of one server, and when a suspect server is tried again.
//! - [`balancer`]: the servers of one service, the choice among them, and the queue.
//! - [`durations`]: average durations of the requests of each route.
//! - [`lines`]: the teams that have queued requests.
//! - [`pause`]: pauses that servers ask for.
//! - [`retry`]: budget of retries and hedged sends.
//! - [`hedge`]: when a second attempt starts while the first is in progress.
//! - [`hedging`]: hedged attempts within a limit that operators set.
//! - [`idle`]: how long a connection may have been idle and still be reused.
//! - [`limit`]: request rates to which servers limit the fleet.
//! - [`options`]: limits and cost weights, with their units.
//! - [`ranks`]: how many of the requests that come are of which priority.
//! - [`shares`]: what each team has been served, and is due.
//! - [`overload`]: how long requests have come faster than they are served.
//!
//! All functions take the current time as an argument, so that tests run on virtual time.

pub mod balancer;
pub mod bytes;
pub mod closing;
pub mod detector;
pub mod durations;
pub mod hedge;
pub mod hedging;
pub mod idle;
pub mod limit;
pub mod lines;
pub mod options;
pub mod overload;
pub mod pause;
pub mod ranks;
pub mod retry;
pub mod shares;

pub use balancer::Assignment;
pub use balancer::AttemptOutcome;
pub use balancer::Balancer;
pub use balancer::Decision;
pub use balancer::ListedServer;
pub use balancer::Refusal;
pub use balancer::RequestInfo;
pub use balancer::ServerKey;
pub use balancer::TeamShare;
pub use balancer::WaitKey;
pub use detector::Evidence;
pub use detector::FailureDetector;
pub use hedging::HedgeLimit;
pub use hedging::Hedging;
pub use idle::IdleLimits;
pub use options::Options;
pub use retry::RetryBudget;
