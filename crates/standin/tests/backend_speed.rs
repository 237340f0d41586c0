//! Slow and cold backend servers take longer, by at least the configured factor.

use std::time::{Duration, Instant};

use standin::backend::{Backend, Settings};

const SERVICE_TIME: Duration = Duration::from_millis(2);
/// Minimum service time with [`FACTOR`], with a margin for its decrease during the test.
const SLOWED: Duration = Duration::from_millis(35);
const FACTOR: f64 = 20.0;

fn check(settings: Settings, slow_factor: f64) {
    let backend = Backend::start(settings).unwrap();
    backend.update(|it| it.slow_factor = slow_factor);
    let started = Instant::now();
    ureq::get(format!("http://{}/stock", backend.address())).call().unwrap();
    let took = started.elapsed();
    assert!(took >= SLOWED, "{took:?}");
}

#[test]
fn slow_server() {
    check(Settings { service_time: SERVICE_TIME, ..Settings::default() }, FACTOR);
}

#[test]
fn cold_server() {
    let cold_start = Duration::from_hours(1);
    let settings = Settings {
        service_time: SERVICE_TIME,
        cold_start,
        cold_factor: FACTOR,
        ..Settings::default()
    };
    check(settings, 1.0);
}
