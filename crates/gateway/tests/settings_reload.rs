//! Each setting that changes while a daemon runs takes effect at once, or holds until a restart and is
//! named. No network is used.

use std::{rc::Rc, sync::Arc, time::Duration};

use gateway::{
    Settings,
    config::{Config, Service, ServiceId},
    gateway::Gateway,
    load::SlowStart,
    wire::{Names, Protocol},
};

/// Keys with their values before and after the change: those that hold until a restart.
const KEPT: [(&str, &str, &str); 10] = [
    ("host", "h", "i"),
    ("domain", "a", "b"),
    ("caller_address", "127.0.0.1:1", "127.0.0.1:11"),
    ("ready_address", "127.0.0.1:2", "127.0.0.1:12"),
    ("directory_address", "127.0.0.1:3", "127.0.0.1:13"),
    ("peer_address", "127.0.0.1:4", "127.0.0.1:14"),
    ("metrics_address", "127.0.0.1:5", "127.0.0.1:15"),
    ("seeds", "127.0.0.1:6", "127.0.0.1:16"),
    ("first_start", "false", "true"),
    ("link_mbps", "10", "20"),
];

/// Those that take effect at once.
const TAKEN: [(&str, &str, &str); 19] = [
    ("region", "r", "s"),
    ("regions", "c:r", "c:s"),
    ("store_address", "127.0.0.1:7", "127.0.0.1:17"),
    ("memory_mb", "256", "512"),
    ("cpu_cores", "1", "2"),
    ("descriptor_limit", "1000", "2000"),
    ("config_apply", "1s", "3s"),
    ("drain", "1s", "3s"),
    ("grace", "5s", "7s"),
    ("retry_ratio", "0.1", "0.3"),
    ("retry_slack", "10", "30"),
    ("retry_window", "5s", "15s"),
    ("probe_rate", "10", "20"),
    ("slow_start_overshoot", "1.5", "2"),
    ("slow_start_slack", "4", "6"),
    ("quota_window", "5s", "6s"),
    ("quota_overshoot", "0.1", "0.2"),
    ("quota_slack", "10", "30"),
    ("directory_keep", "1s", "3s"),
];

/// Limits on log lines, which take effect at once too.
const LINES: [(&str, &str, &str); 2] =
    [("success_lines_per_s", "1", "3"), ("failure_lines_per_s", "10", "30")];

fn parse(values: impl Iterator<Item = (&'static str, &'static str)>) -> Settings {
    let lines: Vec<_> = values.map(|(key, value)| format!("{key} = {value}")).collect();
    let res = Settings::parse(&format!("[gateway]\n{}\n", lines.join("\n"))).unwrap();
    assert_eq!(res.replaced, []);
    res
}

/// All settings, those that hold as they are `before` or after the change, and so the others.
fn settings(kept_before: bool, taken_before: bool) -> Settings {
    let value =
        |is_before: bool| move |(key, before, after)| (key, if is_before { before } else { after });
    let taken = TAKEN.into_iter().chain(LINES).map(value(taken_before));
    parse(KEPT.into_iter().map(value(kept_before)).chain(taken))
}

/// A daemon whose settings named another address or domain told it to callers and peers, although
/// nothing listened there (`docs/incidents/moved_store.md`).
#[test]
fn each_field() {
    let (mut res, kept) = settings(true, true).reload(settings(false, false));
    assert_eq!(kept, KEPT.map(|it| it.0));
    // The domain that it does not move to is known all the same.
    assert_eq!(res.regions.remove("b").as_deref(), Some("s"));
    assert_eq!(res, settings(true, false));
    assert_eq!(res.reload(res.clone()), (res, Vec::new()));
}

/// Every key that the table of the operators names is one of those above.
#[test]
fn table_of_operators() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/OPERATIONS.md");
    let text = std::fs::read_to_string(path).unwrap();
    let cell = |fields: &[(&'static str, &str, &str)]| {
        let names: Vec<_> = fields.iter().map(|it| format!("`{}`", it.0)).collect();
        names.join(", ")
    };
    let kept = format!("| at a restart | {} |", cell(&KEPT));
    assert!(text.contains(&kept), "{kept}");
    let taken = format!("| at once | {}, {} |", cell(&TAKEN), cell(&LINES));
    assert!(text.contains(&taken), "{taken}");
}

/// Bounds on cold upstreams held until the next configuration.
#[test]
fn slow_start() {
    let clock = Arc::new(clock::Manual::default());
    let protocol =
        Protocol { names: Names::default(), parse_load: |_| None, directory: |_, _| String::new() };
    let gateway = Gateway::new(settings(true, true), clock, protocol, 1);
    let service = Service {
        id: "stock".into(),
        slow_start: Duration::from_secs(8),
        warmup_per_s: 3.0,
        ..Service::default()
    };
    gateway.set_config(Config { version: 1, services: vec![service], ..Config::default() }, "test");
    let slow_start = |gateway: &Rc<Gateway>| {
        let dispatcher = gateway.dispatcher(&ServiceId::from("stock")).unwrap();
        let service = dispatcher.service.borrow();
        *service.slow_start()
    };
    let before = slow_start(&gateway);
    assert_eq!((before.overshoot.to_bits(), before.slack.to_bits()), bits(1.5, 4.0));
    let kept = gateway.reload(settings(true, false));
    assert!(kept.is_empty(), "{kept:?}");
    let SlowStart { duration, warmup_per_s, overshoot, slack } = slow_start(&gateway);
    assert_eq!((overshoot.to_bits(), slack.to_bits()), bits(2.0, 6.0));
    assert_eq!(
        (duration, warmup_per_s.to_bits()),
        (before.duration, before.warmup_per_s.to_bits())
    );
}

fn bits(a: f64, b: f64) -> (u64, u64) {
    (a.to_bits(), b.to_bits())
}
