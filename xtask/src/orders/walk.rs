//! Random walks through the states of a scenario.

use super::{scenario::Scenario, search::Report, state::State, step::Step, verdict::Verdict};

/// Number of steps after which a walk counts as stuck.
const MAX_STEPS: u64 = 20_000;

/// One in this many steps is a fault, if other steps are possible.
const STEPS_PER_FAULT: u32 = 12;

/// Applies random steps until none is possible.
pub(crate) fn walk(scenario: &Scenario, seed: u64) -> Report {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut state = State::new(scenario);
    let mut report = Report::default();
    while report.states < MAX_STEPS {
        let steps = state.enabled(scenario);
        report.states += 1;
        let verdict = Verdict::of(&state, steps.is_empty());
        if !verdict.is_clean() {
            report.verdict = verdict;
            return report;
        }
        let Some(step) = choose(&mut rng, &steps) else {
            report.ends = 1;
            return report;
        };
        state.apply(scenario, step);
        report.trace.push(step);
    }
    report.verdict.stuck = 1;
    report
}

/// Chooses a random step. Faults are rare so that they don't all occur at the start.
fn choose(rng: &mut fastrand::Rng, steps: &[Step]) -> Option<Step> {
    let (faults, others): (Vec<Step>, Vec<Step>) = steps.iter().partition(|it| it.is_fault());
    let is_fault = others.is_empty() || rng.u32(..STEPS_PER_FAULT) == 0;
    let candidates = if is_fault && !faults.is_empty() { faults } else { others };
    rng.choice(candidates)
}
