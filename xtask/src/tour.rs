//! Shows the whole path on loopback: stand-ins, three daemons, a published document, traffic.

use std::{process::ExitCode, time::Instant};

use bytes::Bytes;
use fleet::{Answer, Caller, Fleet, Service, Settings};

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
    Ok(steps)
}

fn settings() -> Settings {
    let service = |name: &str, rank: &str| Service {
        name: name.into(),
        rank: rank.into(),
        allow_unkeyed: name == "booking",
        ..Service::default()
    };
    let services = vec![
        service("stock", "urgent"),
        service("booking", "normal"),
        service("documents", "bulk"),
    ];
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

fn show_order(fleet: &Fleet, caller: &Caller, steps: &mut Steps) {
    let body = Bytes::from_static(b"40 bales of loft 7");
    let answer: Answer = caller.post(fleet.address(0), "/booking/orders", "", body.clone());
    let is_done = answer.outcome == "done" && answer.body == body;
    steps.note(
        &format!("an order is answered: status {}, {}", answer.status, answer.outcome),
        is_done,
    );
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
