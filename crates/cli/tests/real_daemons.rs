//! The verbs against three real daemons on loopback.

use cli::{Arguments, Code, Context, Outcome, Settings, admin, arguments::Common, verb};
use fleet::Fleet;

/// Runs a verb against the fleet.
fn run(fleet: &Fleet, arguments: &[&str]) -> Outcome {
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
        seed: 1,
    };
    (verb.run)(&cx, &arguments).unwrap_or_else(|err| panic!("{err}"))
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
    assert_eq!(outcome.text, format!("{host} is leaving, and still runs\n"));
    let hosts = run(&fleet, &["hosts"]).text;
    assert!(hosts.contains(&format!("{host}  leaving\n")), "{hosts}");
}
