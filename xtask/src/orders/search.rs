//! Depth-first search over all reachable states.

use std::collections::HashSet;

use super::{scenario::Scenario, shared::digest, state::State, step::Step, verdict::Verdict};

/// The result of a search or a random walk.
#[derive(Clone, Debug, Default)]
pub(crate) struct Report {
    pub(crate) states: u64,
    /// Number of states without a possible step.
    pub(crate) ends: u64,
    pub(crate) verdict: Verdict,
    /// Steps that lead to the first violation.
    pub(crate) trace: Vec<Step>,
    /// Whether the search stopped at the limit on states.
    pub(crate) is_partial: bool,
}

/// A state on the current path, with the steps from it that have not been tried yet.
struct Frame {
    state: State,
    /// The step that led to this state, or `None` for the first one.
    step: Option<Step>,
    untried: Vec<Step>,
}

/// Visits up to `limit` reachable states once each, and stops at the first violation.
///
/// States are identified by a 64-bit hash of their content.
pub(crate) fn search(scenario: &Scenario, limit: u64) -> Report {
    let mut report = Report::default();
    let start = State::new(scenario);
    let mut seen = HashSet::from([digest(&start)]);
    let mut path = Vec::new();
    path.extend(visit(scenario, start, None, &mut report));
    while let Some(frame) = path.last_mut() {
        let Some(step) = frame.untried.pop() else {
            path.pop();
            continue;
        };
        let mut next = frame.state.clone();
        next.apply(scenario, step);
        if !seen.insert(digest(&next)) {
            continue;
        }
        if report.states >= limit {
            report.is_partial = true;
            return report;
        }
        if let Some(frame) = visit(scenario, next, Some(step), &mut report) {
            path.push(frame);
        } else {
            report.trace = path.iter().filter_map(|it| it.step).chain([step]).collect();
            return report;
        }
    }
    report
}

/// Checks a state. Returns `None` if it breaks a promise.
fn visit(
    scenario: &Scenario,
    state: State,
    step: Option<Step>,
    report: &mut Report,
) -> Option<Frame> {
    let untried = state.enabled(scenario);
    report.states += 1;
    report.ends += u64::from(untried.is_empty());
    let verdict = Verdict::of(&state, untried.is_empty());
    report.verdict.add(verdict);
    verdict.is_clean().then_some(Frame { state, step, untried })
}
