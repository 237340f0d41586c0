//! admission
