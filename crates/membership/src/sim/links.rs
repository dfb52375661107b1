//! The links of an emulated network: which are cut, how many datagrams they lose, and how much was
//! sent over them.
use std::collections::BTreeSet;

use quartzhub_policy::Pcg;

/// All links between nodes. The two directions of a link are independent.
#[derive(Default)]
pub struct Links {
    /// Fraction of datagrams that are lost, from 0 to 1.
    pub loss: f64,
    /// Links that are cut, as pairs of sender and receiver.
    pub cuts: BTreeSet<(usize, usize)>,
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Size of the largest datagram sent, in bytes.
    pub max_datagram_bytes: usize,
}

impl Links {
    /// Counts a datagram as sent; returns whether the link delivers it.
    pub fn delivers(&mut self, from: usize, to: usize, size: usize, rng: &mut Pcg) -> bool {
        self.sent += 1;
        self.sent_bytes += size as u64;
        self.max_datagram_bytes = self.max_datagram_bytes.max(size);
        !self.cuts.contains(&(from, to)) && rng.unit() >= self.loss
    }

    /// Cuts the links from each of the senders to each of the receivers.
    pub fn cut(&mut self, senders: &[usize], receivers: &[usize]) {
        let pairs = senders
            .iter()
            .flat_map(|from| receivers.iter().map(move |to| (*from, *to)));
        self.cuts.extend(pairs.filter(|(from, to)| from != to));
    }
}
