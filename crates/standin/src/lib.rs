//! standin
