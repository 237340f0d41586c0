//! Tasks that follow the topics of the platform's store: configurations, upstreams, entry hosts.

mod configuration;
mod evacuation;
mod hosts;
mod upstreams;

use std::{
    future::Future,
    time::{Duration, Instant},
};

pub use configuration::Follower as Configuration;
pub use hosts::{deregister, discover};
pub use upstreams::Follower as Upstreams;

use crate::{
    gateway::Gateway,
    platform::{Error, Result},
};

/// Timeout of a call to the store, in addition to any long-poll time.
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

/// Whether the last call to the store succeeded; logs changes.
#[derive(Debug, Default)]
struct Availability {
    unavailable_since: Option<Instant>,
}

impl Availability {
    fn is_unavailable(&self) -> bool {
        self.unavailable_since.is_some()
    }

    fn update<T>(&mut self, now: Instant, what: &str, res: &Result<T>) {
        match (res, self.unavailable_since) {
            (Ok(_) | Err(Error::Deleted { .. }), Some(since)) => {
                let unavailable_for = now.saturating_duration_since(since).as_millis();
                log::info!(target: "belief", "event=store-regained what={what} away_ms={unavailable_for}");
                self.unavailable_since = None;
            }
            (Err(e), None) if !matches!(e, Error::Deleted { .. }) => {
                log::warn!(target: "belief", "event=store-lost what={what} error=\"{e}\"");
                self.unavailable_since = Some(now);
            }
            _ => {}
        }
    }
}
