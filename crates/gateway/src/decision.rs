//! The decisions taken for a request, and its log line.

mod limiter;
mod origin;
mod trace;

pub use limiter::Limiter;
pub use origin::Origin;
pub use trace::{Attempt, SUCCESS, Trace};
