//! Load reports in the answers of backend servers.

use balance::Report;

/// Parses a report such as `in_flight=3, queued=1`; `None` if it is malformed.
#[must_use]
pub fn parse(value: &str) -> Option<Report> {
    let mut res = Report::default();
    for it in value.split(',') {
        let (key, number) = it.trim().split_once('=')?;
        let number = number.trim().parse().ok()?;
        match key.trim() {
            "in_flight" => res.occupied = number,
            "queued" => res.queued = number,
            _ => {}
        }
    }
    Some(res)
}
