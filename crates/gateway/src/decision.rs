//! The decisions taken for a request, and its log line.

mod limiter;
mod trace;

pub use limiter::Limiter;
pub use trace::{Attempt, SUCCESS, Trace};
