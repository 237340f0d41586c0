//! Noisy neighbours and faults during a simulation.

use super::{
    scenario::FaultKind,
    server::{draw_exponential, draw_log_uniform},
    simulation::{Event, Hosts, Simulation},
};

/// Number of steps in which the slowdown of a cold server falls to 1.
const WARM_UP_STEPS: u32 = 20;

impl Simulation<'_> {
    pub(super) fn change_noise(&mut self, upstream: usize, starts: bool) {
        let noise = &self.scenario.noise;
        let rng = &mut self.noise[upstream];
        let factor = draw_log_uniform(rng, noise.least_factor, noise.greatest_factor);
        self.servers[upstream].advance(self.now_s);
        self.servers[upstream].noise_factor = if starts { factor } else { 1.0 };
        self.schedule_completion(upstream);
        self.schedule_noise(upstream, !starts);
    }

    pub(super) fn change_fault(&mut self, index: usize, step: u32) {
        let fault = &self.scenario.faults[index];
        let upstream = fault.upstream;
        let is_over = step >= WARM_UP_STEPS;
        let next_step = if fault.kind == FaultKind::Cold { step + 1 } else { WARM_UP_STEPS };
        let elapsed_share = f64::from(step) / f64::from(WARM_UP_STEPS);
        self.servers[upstream].advance(self.now_s);
        let server = &mut self.servers[upstream];
        match fault.kind {
            FaultKind::Slow | FaultKind::Cold => {
                server.fault_factor = (fault.factor - 1.0).mul_add(1.0 - elapsed_share, 1.0);
            }
            FaultKind::FailFast => server.is_failing_fast = !is_over,
            FaultKind::Drain => server.is_draining = !is_over,
        }
        self.schedule_completion(upstream);
        if fault.kind == FaultKind::Drain {
            let lag_s = self.scenario.host_list_lag_ms / 1e3;
            self.event_queue
                .push(self.now_s + lag_s, Event::HostList { upstream, leaving: !is_over });
        }
        if !is_over {
            let share = f64::from(next_step - step) / f64::from(WARM_UP_STEPS);
            let event = Event::Fault { index, step: next_step };
            self.event_queue.push(self.now_s + fault.for_s * share, event);
        }
    }

    pub(super) fn set_leaving(&mut self, upstream: usize, leaving: bool) {
        match &mut self.hosts {
            Hosts::Fireflydrum(hosts) => {
                for it in hosts {
                    it.set_leaving(upstream, leaving);
                }
            }
            Hosts::Baseline(hosts) => {
                for it in hosts {
                    it.set_leaving(upstream, leaving);
                }
            }
        }
    }

    pub(super) fn schedule_noise(&mut self, upstream: usize, starts: bool) {
        let noise = &self.scenario.noise;
        let rng = &mut self.noise[upstream];
        let after_ms = if starts {
            noise.every_ms * draw_exponential(rng)
        } else {
            draw_log_uniform(rng, noise.shortest_ms, noise.longest_ms)
        };
        self.event_queue.push(self.now_s + after_ms / 1e3, Event::Noise { upstream, starts });
    }
}
