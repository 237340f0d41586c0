//! Checks that the attempts beyond the first of each request stay within the retry budget of all
//! daemons.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

/// Allowed repeated attempts per request. Default of the setting `retry_ratio`.
const RETRY_RATIO: f64 = 0.2;
/// Repeated attempts allowed in addition, per window. Default of the setting `retry_slack`.
const RETRY_SLACK: f64 = 50.0;
/// Length of the budget's sliding window. Default of the daemons' settings.
const WINDOW: Duration = Duration::from_secs(10);

/// Describes the window that exceeds its budget by most, or returns `None` if no window exceeds it.
///
/// `sent` holds the times at which callers sent requests. `arrived` holds the id and time of each attempt
/// that reached an upstream, also of those that the upstream refused.
#[must_use]
pub fn check(sent: &[Instant], arrived: &[(String, Instant)]) -> Option<String> {
    let mut arrived: Vec<_> = arrived.iter().collect();
    arrived.sort_by_key(|(_, at)| *at);
    let mut seen_ids = HashSet::new();
    let repeats: Vec<_> =
        arrived.iter().filter(|(id, _)| !seen_ids.insert(id)).map(|(_, at)| *at).collect();
    let count_in_window = |times: &[Instant], end: Instant| {
        times.iter().filter(|it| **it <= end && end.duration_since(**it) < WINDOW).count()
    };
    // A request counts from when it is sent, its repeated attempt from when it arrives, which can
    // be up to half a window later.
    let requests = |end: Instant| {
        let earlier = end.checked_sub(WINDOW / 2).unwrap_or(end);
        count_in_window(sent, end).max(count_in_window(sent, earlier))
    };
    let excess = |end: &Instant| {
        let allowed = requests(*end) as f64 * RETRY_RATIO + RETRY_SLACK;
        (count_in_window(&repeats, *end) as f64 - allowed, allowed)
    };
    let (max_excess, allowed) = repeats.iter().map(excess).max_by(|a, b| a.0.total_cmp(&b.0))?;
    (max_excess > 0.0)
        .then(|| format!("{max_excess:.0} attempts beyond the budget of {allowed:.0} in 10 s"))
}
