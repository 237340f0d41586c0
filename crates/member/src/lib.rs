//! member
