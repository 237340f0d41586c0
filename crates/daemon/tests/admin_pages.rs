//! Pages of the operators' listener.

use fleet::{Caller, Fleet, Settings};
use serde_json::Value;

fn check(path: &str, status: u16) -> String {
    let fleet = Fleet::start(Settings::default()).expect("fleet starts");
    let caller = Caller::default();
    assert_eq!(caller.get(fleet.address(0), "/stock/1").outcome, "done");
    assert_eq!(caller.get(fleet.address(0), "/nowhere").outcome, "not-run");
    let res = caller.get(fleet.daemons[0].admin_address(), path);
    assert_eq!(res.status, status, "{path}");
    String::from_utf8(res.body.to_vec()).expect("text")
}

#[test]
fn metrics_page() {
    let page = check("/metrics", 200);
    let done = "fireflydrum_requests_total{service=\"stock\",rank=\"urgent\",outcome=\"done\"} 1";
    assert!(page.contains(done), "{page}");
    assert!(page.contains("fireflydrum_request_seconds_bucket"), "{page}");
    assert!(page.ends_with("# EOF\n"), "{page}");
}

#[test]
fn status_page() {
    let page: Value = serde_json::from_str(&check("/status", 200)).expect("JSON");
    assert_eq!(page["version"], 0);
    assert_eq!(page["configuration"]["state"], "following");
    assert_eq!(page["services"][0]["id"], "stock");
    assert_eq!(page["services"][0]["ranks"][0]["admitted"], 1);
}

#[test]
fn explain_page() {
    let page: Value = serde_json::from_str(&check("/explain", 200)).expect("JSON");
    assert_eq!(page[0]["outcome"], "not-run");
    assert_eq!(page[0]["reason"], "no-route");
    assert_eq!(page[1]["route"], "stock-get");
    assert_eq!(page[1]["attempts"][0]["result"], "200");
    let reason = page[1]["attempts"][0]["reason"].as_str().expect("text");
    assert!(reason.contains("weighed"), "{reason}");
}

#[test]
fn explain_unknown() {
    assert!(check("/explain/0-0", 404).contains("keeps no decision"));
}

#[test]
fn unknown_page() {
    assert!(check("/admin", 404).contains("/metrics"));
}

/// The status page has the loads that peers reported.
#[test]
fn load_elsewhere() {
    let fleet = Fleet::start(Settings { daemons: 2, ..Settings::default() }).expect("starts");
    fleet.await_hosts(2).expect("daemons discover each other");
    let reported = || {
        let page = Caller::default().get(fleet.daemons[0].admin_address(), "/status").body;
        let page: Value = serde_json::from_slice(&page).expect("JSON");
        page["services"][0]["elsewhere"]["hosts"] == 1
    };
    fleet::await_condition(std::time::Duration::from_secs(20), "peer load", reported)
        .expect("the peer reports its load");
}
