//! Accounting of the memory that a daemon holds for its callers.
//!
//! Everything is counted where it is allocated, in one [`Account`] with one limit. Connections
//! register as [`Holder`]s; when memory runs short, the least useful of them gives its memory up.
//! Nothing here does input or output, and the time is passed in.

mod account;
mod buffer;
mod charge;
mod holder;
mod meter;
mod pool;
mod share;

pub use account::{Account, Kind};
pub use buffer::{Buffer, Exhausted};
pub use charge::Charge;
pub use holder::{Holder, Stage};
pub use meter::Meter;
pub use pool::Memory;
pub use share::Share;
