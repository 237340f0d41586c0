//! Why an order must not be dispatched.

use crate::{Action, Outcome};

/// Why an order must not be dispatched.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Denial {
    /// The outcome of the order, for the request that was to execute it.
    pub outcome: Outcome,
    /// Further actions, such as answering the repeats that wait.
    pub actions: Vec<Action>,
}
