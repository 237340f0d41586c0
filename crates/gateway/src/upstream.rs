//! Connections to upstreams, and single exchanges over them.

mod exchange;
mod pool;

pub use exchange::{Answered, Exchange, Failure};
pub use pool::{Link, Pool};

/// A whole answer, or why there is none.
pub type Result<T, E = Failure> = std::result::Result<T, E>;
