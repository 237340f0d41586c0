//! Planned stops: until when a leaving daemon accepts requests, and when it answers the last ones.

mod schedule;
mod state;

pub use schedule::Schedule;
pub use state::State;
