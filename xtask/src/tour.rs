//! Shows the whole path on loopback: stand-ins, three daemons, a published document, traffic.

use std::{process::ExitCode, time::Instant};

use bytes::Bytes;
use fleet::{Caller, Fleet, Service, Settings};
use standin::backend;

/// Calls made for each rank.
const CALLS: usize = 200;

/// Runs the tour.
pub(crate) fn run() -> ExitCode {
    let started = Instant::now();
    let steps = match show() {
        Ok(it) => it,
        Err(e) => {
            println!("{e}\nRESULT tour=failed");
            return ExitCode::FAILURE;
        }
    };
    let verdict = if steps.failed == 0 { "ok" } else { "failed" };
    let seconds = started.elapsed().as_secs_f64();
    println!(
        "RESULT tour={verdict} steps={} failed={} seconds={seconds:.1}",
        steps.done, steps.failed
    );
    if steps.failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

#[derive(Default)]
struct Steps {
    done: usize,
    failed: usize,
}

impl Steps {
    fn note(&mut self, text: &str, holds: bool) {
        self.done += 1;
        self.failed += usize::from(!holds);
        println!("{} {text}", if holds { "ok  " } else { "FAIL" });
    }
}

fn show() -> fleet::Result<Steps> {
    let mut steps = Steps::default();
    println!("Starting three daemons, nine backend servers, a log and a host list on loopback.");
    let mut fleet = Fleet::start(settings())?;
    steps.note("the published document is in force on every daemon", true);
    let caller = Caller::default();
    show_directions(&fleet, &caller, &mut steps);
    show_traffic(&fleet, &caller, &mut steps);
    show_order(&fleet, &caller, &mut steps);
    show_change(&mut fleet, &caller, &mut steps)?;
    show_explanation(&fleet, &caller, &mut steps);
    show_drain(&mut fleet, &caller, &mut steps)?;
    Ok(steps)
}

fn settings() -> Settings {
    let services = Service::one_per_rank(backend::Settings::default());
    Settings { daemons: 3, services, ..Settings::default() }
}

fn show_directions(fleet: &Fleet, caller: &Caller, steps: &mut Steps) {
    let answer = caller.get(fleet.address(0), "/fireflydrum/entry");
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    steps.note(&format!("a caller asks for directions: {text}"), answer.status == 200);
}

fn show_traffic(fleet: &Fleet, caller: &Caller, steps: &mut Steps) {
    for name in ["stock", "booking", "documents"] {
        let answers: Vec<_> = (0..CALLS)
            .map(|it| {
                let path = format!("/{name}/{it}");
                let answer = caller.get(fleet.address(it % 3), &path);
                (answer.body == path.as_bytes(), answer)
            })
            .collect();
        let done = answers.iter().filter(|(is_own, it)| *is_own && it.outcome == "done").count();
        let text =
            format!("{done} of {CALLS} calls to {name} got the whole answer to their own request");
        steps.note(&text, done == CALLS);
    }
}

/// Places an order, repeats it through another entry host and counts how often it ran.
fn show_order(fleet: &Fleet, caller: &Caller, steps: &mut Steps) {
    let directions = caller.get(fleet.address(0), "/fireflydrum/entry?session=journaled");
    let page: serde_json::Value = serde_json::from_slice(&directions.body).unwrap_or_default();
    let session = page["session"]["id"].as_str().unwrap_or_default();
    steps.note(&format!("the caller gets a session: {session}"), !session.is_empty());

    let key = format!("{session}.1");
    let body = Bytes::from_static(b"40 bales of loft 7");
    let first = caller.post(fleet.address(0), "/booking/orders", &key, body.clone());
    let text = format!("order {key} is answered: status {}, {}", first.status, first.outcome);
    steps.note(&text, first.outcome == "done" && first.body == body);

    let repeat = caller.post(fleet.address(1), "/booking/orders", &key, body.clone());
    let text = format!("repeated through another entry host: {}", repeat.outcome);
    steps.note(&text, repeat.outcome == "done" && repeat.body == body);
    let ran: u64 = fleet.backends[1].iter().map(|it| it.execution(&key).started).sum();
    steps.note(&format!("the order ran {ran} time"), ran == 1);

    let other = Bytes::from_static(b"80 bales of loft 7");
    let mixed_up = caller.post(fleet.address(1), "/booking/orders", &key, other);
    let text = format!("another order under the same key is refused: status {}", mixed_up.status);
    steps.note(&text, mixed_up.status == 422);
}

fn show_change(fleet: &mut Fleet, caller: &Caller, steps: &mut Steps) -> fleet::Result<()> {
    let changed = fleet.document().replace("path = /documents", "path = /certificates");
    let started = Instant::now();
    let version = fleet.publish(&changed)?;
    fleet.await_version(version)?;
    let seconds = started.elapsed().as_secs_f64();
    let answer = caller.get(fleet.address(2), "/certificates/1");
    let text = format!("a changed route is in force everywhere after {seconds:.2} s");
    steps.note(&text, answer.outcome == "done");
    Ok(())
}

fn show_explanation(fleet: &Fleet, caller: &Caller, steps: &mut Steps) {
    let answer = caller.get(fleet.address(0), "/stock/7");
    let page = format!("/explain/{}", answer.request);
    let explanation = caller.get(fleet.daemons[0].admin_address(), &page);
    let text = String::from_utf8_lossy(&explanation.body).into_owned();
    steps.note(&format!("a decision is explained: {text}"), explanation.status == 200);
}

/// Lets a daemon leave while callers that follow their directions go on.
fn show_drain(fleet: &mut Fleet, caller: &Caller, steps: &mut Steps) -> fleet::Result<()> {
    fleet.await_hosts(3)?;
    let leaving = fleet.daemons.remove(2);
    let address = leaving.caller_address();
    let started = Instant::now();
    let stop = std::thread::spawn(move || leaving.stop());
    let mut calls = 0;
    let mut failed = 0;
    while !stop.is_finished() {
        let hosts = fleet.daemons[0].state().entry_hosts("tour");
        let answer = caller.get(hosts[0], "/stock/1");
        calls += 1;
        failed += usize::from(answer.outcome != "done");
    }
    let seconds = started.elapsed().as_secs_f64();
    let text =
        format!("a drained host is gone after {seconds:.1} s; {failed} of {calls} calls failed");
    steps.note(&text, failed == 0);
    let is_out =
        || fleet.daemons.iter().all(|it| !it.state().entry_hosts("tour").contains(&address));
    steps.note("no directions name it any more", is_out());
    Ok(())
}
