//! Type aliases for ids.

use std::sync::Arc;
use std::time::Duration;

/// Name of an instance, unique in the fleet, e.g. `entry-07`.
pub type InstanceName = Arc<str>;
/// Random number drawn once for each process start of an instance.
pub type Incarnation = u64;
/// Name of a service, e.g. `registry`.
pub type ServiceName = Arc<str>;
/// Name of a class of callers, e.g. `relief`.
pub type ClassName = Arc<str>;
/// Name of a caller, as the key table gives it.
pub type CallerName = Arc<str>;
/// Name of a backend server, unique in its service.
pub type ServerName = Arc<str>;
/// Name of a failure domain.
pub type DomainName = Arc<str>;
/// Version of the policy table; each committed edit has a higher one.
pub type TableVersion = u64;
/// Id of an edit, chosen by the editor.
pub type EditId = Arc<str>;
/// Id of a request, unique in the fleet: `<instance>-<incarnation>-<count>`.
pub type RequestId = Arc<str>;
/// Time since a fixed start: the process's on real time, a test's on virtual time.
pub type Moment = Duration;
