//! Scripted scenarios on real processes.
//!
//! A scenario file holds steps: a line `name key=value ...`, a line `----` and the expected output
//! of the step. Steps print only what is the same in every run.
//!
//! | step | what it does |
//! | --- | --- |
//! | `fleet entries=N [homes=N]` | starts a fleet of the association example, with relay links |
//! | `lookups count=N [tries=N]` | sends lookups; the caller retries those that fail or are refused |
//! | `orders count=N [flow]` | sends orders with tickets, every fourth twice at once; `flow` also prints how many were done |
//! | `uploads count=N ms=N` | starts uploads that stay in progress while later steps run |
//! | `join [lost]` | waits for those uploads; `lost` counts those without a good response or a not-run refusal |
//! | `kill`, `stop`, `cont`, `start`, `leave`, `roll entry=N [unready]` | controls an entry process; `start unready` does not wait until it is ready |
//! | `link to=peers\|callers entry=N`, `to=server service=S server=N`, `to=platform`, `state=S` | sets the state of a link |
//! | `platform [outage] [lost=N] [lag=MS] [slow=MS] [stale]` | sets the faults of the platform; clears those that are left out |
//! | `knobs service=S server=N [fail=PERCENT] [slow=F] [silent] [cut=PERCENT] [leaving]` | sets the faults of a backend server; clears those that are left out |
//! | `edit service=S class=C weight=N [entry=N]` | edits the weight of one row |
//! | `race editors=N service=S class=C` | edits one row through several instances at once |
//! | `in-force weight=N service=S class=C` | waits until a weight is in force at all running instances |
//! | `named entry=N [not]` | waits until the other instances list an instance to callers, or no longer do |
//! | `sleep ms=N` | waits |
//! | `quiet service=S server=N` | counts the requests that a leaving server gets later than two seconds after its first |

mod requests;
mod state;
mod step;
mod table;

pub use state::Arguments;
pub use state::Scenario;
