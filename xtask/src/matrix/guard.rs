//! Guards that can be disabled, one at a time, to test that the matrix detects their absence.

/// A guard against a fault.
///
/// Guards are disabled at the interface between the core crates and the simulation around them, so
/// that the crates need no switches.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Guard {
    /// A probe is sent only to an upstream that the balancer names within its budget.
    ProbeBudget,
    /// An answer that ends before its declared length is a failed attempt.
    WholeAnswer,
    /// An answer must carry the id of the attempt that it answers.
    AttemptId,
    /// A request that may have reached a backend server is never answered with `not-run`.
    MaybeSent,
    /// An order that may have run is not resent.
    NoSecondDispatch,
    /// A journaled order is dispatched only after its record has been read back.
    ReadBack,
    /// Only the issuer of a session dispatches its orders.
    Issuer,
    /// If two hosts claim a key, the first claim in the log wins.
    FirstClaim,
    /// A repeated order carries the same key.
    RepeatKey,
    /// Leaving backend servers get no new requests.
    LeavingUpstream,
    /// A leaving entry host is removed from the directions and rejects new requests.
    LeavingHost,
    /// An entry host stops only when its requests in progress are finished.
    GracefulStop,
    /// A replica never returns to an older version.
    NoRevert,
    /// A publication carries the offset up to which its author had read.
    EditBase,
    /// Replicas keep reading the log after their first version.
    FollowLog,
}

/// All guards with their names on the command line.
pub(super) const GUARDS: [(Guard, &str); 15] = [
    (Guard::ProbeBudget, "probe-budget"),
    (Guard::WholeAnswer, "whole-answer"),
    (Guard::AttemptId, "attempt-id"),
    (Guard::MaybeSent, "maybe-sent"),
    (Guard::NoSecondDispatch, "no-second-dispatch"),
    (Guard::ReadBack, "read-back"),
    (Guard::Issuer, "issuer"),
    (Guard::FirstClaim, "first-claim"),
    (Guard::RepeatKey, "repeat-key"),
    (Guard::LeavingUpstream, "leaving-upstream"),
    (Guard::LeavingHost, "leaving-host"),
    (Guard::GracefulStop, "graceful-stop"),
    (Guard::NoRevert, "no-revert"),
    (Guard::EditBase, "edit-base"),
    (Guard::FollowLog, "follow-log"),
];

impl Guard {
    pub(super) fn parse(name: &str) -> Option<Self> {
        GUARDS.iter().find(|(_, it)| *it == name).map(|(it, _)| *it)
    }
}
