//! Type aliases for names, ids, versions and times.

use std::sync::Arc;
use std::time::Duration;

/// Name of an instance, unique in the fleet, e.g. `entry-07`.
pub type InstanceName = Arc<str>;
/// Number of a process start of an instance; a later start has a higher one.
pub type Incarnation = u64;
/// Name of a service, e.g. `registry`.
pub type ServiceName = Arc<str>;
/// Name of a class of callers, e.g. `relief`.
pub type ClassName = Arc<str>;
/// Name of a team, unique in the configuration.
pub type TeamName = Arc<str>;
/// Name of a caller, from its row in the callers file.
pub type CallerName = Arc<str>;
/// Name of a backend server, unique in its service.
pub type ServerName = Arc<str>;
/// Name of a failure domain.
pub type DomainName = Arc<str>;
/// Version of the policy table; it increases with every committed edit.
pub type TableVersion = u64;
/// Id of an edit, chosen by the editor.
pub type EditId = Arc<str>;
/// Id of a request, unique in the fleet: `<instance>-<incarnation>-<count>`.
pub type RequestId = Arc<str>;
/// Digest of what makes two requests the same, whatever attempt, caller or instance they come from.
pub type RequestKey = u128;
/// Time since a fixed origin: the start of the process, or of the virtual clock in a test.
pub type Moment = Duration;
