//! Follows what the platform's store holds: configurations, upstreams, entry hosts.

mod configuration;
mod hosts;
mod upstreams;

use std::{
    future::Future,
    time::{Duration, Instant},
};

pub use configuration::Follower as Configuration;
pub use hosts::{meet, part};
pub use upstreams::Follower as Upstreams;

use crate::{
    gateway::Gateway,
    platform::{Error, Result},
};

/// Longest time for the store to answer a call that it doesn't hold back.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Makes a call with a timeout and counts it.
async fn call<T>(
    gateway: &Gateway,
    name: &'static str,
    timeout: Duration,
    call: impl Future<Output = Result<T>>,
) -> Result<T> {
    let res = match tokio::time::timeout(timeout, call).await {
        Ok(it) => it,
        Err(_elapsed) => Err(Error::Timeout(timeout)),
    };
    gateway.metrics.call(name, res.is_ok());
    res
}

/// Whether the store answers, as last seen; tells of changes in the log.
#[derive(Debug, Default)]
struct Contact {
    lost: Option<Instant>,
}

impl Contact {
    fn is_lost(&self) -> bool {
        self.lost.is_some()
    }

    fn note<T>(&mut self, now: Instant, what: &str, res: &Result<T>) {
        match (res, self.lost) {
            (Ok(_) | Err(Error::Deleted { .. }), Some(since)) => {
                let away = now.saturating_duration_since(since).as_millis();
                log::info!(target: "belief", "event=store-regained what={what} away_ms={away}");
                self.lost = None;
            }
            (Err(e), None) if !matches!(e, Error::Deleted { .. }) => {
                log::warn!(target: "belief", "event=store-lost what={what} error=\"{e}\"");
                self.lost = Some(now);
            }
            _ => {}
        }
    }
}
