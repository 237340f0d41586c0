//! Planned stops: until when a leaving daemon accepts requests, and when it answers the last ones.

mod schedule;
mod state;
mod work;

pub use schedule::Schedule;
pub use state::State;
pub use work::Work;
