//! What was decided for one request, and the line that tells of it.

mod journal;
mod trail;

pub use journal::Journal;
pub use trail::{Attempt, SUCCESS, Trail};
