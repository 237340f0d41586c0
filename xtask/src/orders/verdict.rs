//! What must hold in every state, and at every end.

use order::Outcome;

use super::{
    apply::answer_to,
    world::{Execution, Fate, Request, World},
};

/// Violations, counted by kind.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Verdict {
    /// Orders that ran more than once.
    pub(crate) doubled: u64,
    /// Requests answered `not-run` whose order ran.
    pub(crate) false_not_run: u64,
    /// Requests that got the answer of another.
    pub(crate) wrong_answer: u64,
    /// Dispatches after the deadline.
    pub(crate) late: u64,
    /// Requests without an outcome at the end.
    pub(crate) stuck: u64,
}

impl Verdict {
    /// Checks a state; `is_end` tells that nothing can happen any more.
    pub(crate) fn of(world: &World, is_end: bool) -> Self {
        let runs = |it: &Execution| world.executions.iter().filter(|run| run.key == it.key).count();
        let count = |check: &dyn Fn(&Request) -> bool| {
            world.requests.iter().filter(|it| check(it)).count() as u64
        };
        Self {
            doubled: u64::from(world.executions.iter().any(|it| runs(it) > 1)),
            false_not_run: count(&|it| is_falsely_refused(world, it)),
            wrong_answer: count(&has_wrong_answer),
            late: u64::from(world.late),
            stuck: if is_end { count(&is_open) } else { 0 },
        }
    }

    pub(crate) fn is_clean(self) -> bool {
        self == Self::default()
    }

    pub(crate) fn add(&mut self, other: Self) {
        self.doubled += other.doubled;
        self.false_not_run += other.false_not_run;
        self.wrong_answer += other.wrong_answer;
        self.late += other.late;
        self.stuck += other.stuck;
    }
}

fn is_falsely_refused(world: &World, it: &Request) -> bool {
    let ran = Execution { key: it.key, content: it.content };
    matches!(it.fate, Fate::Answered(Outcome::NotRun(_))) && world.executions.contains(&ran)
}

fn has_wrong_answer(it: &Request) -> bool {
    let right = answer_to(it.content);
    matches!(&it.fate, Fate::Answered(Outcome::Done(answer)) if *answer != right)
}

fn is_open(it: &Request) -> bool {
    matches!(it.fate, Fate::Waiting { .. })
}
