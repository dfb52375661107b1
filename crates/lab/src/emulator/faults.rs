//! Failure injection: starts and ends the scenario's faults.
use quartzhub_policy::{EndpointState, Outcome, Span};

use super::event::Event;
use super::Emulator;
use crate::routers::Router;
use crate::scenario::{Fault, FaultKind};
use crate::server::Health;

/// How long a cache is down during a cold restart.
const COLD_RESTART_OUTAGE: Span = Span::ms(500);
/// How long a drained cache is down after it has stopped.
const DRAINED_OUTAGE: Span = Span::ms(5_000);

/// Indices of the servers or nodes that a fault affects, evenly spaced among `count`. The first one
/// follows from the fault's index, so that the start and the end of the fault select the same ones.
fn affected(index: usize, fault: &Fault, count: usize) -> impl Iterator<Item = usize> {
    let rounded = (count as f64 * fault.share).round() as usize;
    let affected = rounded.clamp(1, count);
    let first = index * 7 % count;
    (0..affected).map(move |position| (first + position * count / affected) % count)
}

impl<R: Router, F: Fn(usize, u64) -> R> Emulator<R, F> {
    pub(super) fn begin_fault(&mut self, index: usize) {
        let fault = self.sim.scenario.faults[index].clone();
        let caches = affected(index, &fault, self.sim.servers.len() - 1);
        let nodes = affected(index, &fault, self.nodes.len());
        let duration = Span::from_ms(fault.duration_s * 1000.0);
        self.sim.schedule_after(duration, Event::FaultEnds(index));
        match fault.kind {
            FaultKind::Crash => caches.for_each(|server| self.crash(server, duration)),
            FaultKind::ColdRestart => caches.for_each(|server| {
                self.sim.stop_server(server);
                self.sim
                    .schedule_after(COLD_RESTART_OUTAGE, Event::ServerRestarted { server });
            }),
            FaultKind::Hang => {
                caches.for_each(|server| self.sim.servers[server].health = Health::Hung)
            }
            FaultKind::Slow => {
                caches.for_each(|server| self.sim.servers[server].slowdown = fault.factor)
            }
            FaultKind::Drain => caches.for_each(|server| self.drain(server, duration)),
            FaultKind::Partition => {
                nodes.for_each(|node| self.nodes[node].node_state.partitioned = true)
            }
            FaultKind::OriginSlow => {
                let origin = self.sim.origin();
                self.sim.servers[origin].slowdown = fault.factor;
            }
            FaultKind::OriginStop => {
                let server = self.sim.origin();
                self.sim.stop_server(server);
                self.sim
                    .schedule_after(duration, Event::ServerRestarted { server });
            }
            FaultKind::Burst => self.sim.traffic_factor = fault.factor,
            FaultKind::HotKey => self.sim.hot_key_fraction = fault.share,
            FaultKind::Scan => self.sim.scan_fraction = fault.share,
            FaultKind::Network => self.sim.network_delay_factor = fault.factor,
            FaultKind::NodeRoll => self.restart_nodes(&nodes.collect::<Vec<_>>(), duration),
        }
    }

    pub(super) fn end_fault(&mut self, index: usize) {
        let fault = self.sim.scenario.faults[index].clone();
        let caches = affected(index, &fault, self.sim.servers.len() - 1);
        let nodes = affected(index, &fault, self.nodes.len());
        match fault.kind {
            FaultKind::Hang => caches.for_each(|server| self.end_hang(server)),
            FaultKind::Slow => caches.for_each(|server| self.sim.servers[server].slowdown = 1.0),
            FaultKind::Partition => nodes.for_each(|node| self.end_partition(node)),
            FaultKind::OriginSlow => {
                let origin = self.sim.origin();
                self.sim.servers[origin].slowdown = 1.0;
            }
            FaultKind::Burst => self.sim.traffic_factor = 1.0,
            FaultKind::HotKey => self.sim.hot_key_fraction = 0.0,
            FaultKind::Scan => self.sim.scan_fraction = 0.0,
            FaultKind::Network => self.sim.network_delay_factor = 1.0,
            // The ends of these were scheduled at their start.
            FaultKind::Crash
            | FaultKind::ColdRestart
            | FaultKind::Drain
            | FaultKind::OriginStop
            | FaultKind::NodeRoll => {}
        }
    }

    fn crash(&mut self, server: usize, outage: Span) {
        let nodes = self.nodes.len();
        self.sim.stop_server(server);
        self.sim.update_endpoint(server, EndpointState::Gone, nodes);
        self.sim
            .schedule_after(outage, Event::ServerRestarted { server });
    }

    fn drain(&mut self, server: usize, duration: Span) {
        let nodes = self.nodes.len();
        self.sim
            .update_endpoint(server, EndpointState::Draining, nodes);
        let incarnation = self.sim.servers[server].incarnation;
        let removed = Event::ServerRemoved {
            server,
            incarnation,
        };
        self.sim.schedule_after(duration, removed);
        let restarted = Event::ServerRestarted { server };
        self.sim
            .schedule_after(duration + DRAINED_OUTAGE, restarted);
    }

    fn end_hang(&mut self, server: usize) {
        if self.sim.servers[server].health != Health::Hung {
            return;
        }
        // Its pending jobs are discarded: their attempts timed out long ago.
        self.sim.reset_jobs(server, Outcome::Reset);
        self.sim.servers[server].health = Health::Up;
    }

    fn end_partition(&mut self, node: usize) {
        let node_state = &mut self.nodes[node].node_state;
        node_state.partitioned = false;
        if node_state.up {
            self.send_all_endpoints(node);
        }
    }

    /// Restarts the nodes one after the other, spread evenly over the duration.
    fn restart_nodes(&mut self, nodes: &[usize], duration: Span) {
        for (position, &node) in nodes.iter().enumerate() {
            let delay_us = duration.0 as f64 * position as f64 / nodes.len() as f64;
            self.sim
                .schedule_after(Span(delay_us as i64), Event::NodeStopped { node });
        }
    }
}
