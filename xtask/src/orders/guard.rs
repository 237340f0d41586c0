//! Guards of the order protocol that can be disabled, to test that the checks detect their absence.

use std::str::FromStr;

/// A guard of the order protocol.
///
/// The code of the daemon has no switches for them. Instead, the harness passes the engine the
/// events, or performs the actions, that would occur without the guard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Guard {
    /// An order that has ended is not started when its record is read later.
    Burn,
    /// The deadline is checked immediately before a dispatch.
    Deadline,
    /// A repeated order must have the same content.
    Fingerprint,
    /// Only the session's issuer dispatches an order. Other hosts forward it.
    Issuer,
    /// A host that can't reach the issuer doesn't answer that the order was not run.
    NotRun,
    /// Each dispatch needs a permit of its own.
    Permit,
    /// An order is dispatched when its record is read back, not when its append is acknowledged.
    ReadBack,
    /// A request that may have been sent is not resent.
    Resend,
    /// A host that recovers a journal detects records that the log has dropped.
    Retention,
    /// The issuer obeys its revocation.
    Revocation,
    /// Timers of deadlines fire.
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
            format!("unknown guard {text:?}; expected one of {}", names.join(", "))
        })
    }
}
