//! Faults of the network: cuts and spoilt ways, with what they do to listening sockets.
use std::time::Duration;

use tokio::time::sleep;

use super::super::plan::{End, Fault, Kind};
use super::super::way::Shape;
use super::Rig;

/// Ways that are told by name; of more only the first is.
const MOST_NAMED: usize = 6;

impl Rig {
    /// Has the ways of a fault cut or spoilt for as long as it lasts.
    pub(super) async fn spoil(&self, i: usize, lasts: Option<Duration>) {
        let fault = &self.plan.faults[i];
        let ways = self.plan.ways(i);
        let told = self.describe(&ways);
        self.timeline.note("ways", format!("{:?} begins: {told}", fault.kind));
        self.begin_on(i, &ways);
        let Some(lasts) = lasts else { return };
        sleep(lasts).await;
        self.timeline.note("ways", format!("{:?} ends: {told}", fault.kind));
        self.end_on(i, &ways);
    }

    fn begin_on(&self, i: usize, ways: &[(End, End)]) {
        let fault = &self.plan.faults[i];
        let shape = Shape::of(fault, fault.kind == Kind::Cut);
        ways.iter().filter_map(|way| self.ways.get(way)).for_each(|way| way.begin(i, shape));
        self.settle_gates(fault, ways, |resets| resets + 1);
    }

    fn end_on(&self, i: usize, ways: &[(End, End)]) {
        ways.iter().filter_map(|way| self.ways.get(way)).for_each(|way| way.end(i));
        self.settle_gates(&self.plan.faults[i], ways, |resets| resets.saturating_sub(1));
    }

    /// Listening sockets on these ways take connections or not, as their ways now are.
    fn settle_gates(&self, fault: &Fault, ways: &[(End, End)], resets: impl Fn(usize) -> usize) {
        for (from, to) in ways {
            let Some((node, server)) = self.gate_of(*from, *to) else { continue };
            let Some(gate) = self.gates.get(&(node, server)) else { continue };
            if fault.reset {
                gate.resets.set(resets(gate.resets.get()));
            }
            gate.settle(server == self.fleet.servers() || *self.fleet.up(server).borrow());
        }
    }

    /// The node and the server between which a way lies; discovery stands behind the servers.
    fn gate_of(&self, from: End, to: End) -> Option<(usize, usize)> {
        match (from, to) {
            (End::Node(node), End::Server(server)) | (End::Server(server), End::Node(node)) => {
                Some((node, server))
            }
            (End::Node(node), End::Discovery) | (End::Discovery, End::Node(node)) => {
                Some((node, self.fleet.servers()))
            }
            _ => None,
        }
    }

    fn describe(&self, ways: &[(End, End)]) -> String {
        let name = |end: &End| match end {
            End::Node(node) => format!("node-{node}"),
            End::Server(server) => self.fleet.id(*server),
            End::Discovery => "discovery".to_owned(),
        };
        let named: Vec<_> = ways.iter().map(|(from, to)| format!("{}>{}", name(from), name(to))).collect();
        match named.len() > MOST_NAMED {
            true => format!("{} ways, {} first", named.len(), named[0]),
            false => named.join(" "),
        }
    }
}
