//! What an upstream says about itself in the head of an answer.

use std::time::Duration;

use crate::{http::Head, wire::Names};

/// Longest pause that is accepted; a longer one is shortened.
const MAX_PAUSE: Duration = Duration::from_hours(1);
/// Name of the header with the seconds after which a request may be sent again (RFC 9110, section
/// 10.2.3).
const RETRY_AFTER: &str = "retry-after";

/// What an upstream says about itself in the head of an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Notice {
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Time for which it wants nothing from this host.
    pub pause: Option<Duration>,
}

impl Notice {
    /// Reads the notice from the answer of the upstream `id`. An answer of another instance says
    /// nothing about this one.
    #[must_use]
    pub fn parse(head: &Head, names: &Names, id: &str) -> Self {
        let is_other = head.status == 421 || head.text(names.instance).is_some_and(|it| it != id);
        if is_other {
            return Self::default();
        }
        let is_leaving = head.text(names.leaving).is_some_and(|it| it.trim() == "1");
        let pause = head.text(RETRY_AFTER).filter(|_| head.status == 503);
        Self { is_leaving, pause: pause.and_then(|it| parse_pause(it, id)) }
    }
}

fn parse_pause(text: &str, id: &str) -> Option<Duration> {
    let seconds = text.trim().parse().ok().filter(|it: &f64| *it >= 0.0);
    let Some(seconds) = seconds else {
        log::warn!(target: "belief", "event=pause-ignored upstream={id} bytes={}", text.len());
        return None;
    };
    if seconds > MAX_PAUSE.as_secs_f64() {
        log::warn!(target: "belief", "event=pause-shortened upstream={id} to_s={}", MAX_PAUSE.as_secs());
        return Some(MAX_PAUSE);
    }
    Some(Duration::from_secs_f64(seconds))
}
