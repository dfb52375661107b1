//! Selects the nodes that decide on a lease: a fixed subset of the configured nodes, which every
//! node computes alike (rendezvous hashing).
use quartzhub_membership::NodeId;

/// Mixes 64 bits: each bit of the result depends on all of the input (the finalizer of
/// MurmurHash3).
fn mix(input: u64) -> u64 {
    let hash = (input ^ (input >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}

/// Returns the nodes that decide on leases of the owner's share, chosen from all configured nodes,
/// alive or not. The group never changes, so any two majorities of it have a node in common.
///
/// ```
/// use quartzhub_coordination::leases::quorum_group;
/// use quartzhub_membership::NodeId;
///
/// let group = quorum_group(NodeId(7), 300, 5);
/// assert_eq!(group.len(), 5);
/// assert_eq!(group, quorum_group(NodeId(7), 300, 5));
/// assert_eq!(quorum_group(NodeId(0), 1, 5), vec![NodeId(0)]);
/// ```
pub fn quorum_group(owner: NodeId, nodes: usize, max_size: usize) -> Vec<NodeId> {
    let weight = |node: &u16| mix(u64::from(owner.0) << 32 | u64::from(*node) << 1 | 1);
    let mut group: Vec<u16> = (0..nodes as u16).collect();
    group.sort_by_cached_key(weight);
    group.truncate(max_size);
    group.into_iter().map(NodeId).collect()
}

/// Returns whether this number of grants is a majority of a quorum group.
pub fn is_majority(grants: usize, group_size: usize) -> bool {
    grants * 2 > group_size
}
