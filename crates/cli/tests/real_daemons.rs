//! The verbs against up to three real daemons on loopback.

use cli::{Arguments, Code, Context, Error, Outcome, Settings, admin, arguments::Common, verb};
use fleet::Fleet;

/// Runs a verb against the fleet.
fn run(fleet: &Fleet, arguments: &[&str]) -> Outcome {
    try_run(fleet, 1, arguments).unwrap_or_else(|err| panic!("{err}"))
}

/// Runs a verb against the fleet; the ids of publications are derived from `seed`.
fn try_run(fleet: &Fleet, seed: u64, arguments: &[&str]) -> Result<Outcome, Error> {
    let mut parser = lexopt::Parser::from_args(arguments);
    let mut common = Common::default();
    let name = common.read_verb(&mut parser).expect("arguments").expect("a verb");
    let verb = verb::find(&name).expect("a known verb");
    let arguments = Arguments::read(&verb.spec, &mut parser, &mut common).expect("arguments");
    let cx = Context {
        settings: Settings {
            log_address: None,
            admin_addresses: fleet.daemons.iter().map(daemon::Process::admin_address).collect(),
            team: "operations".to_owned(),
        },
        log: &platform::Http::new(fleet.log.address(), platform::Settings::default()),
        admin: &admin::Http::default(),
        clock: &clock::System,
        sleep: &std::thread::sleep,
        seed,
    };
    (verb.run)(&cx, &arguments)
}

#[test]
fn edit_in_force() {
    let settings = fleet::Settings { daemons: 3, ..fleet::Settings::default() };
    let fleet = Fleet::start(settings).expect("a fleet");
    let outcome = run(&fleet, &["edit", "rank", "urgent", "--set", "floor_percent=30"]);
    assert_eq!(outcome.code, Code::Done, "{}", outcome.text);
    assert!(outcome.text.contains("in force on 3 of 3 live hosts"), "{}", outcome.text);
    let status = run(&fleet, &["status"]);
    assert_eq!((status.code, status.text.matches("  version 1  ").count()), (Code::Done, 3));
    let hosts = run(&fleet, &["hosts"]);
    assert_eq!(hosts.text.matches("  live\n").count(), 3, "{}", hosts.text);
}

#[test]
fn explain_and_drain() {
    let settings = fleet::Settings { daemons: 2, ..fleet::Settings::default() };
    let fleet = Fleet::start(settings).expect("a fleet");
    fleet.await_hosts(2).expect("daemons that know one another");
    let answer = fleet::Caller::default().get(fleet.address(1), "/stock");
    let outcome = run(&fleet, &["explain", &answer.request]);
    assert_eq!(outcome.code, Code::Done, "{}", outcome.text);
    let host = fleet.daemons[1].admin_address();
    assert!(outcome.text.starts_with(&format!("decided on {host}\n")), "{}", outcome.text);
    let outcome = run(&fleet, &["drain", &host.to_string(), "--wait", "0"]);
    assert_eq!(outcome.text, format!("{host} is leaving and still running\n"));
    let hosts = run(&fleet, &["hosts"]).text;
    assert!(hosts.contains(&format!("{host}  leaving\n")), "{hosts}");
}

/// Number of rounds in which two editors change one section concurrently.
const ROUNDS: u64 = 6;

/// Of two concurrent changes of one section, an accepted one is in force on all hosts, and a rejected
/// one is reported as a conflict.
#[test]
fn racing_editors() {
    let settings = fleet::Settings { daemons: 3, ..fleet::Settings::default() };
    let fleet = Fleet::start(settings).expect("a fleet");
    for round in 0..ROUNDS {
        let values = [10 + 2 * round, 11 + 2 * round];
        let codes: Vec<Code> = std::thread::scope(|scope| {
            let editors = values.map(|value| {
                let fleet = &fleet;
                scope.spawn(move || {
                    let set = format!("retry_budget_percent={value}");
                    let arguments = ["edit", "service stock", "--set", &set];
                    try_run(fleet, value, &arguments).unwrap_or_else(|err| err.outcome()).code
                })
            });
            editors.into_iter().map(|it| it.join().expect("an editor")).collect()
        });
        assert!(codes.contains(&Code::Done), "{codes:?}");
        assert!(codes.iter().all(|it| [Code::Done, Code::Conflict].contains(it)), "{codes:?}");
        let text = run(&fleet, &["show"]).text;
        let in_force: Vec<_> = values
            .iter()
            .filter(|it| text.contains(&format!("retry_budget_percent = {it}\n")))
            .collect();
        assert_eq!(in_force.len(), 1, "exactly one editor's value: {text}");
        let accepted = values.iter().zip(&codes).filter(|(_, code)| **code == Code::Done);
        assert!(accepted.map(|(it, _)| it).any(|it| in_force.contains(&it)), "{codes:?}");
    }
    let documents: std::collections::BTreeSet<_> =
        fleet.daemons.iter().map(|it| it.state().status().document_digest).collect();
    assert_eq!(documents.len(), 1, "the daemons agree");
}
