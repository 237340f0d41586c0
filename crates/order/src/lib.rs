//! order
