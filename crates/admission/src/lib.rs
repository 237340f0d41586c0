//! Admission control by rank for one service on one entry host, retry budgets, and propagation of
//! deadlines.
//!
//! A [`Gate`] decides which request may hold one of the service's slots. Ranks are served by
//! urgency, but each keeps a guaranteed minimum share (its floor); the callers of a rank are served
//! fairly; a request that can't be answered before its deadline is refused at once. The crate does
//! no I/O and uses no threads or clocks: every call takes the time, and the same calls give the
//! same results.

mod budget;
mod deadline;
mod estimate;
mod event;
mod gate;
mod lane;
mod queue;
mod rank;
mod request;
mod settings;
mod snapshot;
mod verdict;

pub use budget::Budget;
pub use deadline::Deadline;
pub use event::Event;
pub use gate::Gate;
pub use rank::Rank;
pub use request::Request;
pub use settings::Settings;
pub use snapshot::{Counts, Lane, Snapshot};
pub use verdict::{Displacement, Reason, Refusal, Verdict};

/// Id of a request, unique among the requests that a gate holds.
pub type RequestId = u64;
/// Name of a rank.
pub type RankId = std::sync::Arc<str>;
/// Name of a caller.
pub type Caller = std::sync::Arc<str>;
