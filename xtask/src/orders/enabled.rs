//! The steps that are possible in a state.

use order::Stream;

use super::{
    guard::Guard,
    scenario::Scenario,
    state::{Dispatch, Host, Progress, Stage, State},
    step::Step,
};

impl State {
    /// All steps that are possible in this state.
    pub(crate) fn enabled(&self, scenario: &Scenario) -> Vec<Step> {
        let mut res = Vec::new();
        self.add_sends(scenario, &mut res);
        for (host, it) in self.hosts.iter().enumerate() {
            match &it.engine {
                Some(_) => self.add_host(scenario, host, it, &mut res),
                None => res.extend((self.faults > 0).then_some(Step::Restart { host })),
            }
        }
        self.add_log(scenario, &mut res);
        res.extend((0..self.late_calls.len()).map(|call| Step::DeliverLate { call }));
        res.extend((0..self.late_dispatches.len()).map(|dispatch| Step::ExecuteLate { dispatch }));
        if self.step < scenario.last_step() {
            res.push(Step::Clock);
        }
        res
    }

    /// Adds sending the next copy of each order. Copies are interchangeable, so only the first
    /// unsent one counts.
    fn add_sends(&self, scenario: &Scenario, res: &mut Vec<Step>) {
        if self.step > scenario.last_send {
            return;
        }
        for copies in self.requests.chunks(scenario.copies).enumerate() {
            let (order, copies) = copies;
            let Some(copy) = copies.iter().position(|it| it.progress == Progress::Unsent) else {
                continue;
            };
            let request = order * scenario.copies + copy;
            res.extend((0..self.hosts.len()).map(|host| Step::Send { request, host }));
        }
    }

    fn add_host(&self, scenario: &Scenario, host: usize, it: &Host, res: &mut Vec<Step>) {
        let may_fail = self.faults > 0;
        for append in 0..it.appends.len() {
            if !self.log.up {
                res.push(Step::Refuse { host, append });
                continue;
            }
            res.push(Step::Land { host, append });
            if may_fail {
                res.push(Step::LandTwice { host, append });
                res.push(Step::LoseAppend { host, append });
            }
        }
        for (&stream, &cursor) in &it.cursors {
            let len = self.log.streams.get(&stream).map_or(0, Vec::len);
            if self.log.up && usize::try_from(cursor).is_ok_and(|it| it < len) {
                res.push(Step::Read { host, stream });
            }
        }
        self.add_calls(host, it, res);
        add_runners(host, it, may_fail, res);
        if it.assumes_log_up != self.log.up {
            res.push(Step::Notice { host });
        }
        if may_fail {
            res.push(Step::Crash { host });
        }
        let now = scenario.time(self.step);
        let wakeup = it.engine.as_ref().and_then(|it| it.next_wakeup(now));
        if wakeup.is_some_and(|it| it <= now) && !scenario.is_disabled(Guard::Timers) {
            res.push(Step::Tick { host });
        }
    }

    fn add_calls(&self, host: usize, it: &Host, res: &mut Vec<Step>) {
        for (call, it) in it.calls.iter().enumerate() {
            match it.stage {
                Stage::Sent if self.host_of(it.to).is_some() => {
                    res.push(Step::Deliver { host, call });
                    res.extend((self.faults > 0).then_some(Step::FailCall { host, call }));
                }
                Stage::Sent | Stage::Broken => res.push(Step::FailCall { host, call }),
                Stage::Delivered { .. } => {
                    res.extend((self.faults > 0).then_some(Step::FailCall { host, call }));
                }
                Stage::Answered(_) => {
                    res.push(Step::Return { host, call });
                    res.extend((self.faults > 0).then_some(Step::FailCall { host, call }));
                }
            }
        }
    }

    fn add_log(&self, scenario: &Scenario, res: &mut Vec<Step>) {
        if !self.log.up {
            res.push(Step::Recovery);
            return;
        }
        res.extend((0..self.log.late_appends.len()).map(|append| Step::LandLate { append }));
        res.extend((self.faults > 0).then_some(Step::Outage));
        let orders = self.log.streams.keys().filter(|it| matches!(it, Stream::Orders(_)));
        let untrimmed = orders.filter(|it| scenario.trims_log && !self.log.first.contains_key(it));
        res.extend(untrimmed.map(|stream| Step::Trim { stream: *stream }));
    }
}

fn add_runners(host: usize, it: &Host, may_fail: bool, res: &mut Vec<Step>) {
    for (runner, it) in it.runners.iter().enumerate() {
        match it.dispatch {
            Dispatch::Due => res.push(Step::Dispatch { host, runner }),
            Dispatch::Sent => {
                res.push(Step::Execute { host, runner });
                res.extend(may_fail.then_some(Step::Unsend { host, runner }));
            }
            Dispatch::Executed => {
                res.push(Step::Answer { host, runner });
                res.extend(may_fail.then_some(Step::Cut { host, runner }));
            }
        }
    }
}
