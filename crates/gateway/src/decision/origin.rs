//! Who made the answer that a caller got.

/// Who made the answer that a caller got.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    /// The daemon itself.
    Daemon,
    /// The upstream that signed it.
    Upstream,
    /// It came on the connection to an upstream, without a signature.
    Unsigned,
}

impl Origin {
    /// Name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Daemon => "daemon",
            Self::Upstream => "upstream",
            Self::Unsigned => "unsigned",
        }
    }
}
