//! Holds leases: requests them from their quorum groups at regular intervals. A granted lease is
//! valid for a fixed time, counted from its request.
use quartzhub_membership::NodeId;
use quartzhub_policy::{Pcg, Span, Time};

use super::message::{LeaseAction, LeaseKey, LeaseMessage};
use super::quorum_group::{is_majority, quorum_group};
use crate::CoordinationConfig;

/// Maximum rounds of backoff after a lease was not granted. Several nodes that request the same
/// share at once split the votes of its quorum group, so that none of them gets a majority; with
/// different backoffs, one of them does.
const MAX_BACKOFF_ROUNDS: f64 = 8.0;

/// Minimum time between renewals, as a fraction of the renewal interval.
const MIN_RENEWAL_JITTER: f64 = 0.9;

/// Range of the random part of the time between renewals, as a fraction of the renewal interval.
const RENEWAL_JITTER_RANGE: f64 = 0.2;

/// A lease on a share, requested or granted.
#[derive(Debug)]
struct Lease {
    owner: NodeId,
    quorum_group: Vec<NodeId>,
    /// When it was last requested.
    requested: Time,
    /// The round of that request.
    round: u32,
    /// Nodes that have granted that request.
    granted_by: Vec<NodeId>,
    /// When the lease expires, by this node's clock; none if it was never granted.
    expires: Option<Time>,
}

impl Lease {
    fn is_valid(&self, now: Time) -> bool {
        self.expires.is_some_and(|expires| now < expires)
    }

    fn key(&self) -> LeaseKey {
        LeaseKey {
            owner: self.owner,
            round: self.round,
        }
    }

    /// Returns a message to each node of the quorum group.
    fn to_quorum_group(&self, action: LeaseAction) -> impl Iterator<Item = LeaseMessage> + '_ {
        self.quorum_group
            .iter()
            .map(move |to| LeaseMessage { to: *to, action })
    }
}

/// The leases that this node holds or requests, starting with the one on its own share.
#[derive(Debug)]
pub struct LeaseHolder {
    me: NodeId,
    nodes: usize,
    quorum_group_size: usize,
    lease_duration: Span,
    renewal_interval: Span,
    max_borrowed_shares: usize,
    leases: Vec<Lease>,
    /// Number of other nodes' shares that this node wants to use.
    wanted_shares: usize,
    round: u32,
    next_renewal: Time,
    /// Rounds until this node may request another share.
    backoff_rounds: u32,
}

impl LeaseHolder {
    pub fn new(
        me: NodeId,
        nodes: usize,
        first_round: u32,
        config: &CoordinationConfig,
    ) -> LeaseHolder {
        let mut holder = LeaseHolder {
            me,
            nodes,
            quorum_group_size: config.quorum_group_size,
            lease_duration: config.lease_duration,
            renewal_interval: config.renewal_interval,
            max_borrowed_shares: config.max_borrowed_shares,
            leases: Vec::new(),
            wanted_shares: 0,
            round: first_round,
            next_renewal: Time(0),
            backoff_rounds: 0,
        };
        holder.add(me);
        holder
    }

    fn add(&mut self, owner: NodeId) {
        self.leases.push(Lease {
            owner,
            quorum_group: quorum_group(owner, self.nodes, self.quorum_group_size),
            requested: Time(0),
            round: 0,
            granted_by: Vec::new(),
            expires: None,
        });
    }

    pub fn start(&mut self, now: Time) {
        self.next_renewal = now;
    }

    /// Sets how many shares of other nodes this node wants to use in addition to its own.
    pub fn request_leases(&mut self, shares: usize) {
        self.wanted_shares = shares.min(self.max_borrowed_shares);
    }

    pub fn next_tick_at(&self) -> Time {
        self.next_renewal
    }

    /// Releases leases that are no longer needed, and requests those held or wanted: on this node's
    /// own share, and on shares of nodes that are not members.
    pub fn tick(&mut self, now: Time, others: &[NodeId], rng: &mut Pcg) -> Vec<LeaseMessage> {
        if now < self.next_renewal {
            return Vec::new();
        }
        let jitter = MIN_RENEWAL_JITTER + RENEWAL_JITTER_RANGE * rng.unit();
        self.next_renewal = now + self.renewal_interval.times(jitter);
        let mut messages = self.release_leases(now, others, rng);
        self.backoff_rounds = self.backoff_rounds.saturating_sub(1);
        if self.leases.len() < self.max_leases() && self.backoff_rounds == 0 {
            self.add_free_share(others, rng);
        }
        messages.extend(self.request_all(now));
        messages
    }

    fn max_leases(&self) -> usize {
        1 + self.wanted_shares
    }

    /// Releases leases that were not granted, whose owner is a member again, or that are no longer
    /// wanted.
    fn release_leases(&mut self, now: Time, others: &[NodeId], rng: &mut Pcg) -> Vec<LeaseMessage> {
        let mut releases = Vec::new();
        let mut kept = Vec::new();
        for lease in std::mem::take(&mut self.leases) {
            let is_valid = lease.is_valid(now);
            let is_wanted = kept.len() < self.max_leases() && !others.contains(&lease.owner);
            if lease.owner == self.me || is_wanted && is_valid {
                kept.push(lease);
                continue;
            }
            if !is_valid {
                self.backoff_rounds = 1 + (MAX_BACKOFF_ROUNDS * rng.unit()) as u32;
            }
            releases.extend(lease.to_quorum_group(LeaseAction::Release(lease.key())));
        }
        self.leases = kept;
        releases
    }

    /// Adds a lease on a randomly chosen share of a node that is not a member.
    fn add_free_share(&mut self, others: &[NodeId], rng: &mut Pcg) {
        let is_free = |id: &NodeId| {
            *id != self.me
                && !others.contains(id)
                && !self.leases.iter().any(|lease| lease.owner == *id)
        };
        let free: Vec<NodeId> = (0..self.nodes as u16).map(NodeId).filter(is_free).collect();
        let chosen = (rng.unit() * free.len() as f64) as usize;
        if let Some(owner) = free.get(chosen) {
            self.add(*owner);
        }
    }

    /// Requests all leases in a new round.
    fn request_all(&mut self, now: Time) -> Vec<LeaseMessage> {
        self.round = self.round.wrapping_add(1);
        let mut requests = Vec::new();
        for lease in &mut self.leases {
            lease.requested = now;
            lease.round = self.round;
            lease.granted_by.clear();
            requests.extend(lease.to_quorum_group(LeaseAction::Request(lease.key())));
        }
        requests
    }

    /// Handles a grant of a lease. The lease is valid from its request on, which precedes every
    /// grant.
    pub fn on_grant(&mut self, from: NodeId, key: LeaseKey) {
        let requested = self.leases.iter_mut().find(|lease| lease.key() == key);
        let Some(lease) = requested else {
            return;
        };
        if lease.quorum_group.contains(&from) && !lease.granted_by.contains(&from) {
            lease.granted_by.push(from);
        }
        if is_majority(lease.granted_by.len(), lease.quorum_group.len()) {
            lease.expires = Some(lease.requested + self.lease_duration);
        }
    }

    /// Returns the number of leases that are valid now.
    pub fn valid_leases(&self, now: Time) -> usize {
        self.leases
            .iter()
            .filter(|lease| lease.is_valid(now))
            .count()
    }
}
