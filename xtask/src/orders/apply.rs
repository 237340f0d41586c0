//! The effect of each step on the state.

use bytes::Bytes;
use order::{
    Action, Answer, Body, Event, Failure, Fingerprint, Incarnation, Key, Outcome, Reason, Record,
    Stream, Submission, Ticket,
};

use super::{
    guard::Guard,
    scenario::Scenario,
    state::{
        Append, Call, Dispatch, Execution, Host, Progress, Runner, Stage, State, TICKET_STRIDE,
    },
    step::Step,
};

impl State {
    /// Applies a step.
    pub(crate) fn apply(&mut self, scenario: &Scenario, step: Step) {
        match step {
            Step::Send { request, host } => self.send(scenario, request, host),
            Step::Land { host, append } => self.complete_append(scenario, host, append, 1),
            Step::LandTwice { host, append } => {
                self.faults -= 1;
                self.complete_append(scenario, host, append, 2);
            }
            Step::LoseAppend { host, append } => {
                self.faults -= 1;
                let it = self.hosts[host].appends.remove(append);
                let batch = it.batch;
                self.log.late_appends.push(it);
                self.handle_event(scenario, host, Event::AppendFailed(batch, Failure::Unknown));
            }
            Step::Refuse { host, append } => {
                let it = self.hosts[host].appends.remove(append);
                self.hosts[host].assumes_log_up = false;
                self.handle_event(scenario, host, Event::AppendFailed(it.batch, Failure::Refused));
            }
            Step::LandLate { append } => {
                let it = self.log.late_appends.remove(append);
                self.log.streams.entry(it.stream).or_default().push(it.record);
            }
            Step::Read { host, stream } => self.read(scenario, host, stream),
            Step::Deliver { host, call } => self.deliver(scenario, host, call),
            Step::Return { host, call } => {
                let it = self.hosts[host].calls.remove(call);
                let Stage::Answered(outcome) = it.stage else {
                    unreachable!("the step is enabled only for answered calls")
                };
                self.handle_event(scenario, host, Event::ForwardAnswered(it.ticket, outcome));
            }
            Step::FailCall { host, call } => self.fail_call(scenario, host, call),
            Step::DeliverLate { call } => {
                let (request, to) = self.late_calls.remove(call);
                if let Some(host) = self.host_of(to) {
                    self.submit_forwarded(scenario, request, host);
                }
            }
            Step::Dispatch { host, runner } => self.dispatch(scenario, host, runner),
            Step::Unsend { host, runner } => {
                self.faults -= 1;
                let it = &mut self.hosts[host].runners[runner];
                it.dispatch = Dispatch::Due;
                let key = it.key;
                self.handle_event(scenario, host, Event::Unsent(key));
            }
            Step::Execute { host, runner } => self.execute(host, runner),
            Step::Answer { host, runner } => {
                let it = self.hosts[host].runners.remove(runner);
                let content = self.request(it.ticket).content;
                let outcome = Outcome::Done(answer_for(content));
                self.finish_run(scenario, host, it.ticket, it.key, outcome);
            }
            Step::Cut { host, runner } => self.cut_answer(scenario, host, runner),
            Step::ExecuteLate { dispatch } => {
                let it = self.late_dispatches.remove(dispatch);
                self.executions.push(it);
            }
            Step::Crash { host } => self.crash(host),
            Step::Restart { host } => {
                self.faults -= 1;
                self.start_daemon(scenario, host);
            }
            Step::Outage => {
                self.faults -= 1;
                self.log.up = false;
            }
            Step::Recovery => self.log.up = true,
            Step::Notice { host } => self.observe_log(scenario, host),
            Step::Trim { stream } => {
                let len = self.log.streams.get(&stream).map_or(0, Vec::len);
                self.log.first.insert(stream, len as u64);
            }
            Step::Clock => self.step += 1,
            Step::Tick { host } => self.handle_event(scenario, host, Event::Tick),
        }
    }

    pub(crate) fn handle_event(&mut self, scenario: &Scenario, host: usize, event: Event) {
        let now = scenario.time(self.step);
        let Some(engine) = &mut self.hosts[host].engine else { return };
        for action in engine.handle(event, now) {
            self.perform(scenario, host, action);
        }
    }

    pub(crate) fn perform(&mut self, scenario: &Scenario, host: usize, action: Action) {
        match action {
            Action::Reply(ticket, outcome) => self.reply(host, ticket, outcome),
            Action::Start(ticket, key) => self.start(host, ticket, key),
            Action::Forward(ticket, _) if scenario.is_disabled(Guard::Issuer) => {
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
                let incarnation = self.new_incarnation();
                self.handle_event(scenario, host, Event::IncarnationStarted(incarnation));
            }
            Action::Skipped { .. } => {}
        }
    }

    /// The host whose daemon has this incarnation.
    pub(crate) fn host_of(&self, incarnation: Incarnation) -> Option<usize> {
        self.hosts.iter().position(|it| {
            it.engine.as_ref().is_some_and(|it| it.incarnations().contains(&incarnation))
        })
    }

    fn request(&self, ticket: Ticket) -> &super::state::Request {
        &self.requests[request_index(ticket)]
    }

    fn send(&mut self, scenario: &Scenario, request: usize, host: usize) {
        let deadline = self.step + scenario.deadline_steps;
        let it = &mut self.requests[request];
        it.deadline = deadline;
        if self.hosts[host].engine.is_none() {
            it.progress = Progress::Cut;
            return;
        }
        it.progress = Progress::Waiting { host };
        let submission = self.submission(scenario, request, request as Ticket, false);
        self.handle_event(scenario, host, Event::Submitted(submission));
    }

    fn submission(
        &self,
        scenario: &Scenario,
        request: usize,
        ticket: Ticket,
        forwarded: bool,
    ) -> Submission {
        let it = &self.requests[request];
        let ignores_fingerprint = scenario.is_disabled(Guard::Fingerprint);
        Submission {
            ticket,
            key: it.key,
            fingerprint: if ignores_fingerprint { Fingerprint(0) } else { it.content },
            deadline: scenario.time(it.deadline),
            acknowledged: 0,
            forwarded,
        }
    }

    fn reply(&mut self, host: usize, ticket: Ticket, outcome: Outcome) {
        if ticket < TICKET_STRIDE {
            self.requests[request_index(ticket)].progress = Progress::Answered(outcome);
            return;
        }
        let stage = Stage::Delivered { host, ticket };
        self.change_calls(|it| *it == stage, &Stage::Answered(outcome));
    }

    fn start(&mut self, host: usize, ticket: Ticket, key: Key) {
        self.hosts[host].runners.push(Runner { ticket, key, dispatch: Dispatch::Due });
    }

    fn complete_append(&mut self, scenario: &Scenario, host: usize, append: usize, times: usize) {
        let it = self.hosts[host].appends.remove(append);
        let records = self.log.streams.entry(it.stream).or_default();
        let offset = records.len() as u64;
        records.extend(std::iter::repeat_n(it.record.clone(), times));
        self.handle_event(scenario, host, Event::Appended(it.batch));
        if scenario.is_disabled(Guard::ReadBack) {
            self.handle_event(
                scenario,
                host,
                Event::Read { stream: it.stream, offset, record: it.record },
            );
        }
    }

    fn read(&mut self, scenario: &Scenario, host: usize, stream: Stream) {
        let Some(&cursor) = self.hosts[host].cursors.get(&stream) else { return };
        let first = self.log.first.get(&stream).copied().unwrap_or(0);
        if cursor < first {
            self.hosts[host].cursors.insert(stream, first);
            if !scenario.is_disabled(Guard::Retention) {
                self.handle_event(scenario, host, Event::Trimmed { stream, first });
            }
            return;
        }
        self.hosts[host].cursors.insert(stream, cursor + 1);
        let index = usize::try_from(cursor).expect("offsets fit into usize");
        let record = self.log.streams[&stream][index].clone();
        self.handle_record(scenario, host, stream, cursor, &record);
    }

    /// Passes a record to the engine of a host, except where a disabled guard makes the host ignore
    /// or repeat it.
    fn handle_record(
        &mut self,
        scenario: &Scenario,
        host: usize,
        stream: Stream,
        offset: u64,
        record: &Bytes,
    ) {
        let is_own = matches!(stream, Stream::Orders(it) if self.host_of(it) == Some(host));
        let body = Record::decode(record).ok();
        let revokes = matches!(body, Some(Body::Revoked { .. }));
        if is_own && revokes && scenario.is_disabled(Guard::Revocation) {
            return;
        }
        let runners_before = self.hosts[host].runners.len();
        self.handle_event(scenario, host, Event::Read { stream, offset, record: record.clone() });
        let starts = matches!(&body, Some(Body::Orders { started, .. }) if !started.is_empty());
        let is_ignored = self.hosts[host].runners.len() == runners_before;
        if is_own && starts && is_ignored && scenario.is_disabled(Guard::Burn) {
            let key = self.requests[0].key;
            self.start(host, 0, key);
        }
    }

    fn deliver(&mut self, scenario: &Scenario, host: usize, call: usize) {
        let it = &self.hosts[host].calls[call];
        let request = request_index(it.ticket);
        let Some(to) = self.host_of(it.to) else { return };
        let ticket = self.next_ticket(request);
        self.hosts[host].calls[call].stage = Stage::Delivered { host: to, ticket };
        let submission = self.submission(scenario, request, ticket, true);
        self.handle_event(scenario, to, Event::Submitted(submission));
    }

    fn submit_forwarded(&mut self, scenario: &Scenario, request: usize, host: usize) {
        let ticket = self.next_ticket(request);
        let submission = self.submission(scenario, request, ticket, true);
        self.handle_event(scenario, host, Event::Submitted(submission));
    }

    fn next_ticket(&mut self, request: usize) -> Ticket {
        let res = self.next_attempt * TICKET_STRIDE + request as Ticket;
        self.next_attempt += 1;
        res
    }

    fn fail_call(&mut self, scenario: &Scenario, host: usize, call: usize) {
        let it = self.hosts[host].calls.remove(call);
        let is_alive = self.host_of(it.to).is_some();
        if it.stage != Stage::Broken && is_alive {
            self.faults -= 1;
        }
        if it.stage == Stage::Sent && is_alive {
            self.late_calls.push((request_index(it.ticket), it.to));
        }
        let gone = !is_alive && self.hosts.iter().all(|it| it.engine.is_some());
        if scenario.is_disabled(Guard::NotRun) {
            self.reply(host, it.ticket, Outcome::NotRun(Reason::IssuerGone));
        } else {
            self.handle_event(scenario, host, Event::ForwardFailed { ticket: it.ticket, gone });
        }
    }

    fn dispatch(&mut self, scenario: &Scenario, host: usize, runner: usize) {
        let Runner { ticket, key, .. } = self.hosts[host].runners[runner].clone();
        let step = if scenario.is_disabled(Guard::Deadline) { 0 } else { self.step };
        let Some(engine) = &mut self.hosts[host].engine else { return };
        let permit = engine.permit(&key, scenario.time(step));
        let ignores_denial = [Guard::Burn, Guard::Issuer, Guard::Permit]
            .into_iter()
            .any(|it| scenario.is_disabled(it));
        match permit {
            Err(denial) if !ignores_denial => {
                self.hosts[host].runners.remove(runner);
                self.reply(host, ticket, denial.outcome);
                denial.actions.into_iter().for_each(|it| self.perform(scenario, host, it));
            }
            _ => {
                self.overdue_dispatches +=
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

    fn cut_answer(&mut self, scenario: &Scenario, host: usize, runner: usize) {
        self.faults -= 1;
        if scenario.is_disabled(Guard::Resend) {
            self.hosts[host].runners[runner].dispatch = Dispatch::Sent;
            return;
        }
        let it = self.hosts[host].runners.remove(runner);
        self.finish_run(scenario, host, it.ticket, it.key, Outcome::Unknown(Reason::Interrupted));
    }

    fn finish_run(
        &mut self,
        scenario: &Scenario,
        host: usize,
        ticket: Ticket,
        key: Key,
        outcome: Outcome,
    ) {
        self.handle_event(scenario, host, Event::Finished(key, outcome.clone()));
        self.reply(host, ticket, outcome);
    }

    fn crash(&mut self, host: usize) {
        self.faults -= 1;
        let stopped = std::mem::take(&mut self.hosts[host]);
        let Host { appends, runners, .. } = &*stopped;
        self.log.late_appends.extend(appends.iter().cloned());
        for it in runners.iter().filter(|it| it.dispatch == Dispatch::Sent) {
            let content = self.request(it.ticket).content;
            self.late_dispatches.push(Execution { key: it.key, content });
        }
        for it in self.requests.iter_mut() {
            if it.progress == (Progress::Waiting { host }) {
                it.progress = Progress::Cut;
            }
        }
        self.change_calls(
            |it| matches!(it, Stage::Delivered { host: at, .. } if *at == host),
            &Stage::Broken,
        );
    }

    /// Sets the stage of the matching calls. Hosts without such calls are not copied.
    fn change_calls(&mut self, is_affected: impl Fn(&Stage) -> bool, to: &Stage) {
        for host in &mut self.hosts {
            if !host.calls.iter().any(|it| is_affected(&it.stage)) {
                continue;
            }
            for call in host.calls.iter_mut().filter(|it| is_affected(&it.stage)) {
                call.stage = to.clone();
            }
        }
    }
}

/// Index of the request to which a ticket belongs.
fn request_index(ticket: Ticket) -> usize {
    usize::try_from(ticket % TICKET_STRIDE).expect("indices fit into usize")
}

/// The backend server's answer, which identifies the request by its content.
pub(crate) fn answer_for(content: Fingerprint) -> Answer {
    Answer { status: 201, headers: Vec::new(), body: content.to_string().into() }
}
