//! Why an order must not be dispatched.

use crate::{Action, Outcome};

/// Why an order must not be dispatched.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Denial {
    /// The outcome of the order, for the request that was to run it.
    pub outcome: Outcome,
    /// What is to be done besides, such as to answer repeats that wait.
    pub actions: Vec<Action>,
}
