//! Simulation of one service under overload: slots shared by several daemons, each with a queue of
//! its own, and callers that come back after a refusal.

// Each program that includes this module uses a part of it.
#![allow(dead_code, unreachable_pub, unused_imports)]

mod current;
mod model;
mod pattern;
mod policy;
mod previous;
mod score;

pub use current::Current;
pub use model::run;
pub use pattern::{Kind, Pattern, Source, patterns};
pub use policy::Policy;
pub use previous::Previous;
pub use score::{Score, Scores};
