//! Log lines about the other nodes and the budget share of this one.
use std::cell::Cell;

use quartzhub_membership::StateChange;

use super::Peers;

/// Changes of the budget share up to this value are rounding errors and not logged.
const MIN_SHARE_CHANGE: f64 = 1e-9;

/// The state that was logged last.
#[derive(Debug, Default)]
pub(super) struct LoggedState {
    /// Number of state changes that were logged.
    changes: Cell<u64>,
    is_isolated: Cell<bool>,
    budget_share: Cell<f64>,
}

impl LoggedState {
    pub(super) fn log_budget_share(&self, share: f64) {
        let logged = self.budget_share.replace(share);
        if (share - logged).abs() > MIN_SHARE_CHANGE {
            tracing::info!(
                part = share,
                "coordination: this node may use {share:.4} of each budget"
            );
        }
    }
}

impl Peers {
    /// Logs the changes of nodes' states since the last call, and whether this node has become
    /// isolated or is no longer so.
    pub(super) fn log_changes(&self) {
        let membership = self.membership.borrow();
        let change_count = membership.change_count();
        let new = (change_count - self.logged.changes.replace(change_count)) as usize;
        let recorded = membership.recorded_changes().count();
        for change in membership
            .recorded_changes()
            .skip(recorded.saturating_sub(new))
        {
            log_state_change(change);
        }
        let is_isolated = membership.receives_no_responses(self.clock.now());
        if is_isolated == self.logged.is_isolated.replace(is_isolated) {
            return;
        }
        if is_isolated {
            tracing::warn!(
                isolated = true,
                "membership: no other node responds; this node is isolated"
            );
        } else {
            tracing::warn!(
                isolated = false,
                "membership: another node responds; this node is no longer isolated"
            );
        }
    }
}

/// Logs a change of a node's state. quartzhub-lab parses the message.
fn log_state_change(change: &StateChange) {
    let of = change.node.0;
    let from = change.from.operator_name();
    let to = change.to.operator_name();
    let suspectors: Vec<String> = change
        .suspectors
        .iter()
        .map(|suspector| suspector.0.to_string())
        .collect();
    let by = if suspectors.is_empty() {
        String::new()
    } else {
        format!(", suspected by {}", suspectors.join(" "))
    };
    tracing::info!(
        of,
        from,
        to,
        number = change.incarnation,
        "membership: node {of} was {from}, is {to}{by}"
    );
}
