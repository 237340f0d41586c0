//! Guards that can be removed, one at a time, to test the matrix itself.

/// A guard against a fault. It is removed at the interface between the core crates and what stands
/// round them here, so that the crates themselves carry no switches.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Guard {
    /// Probes are sent only when the balancer's budget names an upstream.
    ProbeBudget,
    /// An answer that ends before its stated length is a failed attempt.
    WholeAnswer,
    /// An answer must carry the id of the attempt that it answers.
    AttemptId,
    /// An attempt that may have reached a backend server is never told as `not-run`.
    MaybeSent,
    /// An order that may have run is not sent again.
    NoSecondDispatch,
    /// A journaled order is dispatched only when its record was read back.
    ReadBack,
    /// A session's order is dispatched by its issuer alone.
    Issuer,
    /// Of two hosts that claim a key, the first in the log wins.
    FirstClaim,
    /// A repeat carries the key of the order that it repeats.
    RepeatKey,
    /// Backend servers that leave get no new work.
    LeavingUpstream,
    /// An entry host that is told to leave gets out of the directions and turns new work away.
    LeavingHost,
    /// An entry host stops only when its work is finished.
    GracefulStop,
    /// A replica never goes back to an older version.
    NoRevert,
    /// A publication names what its author had read.
    EditBase,
    /// Replicas read on from the log until they are current.
    FollowLog,
}

/// All guards with their names.
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
