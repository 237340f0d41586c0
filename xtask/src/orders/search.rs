//! Visits every state that can be reached, each once.

use std::collections::HashSet;

use super::{rules::Rules, shared::digest, step::Step, verdict::Verdict, world::World};

/// What an exploration found.
#[derive(Clone, Debug, Default)]
pub(crate) struct Report {
    pub(crate) states: u64,
    /// States in which nothing can happen any more.
    pub(crate) ends: u64,
    pub(crate) verdict: Verdict,
    /// Steps to the first violation.
    pub(crate) trace: Vec<Step>,
    /// Whether the limit on states cut the search short.
    pub(crate) is_partial: bool,
}

/// A state on the way to the one being visited, and the steps from it that are left to try.
struct Frame {
    world: World,
    /// The step that led here; none to the first state.
    step: Option<Step>,
    left: Vec<Step>,
}

/// Visits every state that can be reached, up to `limit`, and stops at the first violation.
///
/// States are told apart by a 64-bit hash of all that they hold.
pub(crate) fn search(rules: &Rules, limit: u64) -> Report {
    let mut report = Report::default();
    let start = World::new(rules);
    let mut seen = HashSet::from([digest(&start)]);
    let mut path = Vec::new();
    path.extend(visit(rules, start, None, &mut report));
    while let Some(frame) = path.last_mut() {
        let Some(step) = frame.left.pop() else {
            path.pop();
            continue;
        };
        let mut next = frame.world.clone();
        next.apply(rules, step);
        if !seen.insert(digest(&next)) {
            continue;
        }
        if report.states >= limit {
            report.is_partial = true;
            return report;
        }
        if let Some(frame) = visit(rules, next, Some(step), &mut report) {
            path.push(frame);
        } else {
            report.trace = path.iter().filter_map(|it| it.step).chain([step]).collect();
            return report;
        }
    }
    report
}

/// Checks a state; nothing if a promise is violated in it.
fn visit(rules: &Rules, world: World, step: Option<Step>, report: &mut Report) -> Option<Frame> {
    let left = world.enabled(rules);
    report.states += 1;
    report.ends += u64::from(left.is_empty());
    let verdict = Verdict::of(&world, left.is_empty());
    report.verdict.add(verdict);
    verdict.is_clean().then_some(Frame { world, step, left })
}
