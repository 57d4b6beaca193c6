//! Steps of scripted scenarios on real processes.
//!
//! A scenario file holds steps; each is a line `name key=value ...`, a line `----`, and what the
//! step must print. Steps print only what is the same each run.
//!
//! | step | what it does |
//! | --- | --- |
//! | `fleet entries=N [homes=N]` | starts a fleet of the Association's with links |
//! | `lookups count=N [tries=N]` | lookups, each tried again by the caller if it is refused |
//! | `orders count=N` | orders under tickets, some sent twice |
//! | `uploads count=N ms=N` | uploads that stay in progress while later steps run |
//! | `join [lost]` | waits for those uploads; `lost` counts those without answer or refusal |
//! | `kill`, `stop`, `cont`, `start`, `leave`, `roll entry=N` | what happens to an entry process |
//! | `link to=peers\|callers entry=N`, `to=server service=S server=N`, `to=platform`, `state=S` | changes a link |
//! | `platform [outage] [lost=N] [lag=MS] [stale]` | the platform's faults; none if not named |
//! | `knobs service=S server=N [fail=PERCENT] [slow=F] [silent] [cut=PERCENT] [leaving]` | a backend server's faults |
//! | `edit service=S class=C weight=N [entry=N]` | edits one row |
//! | `race editors=N` | edits of one row from several instances at once |
//! | `in-force weight=N service=S class=C` | waits until a row is in force at all instances |
//! | `named entry=N [not]` | waits until the others (do not) name an instance to callers |
//! | `sleep ms=N` | lets time pass |
//! | `quiet service=S server=N` | a leaving server gets nothing more |

mod state;
mod step;
mod table;
mod work;

pub use state::Arguments;
pub use state::Scenario;
