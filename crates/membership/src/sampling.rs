//! Random selection and ordering of nodes.
use quartzhub_policy::Pcg;

use crate::NodeId;

/// Returns at most `count` of the candidates, each with the same probability.
pub(crate) fn sample(mut candidates: Vec<NodeId>, count: usize, rng: &mut Pcg) -> Vec<NodeId> {
    while candidates.len() > count {
        let removed = (rng.unit() * candidates.len() as f64) as usize;
        candidates.swap_remove(removed);
    }
    candidates
}

/// Shuffles the nodes (Fisher-Yates).
pub(crate) fn shuffle(nodes: &mut [NodeId], rng: &mut Pcg) {
    for i in (1..nodes.len()).rev() {
        let j = (rng.unit() * (i + 1) as f64) as usize;
        nodes.swap(i, j);
    }
}
