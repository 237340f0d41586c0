//! What a service is made of, in one version of the configuration.

use std::sync::Arc;

/// What a service is made of, in one version of the configuration.
#[derive(Clone, Debug)]
pub struct Parts {
    /// Limits of the service.
    pub service: Arc<document::Service>,
    /// Ranks of work.
    pub ranks: Vec<admission::Rank>,
    /// Upstreams of the service.
    pub upstreams: Vec<document::Upstream>,
    /// Failure domain of this host.
    pub domain: balance::Domain,
    /// Entry hosts that may be at work.
    pub hosts: u32,
    /// Seed of the balancer's random numbers.
    pub seed: u64,
}

impl Parts {
    /// The upstreams as the balancer needs to know them.
    #[must_use]
    pub fn balanced(&self) -> Vec<balance::Upstream> {
        let convert = |it: &document::Upstream| balance::Upstream {
            id: Arc::clone(&it.id),
            domain: Arc::clone(&it.domain),
            slots: it.slots,
        };
        self.upstreams.iter().map(convert).collect()
    }

    /// Settings of the gate.
    #[must_use]
    pub fn gate_settings(&self) -> admission::Settings {
        admission::Settings {
            queue_limit: self.service.queue_limit as usize,
            ..admission::Settings::default()
        }
    }
}
