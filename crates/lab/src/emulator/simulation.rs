//! State that all nodes share: clock and events, random draws, the network and the endpoint list.
use quartzhub_policy::{EndpointState, Span, Time};
use rand_distr::{Distribution, Exp1, StandardNormal};

use super::event::{Cancellation, EndpointUpdate, Event};
use super::state::{Attempt, ListedEndpoint, Simulation};
use crate::scenario::WorkDistribution;

impl Simulation {
    pub(super) fn schedule_at(&mut self, at: Time, event: Event) {
        self.events.schedule(at.max(self.now), event);
    }

    pub(super) fn schedule_after(&mut self, delay: Span, event: Event) {
        self.schedule_at(self.now + delay, event);
    }

    pub(super) fn allocate_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Draws the one-way delay of a message through the network.
    pub(super) fn network_delay(&mut self) -> Span {
        let network = &self.scenario.network;
        let jitter: f64 = Exp1.sample(&mut self.rng);
        let mut ms = (network.delay_ms + network.jitter_ms * jitter) * self.network_delay_factor;
        if network.loss > 0.0 && self.rng.unit() < network.loss {
            ms += network.retransmit_ms;
        }
        Span::from_ms(ms)
    }

    /// Closes the connection of an attempt; its server discards the job when the close arrives.
    pub(super) fn send_cancellation(&mut self, attempt: &Attempt) {
        let delay = self.network_delay();
        let cancellation = Cancellation {
            server: attempt.server,
            incarnation: attempt.incarnation,
            job_id: attempt.job_id,
        };
        self.schedule_after(delay, Event::AttemptCancelled(cancellation));
    }

    pub(super) fn draw_uniform(&mut self, [from, to]: [f64; 2]) -> f64 {
        from + (to - from) * self.rng.unit()
    }

    /// Draws an amount of work with mean `ms` from the scenario's distribution.
    pub(super) fn draw_work(&mut self, ms: f64) -> Span {
        let factor: f64 = match self.scenario.caches.work {
            WorkDistribution::Fixed => 1.0,
            WorkDistribution::Exponential => Exp1.sample(&mut self.rng),
            WorkDistribution::Lognormal => {
                let normal: f64 = StandardNormal.sample(&mut self.rng);
                // Mean 1 and variance 1: sigma² = ln 2.
                let sigma2 = std::f64::consts::LN_2;
                (normal * sigma2.sqrt() - sigma2 / 2.0).exp()
            }
        };
        Span::from_ms(ms * factor)
    }

    pub(super) fn draw_key(&mut self) -> u64 {
        if self.scan_fraction > 0.0 && self.rng.unit() < self.scan_fraction {
            self.scanned_keys += 1;
            return u64::MAX - self.scanned_keys;
        }
        if self.hot_key_fraction > 0.0 && self.rng.unit() < self.hot_key_fraction {
            return 0;
        }
        let count = self.scenario.keys.count;
        let rank = match &self.zipf {
            Some(zipf) => (zipf.sample(&mut self.rng) as u64).clamp(1, count) - 1,
            None => ((self.rng.unit() * count as f64) as u64).min(count - 1),
        };
        // As popularity drifts, every seventh rank moves on to the next key.
        (rank + self.popularity_shift * ((rank % 7 == 3) as u64)) % count
    }

    pub(super) fn origin(&self) -> usize {
        self.servers.len() - 1
    }

    /// Changes a server's entry in the endpoint list; each node receives the update after its own
    /// delay.
    pub(super) fn update_endpoint(&mut self, server: usize, state: EndpointState, nodes: usize) {
        let started = self.servers[server].started;
        self.listed_endpoints[server] = ListedEndpoint { state, started };
        for node in 0..nodes {
            let delay =
                Span::from_ms(self.draw_uniform(self.scenario.network.endpoint_list_delay_ms));
            let update = EndpointUpdate {
                server,
                state,
                started,
            };
            self.schedule_after(delay, Event::EndpointChange { node, update });
        }
    }
}
