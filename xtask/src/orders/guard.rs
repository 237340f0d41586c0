//! Guards of the order protocol that the harness can take away, to see that a check notices.

use std::str::FromStr;

/// A guard of the order protocol.
///
/// The product code has no switch for any of them: the harness feeds the engine what it would see,
/// or does what the daemon would do, if the guard were missing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Guard {
    /// An order that has ended stays ended when its record is read after all.
    Burn,
    /// A dispatch is checked against the deadline at the last moment.
    Deadline,
    /// A repeat must carry the same request.
    Fingerprint,
    /// Only the issuer dispatches; other hosts pass the order on.
    Issuer,
    /// A host that can't reach the issuer doesn't say that the order was not run.
    NotRun,
    /// One dispatch for each permit.
    Permit,
    /// An order is dispatched when its record is read back, not when its append is acknowledged.
    ReadBack,
    /// A request that may have been sent is not sent again.
    Resend,
    /// A host that recovers a journal notices that the log dropped records.
    Retention,
    /// The issuer heeds its revocation.
    Revocation,
    /// Deadlines are looked after.
    Timers,
}

impl Guard {
    /// Every guard with its name on the command line.
    pub(crate) const ALL: [(&'static str, Self); 11] = [
        ("burn", Self::Burn),
        ("deadline", Self::Deadline),
        ("fingerprint", Self::Fingerprint),
        ("issuer", Self::Issuer),
        ("not-run", Self::NotRun),
        ("permit", Self::Permit),
        ("read-back", Self::ReadBack),
        ("resend", Self::Resend),
        ("retention", Self::Retention),
        ("revocation", Self::Revocation),
        ("timers", Self::Timers),
    ];
}

impl FromStr for Guard {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = Self::ALL.iter().find(|(name, _)| *name == text);
        found.map(|(_, guard)| *guard).ok_or_else(|| {
            let names: Vec<&str> = Self::ALL.iter().map(|(name, _)| *name).collect();
            format!("no guard {text:?}; there are {}", names.join(", "))
        })
    }
}
