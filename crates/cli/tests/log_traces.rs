//! `explain --from` explains failed requests from the log lines of several daemons.

use cli::trace::{Line, Trace};

/// Log lines of two hosts; the clock of the second is several seconds behind.
const LINES: &str = "\
edge-1 time=1000.000 level=INFO target=belief event=start version=0.1.0 host=edge-1
edge-1 time=1020.100 level=INFO target=belief event=upstream-says upstream=i-1 service=s state=Ready
edge-1 time=1020.150 level=INFO target=request event=request id=other status=502 reason=upstream-failed \
route=r service=s config=8 left_ms=900 waited_ms=0 took_ms=90 attempts=[(upstream=i-1 \
result=connection-broke:-reset took_ms=90 pace=1.00 report_age_ms=4)]
edge-1 time=1020.200 level=INFO target=request event=request id=lost status=502 reason=upstream-failed \
route=r service=s config=8 left_ms=1500 waited_ms=0 took_ms=161 attempts=[(upstream=i-1 \
result=connection-broke:-reset took_ms=161 pace=1.00 report_age_ms=4)]
edge-1 time=1021.300 level=INFO target=belief event=upstream-gone upstream=i-1 source=store
edge-1 time=1021.400 level=INFO target=belief event=upstream-gone upstream=i-9 source=store
edge-2 time=1013.000 level=WARN target=belief event=store-lost what=config error=\"timeout\"
edge-2 time=1015.000 level=INFO target=request event=request id=flood status=503 reason=overload route=r \
service=s config=7 left_ms=185 waited_ms=0 took_ms=0 attempts=[]
no line of a daemon
edge-2 time=broken level=INFO";

fn lines() -> Vec<Line> {
    LINES.lines().filter_map(|it| Line::parse("file", it)).collect()
}

fn check(id: &str, expected: &[&str], unexpected: &[&str]) {
    let text = Trace::new(id, &lines()).expect("lines about it").to_string();
    for it in expected {
        assert!(text.contains(it), "no `{it}` in {text}");
    }
    for it in unexpected {
        assert!(!text.contains(it), "`{it}` in {text}");
    }
}

#[test]
fn lost_answer() {
    check(
        "lost",
        &[
            "502: an attempt may have run and its whole answer never came",
            "i-1: the connection broke after the request was sent",
            "event=upstream-gone upstream=i-1",
            "other logged attempts at i-1 around then: 1 connection-broke:-reset",
        ],
        &["i-9", "event=start", "store-lost"],
    );
}

#[test]
fn refused_in_a_flood() {
    let expected = ["refused before any upstream got it; it has not run", "event=store-lost"];
    check("flood", &expected, &["i-1", "edge-1"]);
}

#[test]
fn unknown_request() {
    assert!(Trace::new("none", &lines()).is_none());
    assert!(Trace::new("", &lines()).is_none());
}

#[test]
fn host_of_a_line() {
    let text = "time=1.5000 event=x";
    assert_eq!(
        Line::parse("file", text).map(|it| (it.host, it.time_ms)),
        Some(("file".into(), 1_500))
    );
    let named = Line::parse("file", "  13.0001 edge-7 time=1.500 event=x").map(|it| it.host);
    assert_eq!(named.as_deref(), Some("edge-7"));
    assert_eq!(Line::parse("file", "time=99999999999999999999.000 event=x"), None);
    assert_eq!(Line::parse("file", "time=18446744073709551.999 event=x"), None);
}
