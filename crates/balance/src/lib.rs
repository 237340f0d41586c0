//! balance
