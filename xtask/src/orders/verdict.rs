//! The promises of the order protocol that are checked in every state.

use order::Outcome;

use super::{
    apply::answer_for,
    state::{Execution, Progress, Request, State},
};

/// Number of violations by kind.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Verdict {
    /// 1 if an order ran more than once.
    pub(crate) doubled: u64,
    /// Requests answered `not-run` whose order ran.
    pub(crate) false_not_run: u64,
    /// Requests answered with the answer to another request.
    pub(crate) wrong_answer: u64,
    /// Dispatches after the deadline.
    pub(crate) late: u64,
    /// Requests without an outcome in a state without a possible step.
    pub(crate) stuck: u64,
}

impl Verdict {
    /// Checks a state. `is_end` states that no step is possible in it.
    pub(crate) fn of(state: &State, is_end: bool) -> Self {
        let runs = |it: &Execution| state.executions.iter().filter(|run| run.key == it.key).count();
        let count = |check: &dyn Fn(&Request) -> bool| {
            state.requests.iter().filter(|it| check(it)).count() as u64
        };
        Self {
            doubled: u64::from(state.executions.iter().any(|it| runs(it) > 1)),
            false_not_run: count(&|it| is_false_not_run(state, it)),
            wrong_answer: count(&has_wrong_answer),
            late: u64::from(state.overdue_dispatches),
            stuck: if is_end { count(&is_waiting) } else { 0 },
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

fn is_false_not_run(state: &State, it: &Request) -> bool {
    let execution = Execution { key: it.key, content: it.content };
    matches!(it.progress, Progress::Answered(Outcome::NotRun(_)))
        && state.executions.contains(&execution)
}

fn has_wrong_answer(it: &Request) -> bool {
    let expected = answer_for(it.content);
    matches!(&it.progress, Progress::Answered(Outcome::Done(answer)) if *answer != expected)
}

fn is_waiting(it: &Request) -> bool {
    matches!(it.progress, Progress::Waiting { .. })
}
