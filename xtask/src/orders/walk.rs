//! Long runs with random steps.

use super::{rules::Rules, search::Report, step::Step, verdict::Verdict, world::World};

/// Steps after which a run counts as endless.
const STEP_LIMIT: u64 = 20_000;

/// Chance of a fault, one in so many, where other steps are possible.
const FAULT_CHANCE: u32 = 12;

/// Makes random steps until nothing can happen any more.
pub(crate) fn walk(rules: &Rules, seed: u64) -> Report {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut world = World::new(rules);
    let mut report = Report::default();
    while report.states < STEP_LIMIT {
        let steps = world.enabled(rules);
        report.states += 1;
        let verdict = Verdict::of(&world, steps.is_empty());
        if !verdict.is_clean() {
            report.verdict = verdict;
            return report;
        }
        let Some(step) = choose(&mut rng, &steps) else {
            report.ends = 1;
            return report;
        };
        world.apply(rules, step);
        report.trace.push(step);
    }
    report.verdict.stuck = 1;
    report
}

/// Draws a step; faults are rare, or they would all come at the start.
fn choose(rng: &mut fastrand::Rng, steps: &[Step]) -> Option<Step> {
    let (faults, others): (Vec<Step>, Vec<Step>) = steps.iter().partition(|it| it.is_fault());
    let is_fault = others.is_empty() || rng.u32(..FAULT_CHANCE) == 0;
    let pool = if is_fault && !faults.is_empty() { faults } else { others };
    rng.choice(pool)
}
