//! What each step changes.

use bytes::Bytes;
use order::{
    Action, Answer, Body, Event, Failure, Fingerprint, Incarnation, Key, Outcome, Reason, Record,
    Stream, Submission, Ticket,
};

use super::{
    guard::Guard,
    rules::Rules,
    step::Step,
    world::{ATTEMPT, Append, Call, Dispatch, Execution, Fate, Host, Runner, Stage, World},
};

impl World {
    /// Makes a step.
    pub(crate) fn apply(&mut self, rules: &Rules, step: Step) {
        match step {
            Step::Send { request, host } => self.send(rules, request, host),
            Step::Land { host, append } => self.land(rules, host, append, 1),
            Step::LandTwice { host, append } => {
                self.faults -= 1;
                self.land(rules, host, append, 2);
            }
            Step::LoseAppend { host, append } => {
                self.faults -= 1;
                let it = self.hosts[host].appends.remove(append);
                let batch = it.batch;
                self.log.limbo.push(it);
                self.feed(rules, host, Event::AppendFailed(batch, Failure::Unknown));
            }
            Step::Refuse { host, append } => {
                let it = self.hosts[host].appends.remove(append);
                self.hosts[host].believes_log_up = false;
                self.feed(rules, host, Event::AppendFailed(it.batch, Failure::Refused));
            }
            Step::LandLate { append } => {
                let it = self.log.limbo.remove(append);
                self.log.streams.entry(it.stream).or_default().push(it.record);
            }
            Step::Read { host, stream } => self.read(rules, host, stream),
            Step::Deliver { host, call } => self.deliver(rules, host, call),
            Step::Return { host, call } => {
                let it = self.hosts[host].calls.remove(call);
                let Stage::Answered(outcome) = it.stage else { unreachable!("not enabled") };
                self.feed(rules, host, Event::ForwardAnswered(it.ticket, outcome));
            }
            Step::FailCall { host, call } => self.fail_call(rules, host, call),
            Step::DeliverLate { call } => {
                let (request, to) = self.stray_calls.remove(call);
                if let Some(host) = self.host_of(to) {
                    self.submit_forwarded(rules, request, host);
                }
            }
            Step::Dispatch { host, runner } => self.dispatch(rules, host, runner),
            Step::Unsend { host, runner } => {
                self.faults -= 1;
                let it = &mut self.hosts[host].runners[runner];
                it.dispatch = Dispatch::Due;
                let key = it.key;
                self.feed(rules, host, Event::Unsent(key));
            }
            Step::Execute { host, runner } => self.execute(host, runner),
            Step::Answer { host, runner } => {
                let it = self.hosts[host].runners.remove(runner);
                let content = self.request(it.ticket).content;
                let outcome = Outcome::Done(answer_to(content));
                self.end_run(rules, host, it.ticket, it.key, outcome);
            }
            Step::Cut { host, runner } => self.cut(rules, host, runner),
            Step::ExecuteLate { dispatch } => {
                let it = self.stray_dispatches.remove(dispatch);
                self.executions.push(it);
            }
            Step::Crash { host } => self.crash(host),
            Step::Restart { host } => {
                self.faults -= 1;
                self.boot(rules, host);
            }
            Step::Outage => {
                self.faults -= 1;
                self.log.up = false;
            }
            Step::Recovery => self.log.up = true,
            Step::Notice { host } => self.notice_log(rules, host),
            Step::Trim { stream } => {
                let len = self.log.streams.get(&stream).map_or(0, Vec::len);
                self.log.first.insert(stream, len as u64);
            }
            Step::Clock => self.step += 1,
            Step::Tick { host } => self.feed(rules, host, Event::Tick),
        }
    }

    pub(crate) fn feed(&mut self, rules: &Rules, host: usize, event: Event) {
        let now = rules.time(self.step);
        let Some(engine) = &mut self.hosts[host].engine else { return };
        for action in engine.handle(event, now) {
            self.perform(rules, host, action);
        }
    }

    pub(crate) fn perform(&mut self, rules: &Rules, host: usize, action: Action) {
        match action {
            Action::Reply(ticket, outcome) => self.reply(host, ticket, outcome),
            Action::Start(ticket, key) => self.start(host, ticket, key),
            Action::Forward(ticket, _) if rules.lacks(Guard::Issuer) => {
                let key = self.request(ticket).key;
                self.start(host, ticket, key);
            }
            Action::Forward(ticket, to) => {
                self.hosts[host].calls.push(Call { ticket, to, stage: Stage::Sent });
            }
            Action::Append { batch, stream, record } => {
                self.hosts[host].appends.push(Append { batch, stream, record });
            }
            Action::Follow(stream, from) => {
                self.hosts[host].cursors.insert(stream, from);
            }
            Action::Unfollow(stream) => {
                self.hosts[host].cursors.remove(&stream);
            }
            Action::StartIncarnation => {
                let incarnation = self.draw_incarnation();
                self.feed(rules, host, Event::IncarnationStarted(incarnation));
            }
            Action::Skipped { .. } => {}
        }
    }

    /// The host on which an incarnation lives.
    pub(crate) fn host_of(&self, incarnation: Incarnation) -> Option<usize> {
        self.hosts.iter().position(|it| {
            it.engine.as_ref().is_some_and(|it| it.incarnations().contains(&incarnation))
        })
    }

    fn request(&self, ticket: Ticket) -> &super::world::Request {
        &self.requests[request_of(ticket)]
    }

    fn send(&mut self, rules: &Rules, request: usize, host: usize) {
        let deadline = self.step + rules.patience;
        let it = &mut self.requests[request];
        it.deadline = deadline;
        if self.hosts[host].engine.is_none() {
            it.fate = Fate::Cut;
            return;
        }
        it.fate = Fate::Waiting { host };
        let submission = self.submission(rules, request, request as Ticket, false);
        self.feed(rules, host, Event::Submitted(submission));
    }

    fn submission(
        &self,
        rules: &Rules,
        request: usize,
        ticket: Ticket,
        forwarded: bool,
    ) -> Submission {
        let it = &self.requests[request];
        let blind = rules.lacks(Guard::Fingerprint);
        Submission {
            ticket,
            key: it.key,
            fingerprint: if blind { Fingerprint(0) } else { it.content },
            deadline: rules.time(it.deadline),
            acknowledged: 0,
            forwarded,
        }
    }

    fn reply(&mut self, host: usize, ticket: Ticket, outcome: Outcome) {
        if ticket < ATTEMPT {
            self.requests[request_of(ticket)].fate = Fate::Answered(outcome);
            return;
        }
        let place = Stage::Delivered { host, ticket };
        self.change_calls(|it| *it == place, &Stage::Answered(outcome));
    }

    fn start(&mut self, host: usize, ticket: Ticket, key: Key) {
        self.hosts[host].runners.push(Runner { ticket, key, dispatch: Dispatch::Due });
    }

    fn land(&mut self, rules: &Rules, host: usize, append: usize, times: usize) {
        let it = self.hosts[host].appends.remove(append);
        let records = self.log.streams.entry(it.stream).or_default();
        let offset = records.len() as u64;
        records.extend(std::iter::repeat_n(it.record.clone(), times));
        self.feed(rules, host, Event::Appended(it.batch));
        if rules.lacks(Guard::ReadBack) {
            self.feed(rules, host, Event::Read { stream: it.stream, offset, record: it.record });
        }
    }

    fn read(&mut self, rules: &Rules, host: usize, stream: Stream) {
        let Some(&cursor) = self.hosts[host].cursors.get(&stream) else { return };
        let first = self.log.first.get(&stream).copied().unwrap_or(0);
        if cursor < first {
            self.hosts[host].cursors.insert(stream, first);
            if !rules.lacks(Guard::Retention) {
                self.feed(rules, host, Event::Trimmed { stream, first });
            }
            return;
        }
        self.hosts[host].cursors.insert(stream, cursor + 1);
        let place = usize::try_from(cursor).expect("few records");
        let record = self.log.streams[&stream][place].clone();
        self.heed(rules, host, stream, cursor, &record);
    }

    /// Hands a record to a host, unless a missing guard has it overlooked.
    fn heed(&mut self, rules: &Rules, host: usize, stream: Stream, offset: u64, record: &Bytes) {
        let is_own = matches!(stream, Stream::Orders(it) if self.host_of(it) == Some(host));
        let body = Record::decode(record).ok();
        let revokes = matches!(body, Some(Body::Revoked { .. }));
        if is_own && revokes && rules.lacks(Guard::Revocation) {
            return;
        }
        let known = self.hosts[host].runners.len();
        self.feed(rules, host, Event::Read { stream, offset, record: record.clone() });
        let starts = matches!(&body, Some(Body::Orders { started, .. }) if !started.is_empty());
        let is_unheeded = self.hosts[host].runners.len() == known;
        if is_own && starts && is_unheeded && rules.lacks(Guard::Burn) {
            let key = self.requests[0].key;
            self.start(host, 0, key);
        }
    }

    fn deliver(&mut self, rules: &Rules, host: usize, call: usize) {
        let it = &self.hosts[host].calls[call];
        let request = request_of(it.ticket);
        let Some(to) = self.host_of(it.to) else { return };
        let ticket = self.next_ticket(request);
        self.hosts[host].calls[call].stage = Stage::Delivered { host: to, ticket };
        let submission = self.submission(rules, request, ticket, true);
        self.feed(rules, to, Event::Submitted(submission));
    }

    fn submit_forwarded(&mut self, rules: &Rules, request: usize, host: usize) {
        let ticket = self.next_ticket(request);
        let submission = self.submission(rules, request, ticket, true);
        self.feed(rules, host, Event::Submitted(submission));
    }

    fn next_ticket(&mut self, request: usize) -> Ticket {
        let res = self.next_attempt * ATTEMPT + request as Ticket;
        self.next_attempt += 1;
        res
    }

    fn fail_call(&mut self, rules: &Rules, host: usize, call: usize) {
        let it = self.hosts[host].calls.remove(call);
        let is_alive = self.host_of(it.to).is_some();
        if it.stage != Stage::Broken && is_alive {
            self.faults -= 1;
        }
        if it.stage == Stage::Sent && is_alive {
            self.stray_calls.push((request_of(it.ticket), it.to));
        }
        let gone = !is_alive && self.hosts.iter().all(|it| it.engine.is_some());
        if rules.lacks(Guard::NotRun) {
            self.reply(host, it.ticket, Outcome::NotRun(Reason::IssuerGone));
        } else {
            self.feed(rules, host, Event::ForwardFailed { ticket: it.ticket, gone });
        }
    }

    fn dispatch(&mut self, rules: &Rules, host: usize, runner: usize) {
        let Runner { ticket, key, .. } = self.hosts[host].runners[runner].clone();
        let step = if rules.lacks(Guard::Deadline) { 0 } else { self.step };
        let Some(engine) = &mut self.hosts[host].engine else { return };
        let permit = engine.permit(&key, rules.time(step));
        let is_unchecked =
            [Guard::Burn, Guard::Issuer, Guard::Permit].into_iter().any(|it| rules.lacks(it));
        match permit {
            Err(denial) if !is_unchecked => {
                self.hosts[host].runners.remove(runner);
                self.reply(host, ticket, denial.outcome);
                denial.actions.into_iter().for_each(|it| self.perform(rules, host, it));
            }
            _ => {
                self.late +=
                    u32::from(permit.is_ok() && self.request(ticket).deadline <= self.step);
                self.hosts[host].runners[runner].dispatch = Dispatch::Sent;
            }
        }
    }

    fn execute(&mut self, host: usize, runner: usize) {
        let it = &mut self.hosts[host].runners[runner];
        it.dispatch = Dispatch::Executed;
        let Runner { ticket, key, .. } = *it;
        let content = self.request(ticket).content;
        self.executions.push(Execution { key, content });
    }

    fn cut(&mut self, rules: &Rules, host: usize, runner: usize) {
        self.faults -= 1;
        if rules.lacks(Guard::Resend) {
            self.hosts[host].runners[runner].dispatch = Dispatch::Sent;
            return;
        }
        let it = self.hosts[host].runners.remove(runner);
        self.end_run(rules, host, it.ticket, it.key, Outcome::Unknown(Reason::Interrupted));
    }

    fn end_run(&mut self, rules: &Rules, host: usize, ticket: Ticket, key: Key, outcome: Outcome) {
        self.feed(rules, host, Event::Finished(key, outcome.clone()));
        self.reply(host, ticket, outcome);
    }

    fn crash(&mut self, host: usize) {
        self.faults -= 1;
        let dead = std::mem::take(&mut self.hosts[host]);
        let Host { appends, runners, .. } = &*dead;
        self.log.limbo.extend(appends.iter().cloned());
        for it in runners.iter().filter(|it| it.dispatch == Dispatch::Sent) {
            let content = self.request(it.ticket).content;
            self.stray_dispatches.push(Execution { key: it.key, content });
        }
        for it in self.requests.iter_mut() {
            if it.fate == (Fate::Waiting { host }) {
                it.fate = Fate::Cut;
            }
        }
        self.change_calls(
            |it| matches!(it, Stage::Delivered { host: at, .. } if *at == host),
            &Stage::Broken,
        );
    }

    /// Moves the calls at a stage to another; hosts without such calls stay shared.
    fn change_calls(&mut self, is_meant: impl Fn(&Stage) -> bool, to: &Stage) {
        for host in &mut self.hosts {
            if !host.calls.iter().any(|it| is_meant(&it.stage)) {
                continue;
            }
            for call in host.calls.iter_mut().filter(|it| is_meant(&it.stage)) {
                call.stage = to.clone();
            }
        }
    }
}

/// Position of the request that a ticket stands for.
fn request_of(ticket: Ticket) -> usize {
    usize::try_from(ticket % ATTEMPT).expect("few requests")
}

/// The backend server's answer names the request that it answers.
pub(crate) fn answer_to(content: Fingerprint) -> Answer {
    Answer { status: 201, headers: Vec::new(), body: content.to_string().into() }
}
