//! Which steps are possible in a state.

use order::Stream;

use super::{
    guard::Guard,
    rules::Rules,
    step::Step,
    world::{Dispatch, Fate, Host, Stage, World},
};

impl World {
    /// Every step that is possible.
    pub(crate) fn enabled(&self, rules: &Rules) -> Vec<Step> {
        let mut res = Vec::new();
        self.add_sends(rules, &mut res);
        for (host, it) in self.hosts.iter().enumerate() {
            match &it.engine {
                Some(_) => self.add_host(rules, host, it, &mut res),
                None => res.extend((self.faults > 0).then_some(Step::Restart { host })),
            }
        }
        self.add_log(rules, &mut res);
        res.extend((0..self.stray_calls.len()).map(|call| Step::DeliverLate { call }));
        res.extend((0..self.stray_dispatches.len()).map(|dispatch| Step::ExecuteLate { dispatch }));
        if self.step < rules.last_step() {
            res.push(Step::Clock);
        }
        res
    }

    /// The copies of an order are sent in turn, as they are alike.
    fn add_sends(&self, rules: &Rules, res: &mut Vec<Step>) {
        if self.step > rules.last_send {
            return;
        }
        for copies in self.requests.chunks(rules.copies).enumerate() {
            let (order, copies) = copies;
            let Some(copy) = copies.iter().position(|it| it.fate == Fate::Unsent) else { continue };
            let request = order * rules.copies + copy;
            res.extend((0..self.hosts.len()).map(|host| Step::Send { request, host }));
        }
    }

    fn add_host(&self, rules: &Rules, host: usize, it: &Host, res: &mut Vec<Step>) {
        let faulty = self.faults > 0;
        for append in 0..it.appends.len() {
            if !self.log.up {
                res.push(Step::Refuse { host, append });
                continue;
            }
            res.push(Step::Land { host, append });
            if faulty {
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
        add_runners(host, it, faulty, res);
        if it.believes_log_up != self.log.up {
            res.push(Step::Notice { host });
        }
        if faulty {
            res.push(Step::Crash { host });
        }
        let now = rules.time(self.step);
        let wakeup = it.engine.as_ref().and_then(|it| it.next_wakeup(now));
        if wakeup.is_some_and(|it| it <= now) && !rules.lacks(Guard::Timers) {
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

    fn add_log(&self, rules: &Rules, res: &mut Vec<Step>) {
        if !self.log.up {
            res.push(Step::Recovery);
            return;
        }
        res.extend((0..self.log.limbo.len()).map(|append| Step::LandLate { append }));
        res.extend((self.faults > 0).then_some(Step::Outage));
        let orders = self.log.streams.keys().filter(|it| matches!(it, Stream::Orders(_)));
        let untrimmed = orders.filter(|it| rules.trims && !self.log.first.contains_key(it));
        res.extend(untrimmed.map(|stream| Step::Trim { stream: *stream }));
    }
}

fn add_runners(host: usize, it: &Host, faulty: bool, res: &mut Vec<Step>) {
    for (runner, it) in it.runners.iter().enumerate() {
        match it.dispatch {
            Dispatch::Due => res.push(Step::Dispatch { host, runner }),
            Dispatch::Sent => {
                res.push(Step::Execute { host, runner });
                res.extend(faulty.then_some(Step::Unsend { host, runner }));
            }
            Dispatch::Executed => {
                res.push(Step::Answer { host, runner });
                res.extend(faulty.then_some(Step::Cut { host, runner }));
            }
        }
    }
}
