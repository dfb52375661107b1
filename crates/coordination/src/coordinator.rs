//! The coordination state machine: its timer, and the datagrams that it sends and receives.
use quartzhub_membership::endpoint::{EndpointConfig, Received};
use quartzhub_membership::{Datagram, DatagramEndpoint, NodeId, TrafficCounters};
use quartzhub_policy::{NodeLoad, Pcg, Time};

use crate::leases::{LeaseMessage, Leases};
use crate::load_reports::{FleetLoad, LoadReports};
use crate::wire::{self, Entry, Head};
use crate::CoordinationConfig;

/// The load reports and leases of one node.
pub struct Coordinator {
    me: NodeId,
    config: CoordinationConfig,
    rng: Pcg,
    endpoint: DatagramEndpoint,
    reports: LoadReports,
    leases: Leases,
    next_report: Time,
}

impl Coordinator {
    /// Creates the state machine of node `me`. `nodes` is the number of configured nodes, including
    /// this one.
    pub fn new(
        me: NodeId,
        nodes: usize,
        fleet: u32,
        seed: u64,
        config: CoordinationConfig,
    ) -> Coordinator {
        let mut rng = Pcg::new(seed);
        // A random first round: a delayed grant to an earlier process of this node must not match a
        // round of this process.
        let first_round = (rng.unit() * f64::from(u32::MAX)) as u32;
        let endpoint = DatagramEndpoint::new(EndpointConfig {
            version: wire::VERSION,
            fleet,
            me,
            nodes,
            datagrams_per_second: config.datagrams_per_second,
            datagram_burst: config.datagram_burst,
        });
        Coordinator {
            me,
            rng,
            endpoint,
            reports: LoadReports::new(me, nodes, &config),
            leases: Leases::new(me, nodes, first_round, &config),
            next_report: Time(0),
            config,
        }
    }

    /// Starts the timer. The first report is sent after a random delay, so that nodes started at
    /// the same time do not report in lockstep.
    pub fn start(&mut self, now: Time) {
        self.leases.start(now);
        self.next_report = now + self.config.report_interval.times(self.rng.unit());
    }

    /// Sets this node's own current load.
    pub fn set_own_load(&mut self, load: NodeLoad) {
        self.reports.set_own_load(load);
    }

    /// Sets how many shares of other nodes this node wants to use in addition to its own.
    pub fn request_leases(&mut self, shares: usize) {
        self.leases.request_leases(shares);
    }

    /// Returns the fleet's load according to the reports of other nodes; none if too few are
    /// recent.
    pub fn fleet_load(&self, now: Time) -> Option<FleetLoad> {
        self.reports.fleet_load(now)
    }

    /// Returns the share of each budget that this node may use now. It shrinks when leases expire,
    /// so it has to be read before every use.
    pub fn budget_share(&self, now: Time) -> f64 {
        self.leases.budget_share(now)
    }

    /// Returns the counters of datagrams sent, received and dropped.
    pub fn traffic(&self) -> TrafficCounters {
        self.endpoint.traffic()
    }

    /// Returns the time at which `tick` has to be called next.
    pub fn next_tick_at(&self) -> Time {
        self.next_report.min(self.leases.next_tick_at())
    }

    /// Performs all actions that are due. `incarnation` is this node's incarnation in the
    /// membership, and `others` are the other members.
    pub fn tick(
        &mut self,
        now: Time,
        incarnation: u32,
        others: &[NodeId],
        out: &mut Vec<Datagram>,
    ) {
        let messages = self.leases.tick(now, others, &mut self.rng);
        self.send_lease_messages(messages, out);
        if now < self.next_report {
            return;
        }
        self.next_report = now + self.config.report_interval;
        self.reports.record_own(now, incarnation);
        let chosen = (self.rng.unit() * others.len() as f64) as usize;
        if let Some(to) = others.get(chosen) {
            self.send_reports(now, *to, true, out);
        }
    }

    /// Sends a datagram with as many reports as fit.
    fn send_reports(
        &mut self,
        now: Time,
        to: NodeId,
        wants_reports: bool,
        out: &mut Vec<Datagram>,
    ) {
        let mut packet = self.endpoint.packet(&Head {
            from: self.me,
            wants_reports,
        });
        self.reports
            .piggyback(now, |report| packet.add(&Entry::LoadReport(report)));
        self.endpoint.send(to, packet, out);
    }

    fn send_lease_messages(&mut self, messages: Vec<LeaseMessage>, out: &mut Vec<Datagram>) {
        for LeaseMessage { to, action } in messages {
            let mut packet = self.endpoint.packet(&Head {
                from: self.me,
                wants_reports: false,
            });
            packet.add(&Entry::from(action));
            self.endpoint.send(to, packet, out);
        }
    }

    /// Handles a datagram received from the address of node `from`.
    pub fn receive(&mut self, now: Time, from: NodeId, bytes: &[u8], out: &mut Vec<Datagram>) {
        let received = self.endpoint.receive::<Head, Entry>(now, from, bytes);
        let Some(Received { head, entries }) = received else {
            return;
        };
        let mut grants = Vec::new();
        for entry in entries {
            match entry {
                Entry::LoadReport(report) => self.reports.on_report(now, report),
                Entry::LeaseRequest(key) => grants.extend(self.leases.on_request(now, from, key)),
                Entry::LeaseGrant(key) => self.leases.on_grant(from, key),
                Entry::LeaseRelease(key) => self.leases.on_release(now, from, key),
            }
        }
        self.send_lease_messages(grants, out);
        if head.wants_reports {
            self.send_reports(now, from, false, out);
        }
    }
}
