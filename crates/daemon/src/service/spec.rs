//! The specification of a service in one version of the configuration.

use std::sync::Arc;

/// The specification of a service in one version of the configuration.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Limits of the service.
    pub service: Arc<document::Service>,
    /// Ranks of work.
    pub ranks: Vec<admission::Rank>,
    /// Upstreams of the service.
    pub upstreams: Vec<document::Upstream>,
    /// Failure domain of this host.
    pub domain: balance::Domain,
    /// Number of entry hosts that may be running.
    pub hosts: u32,
    /// Seed of the balancer's random numbers.
    pub seed: u64,
}

impl Spec {
    /// Returns the upstreams in the balancer's form.
    #[must_use]
    pub fn balancer_upstreams(&self) -> Vec<balance::Upstream> {
        let convert = |it: &document::Upstream| balance::Upstream {
            id: Arc::clone(&it.id),
            domain: Arc::clone(&it.domain),
            slots: it.slots,
        };
        self.upstreams.iter().map(convert).collect()
    }

    /// Returns the settings of the admission gate.
    #[must_use]
    pub fn gate_settings(&self) -> admission::Settings {
        admission::Settings {
            queue_limit: self.service.queue_limit as usize,
            ..admission::Settings::default()
        }
    }
}
