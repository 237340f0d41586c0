//! Visits every state that can be reached, each once.

use std::{
    collections::HashSet,
    hash::{DefaultHasher, Hash, Hasher},
};

use super::{rules::Rules, step::Step, verdict::Verdict, world::World};

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

/// A state to visit, and the way to it.
struct Visit {
    world: World,
    way: usize,
}

/// Visits every state that can be reached, up to `limit`, and stops at the first violation.
///
/// States are told apart by a 64-bit hash of all that they hold.
pub(crate) fn search(rules: &Rules, limit: u64) -> Report {
    let mut report = Report::default();
    let mut ways: Vec<(usize, Option<Step>)> = vec![(0, None)];
    let mut seen = HashSet::new();
    let start = World::new(rules);
    seen.insert(digest(&start));
    let mut open = vec![Visit { world: start, way: 0 }];
    while let Some(Visit { world, way }) = open.pop() {
        let steps = world.enabled(rules);
        report.states += 1;
        report.ends += u64::from(steps.is_empty());
        let verdict = Verdict::of(&world, steps.is_empty());
        if !verdict.is_clean() {
            report.verdict.add(verdict);
            report.trace = trace(&ways, way);
            return report;
        }
        if report.states >= limit {
            report.is_partial = true;
            return report;
        }
        for step in steps {
            let mut next = world.clone();
            next.apply(rules, step);
            if seen.insert(digest(&next)) {
                ways.push((way, Some(step)));
                open.push(Visit { world: next, way: ways.len() - 1 });
            }
        }
    }
    report
}

fn digest(world: &World) -> u64 {
    let mut hasher = DefaultHasher::new();
    world.hash(&mut hasher);
    hasher.finish()
}

fn trace(ways: &[(usize, Option<Step>)], mut way: usize) -> Vec<Step> {
    let mut res = Vec::new();
    while let (from, Some(step)) = ways[way] {
        res.push(step);
        way = from;
    }
    res.reverse();
    res
}
