//! peer
