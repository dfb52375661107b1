//! Runs the coordinator, which reports this node's load and renews its leases.
use std::rc::Rc;

use quartzhub_membership::{Datagram, NodeId};
use quartzhub_policy::Time;

use super::Peers;
use crate::effects::EffectExecutor;
use crate::reducer::Reducer;

impl Peers {
    /// Sends the load reports and lease messages that are due, if coordination is on.
    pub(super) fn tick_coordinator(
        &self,
        now: Time,
        executor: &Rc<EffectExecutor>,
        out: &mut Vec<Datagram>,
    ) {
        let Some(coordinator) = &self.coordinator else {
            return;
        };
        let mut coordinator = coordinator.borrow_mut();
        if now < coordinator.next_tick_at() {
            return;
        }
        coordinator.set_own_load(executor.query(Reducer::load));
        let incarnation = self.membership.borrow().incarnation();
        coordinator.tick(now, incarnation, &self.other_members(), out);
        self.logged.log_budget_share(coordinator.budget_share(now));
    }

    fn other_members(&self) -> Vec<NodeId> {
        let membership = self.membership.borrow();
        membership
            .all_nodes()
            .filter(|(id, member)| member.state.is_member() && *id != membership.me())
            .map(|(id, _)| id)
            .collect()
    }
}
