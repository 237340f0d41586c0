//! The interface to callers: listener, limits, replies.

pub mod body;
pub mod directions;
pub mod header;
pub mod listener;
pub mod reply;
pub mod upload;
