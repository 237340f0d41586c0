//! Checks of attempts beyond the first of a request against the budget of all daemons.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

/// Attempts beyond the first, as a share of the requests: the default of the daemons' settings.
const RATIO: f64 = 0.2;
/// Attempts beyond the first that are allowed besides: the default of the daemons' settings.
const SLACK: f64 = 50.0;
/// Window in which both count: the default of the daemons' settings.
const WINDOW: Duration = Duration::from_secs(10);

/// The window with the most attempts over its budget, as a finding; none if all are within.
///
/// `sent` holds when callers sent requests, `arrived` the id and time of each request that reached an
/// upstream, refused ones included.
#[must_use]
pub fn check(sent: &[Instant], arrived: &[(String, Instant)]) -> Option<String> {
    let mut arrived: Vec<_> = arrived.iter().collect();
    arrived.sort_by_key(|(_, at)| *at);
    let mut seen = HashSet::new();
    let extra: Vec<_> =
        arrived.iter().filter(|(id, _)| !seen.insert(id)).map(|(_, at)| *at).collect();
    let within = |times: &[Instant], end: Instant| {
        times.iter().filter(|it| **it <= end && end.duration_since(**it) < WINDOW).count()
    };
    // A request is counted when it is sent and its repeat when it arrives, up to half a window later.
    let requests = |end: Instant| {
        let before = end.checked_sub(WINDOW / 2).unwrap_or(end);
        within(sent, end).max(within(sent, before))
    };
    let over = |end: &Instant| {
        let allowed = requests(*end) as f64 * RATIO + SLACK;
        (within(&extra, *end) as f64 - allowed, allowed)
    };
    let (most, allowed) = extra.iter().map(over).max_by(|a, b| a.0.total_cmp(&b.0))?;
    (most > 0.0).then(|| format!("{most:.0} attempts beyond the budget of {allowed:.0} in 10 s"))
}
