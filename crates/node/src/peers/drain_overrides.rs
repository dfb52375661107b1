//! Drain overrides of operators. Those made at this node and those received from other nodes are
//! passed to the reducer.
use std::collections::HashSet;
use std::rc::Rc;

use quartzhub_membership::{DrainOverride, OverrideRejected, ServerId};
use thiserror::Error;

use super::Peers;
use crate::effects::EffectExecutor;
use crate::reducer::DrainRejected;

/// Why an operator's drain override of a server is rejected.
#[derive(Debug, Error)]
pub enum DrainOverrideError {
    /// This server can't be drained.
    #[error(transparent)]
    NotDrainable(#[from] DrainRejected),
    /// There is no drain override that could be revoked.
    #[error("no drain override of this server is known")]
    Unknown,
    /// This node has just started and may not know the drain override in force.
    #[error(
        "this node has just started and may not know the drain override in force; \
         retry in some seconds"
    )]
    JustStarted,
    /// The limit on drained servers is reached.
    #[error("the limit on drained servers is reached")]
    Full,
}

impl From<OverrideRejected> for DrainOverrideError {
    fn from(rejected: OverrideRejected) -> DrainOverrideError {
        match rejected {
            OverrideRejected::NotJoined => DrainOverrideError::JustStarted,
            OverrideRejected::Full => DrainOverrideError::Full,
        }
    }
}

impl Peers {
    /// Drains a server, or revokes its drain, at every node, on behalf of an operator.
    pub fn set_drain_override(
        &self,
        executor: &Rc<EffectExecutor>,
        id: &str,
        drain: bool,
    ) -> Result<DrainOverride, DrainOverrideError> {
        let server = ServerId::from_endpoint_id(id);
        if drain {
            executor.query(|reducer| reducer.check_drainable(id))?;
        } else if !self.has_drain_override(server) {
            return Err(DrainOverrideError::Unknown);
        }
        let now = self.clock.now();
        let mut out = Vec::new();
        let issued = self
            .membership
            .borrow_mut()
            .set_drain_override(now, server, drain, &mut out);
        self.send(out);
        self.apply_drain_overrides(executor);
        let issued = issued?;
        let change = if drain {
            "drained"
        } else {
            "put back in service"
        };
        tracing::info!(
            version = issued.version,
            "drain overrides: server {id} was {change} by an operator"
        );
        Ok(issued)
    }

    fn has_drain_override(&self, server: ServerId) -> bool {
        self.membership
            .borrow()
            .drain_overrides()
            .any(|entry| entry.value.server == server)
    }

    /// Passes the drain overrides in force to the reducer, if they have changed.
    pub(super) fn apply_drain_overrides(&self, executor: &Rc<EffectExecutor>) {
        let revision = self.membership.borrow().drain_overrides_revision();
        if self.applied_drain_overrides.replace(revision) == revision {
            return;
        }
        let drained: HashSet<ServerId> = self
            .membership
            .borrow()
            .drain_overrides()
            .filter(|entry| entry.value.drain)
            .map(|entry| entry.value.server)
            .collect();
        tracing::info!(
            drained = drained.len(),
            "drain overrides: servers drained by operators: {}",
            drained.len()
        );
        executor.report(|reducer, now| reducer.on_drain_overrides(now, drained));
    }
}
