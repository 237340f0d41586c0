//! Why a request is refused.

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// It would wait too long; decided on arrival.
    Overload,
    /// It would be late behind requests of more value that arrived after it.
    Displaced,
    /// It can no longer be answered in time.
    Expired,
}
