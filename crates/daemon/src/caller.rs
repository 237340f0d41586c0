//! The side of the daemon that callers see: listener, limits, replies.

pub mod body;
pub mod directions;
pub mod header;
pub mod listener;
pub mod reply;
