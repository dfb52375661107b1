//! Datagrams between nodes: a socket for each ordered pair, so that each way can be spoilt by itself, and each node sees the
//! others under the addresses that its configuration names.
use std::cell::Cell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::UdpSocket;
use tokio::task::spawn_local;
use tokio::time::sleep_until;

use super::way::Way;
use crate::judge::Judge;

/// The platform's bound on a datagram; a longer one voids a run.
pub const LONGEST: usize = 256;

pub struct Post {
    /// At the place (from, to): where `from` sends what is for `to`, and what reaches `from` of `to`.
    sockets: HashMap<(usize, usize), Rc<UdpSocket>>,
    ways: HashMap<(usize, usize), Rc<Way>>,
    /// Where each node really listens.
    real: Vec<SocketAddr>,
    /// Datagrams that came to a pair's socket from nobody's address.
    pub strangers: Cell<u64>,
    pub too_long: Cell<u64>,
}

impl Post {
    pub async fn open(
        real: Vec<SocketAddr>,
        named: impl Fn(usize, usize) -> SocketAddr,
        ways: HashMap<(usize, usize), Rc<Way>>,
    ) -> io::Result<Rc<Post>> {
        let mut sockets = HashMap::new();
        for from in 0..real.len() {
            for to in (0..real.len()).filter(|to| *to != from) {
                let socket = UdpSocket::bind(named(from, to)).await?;
                sockets.insert((from, to), Rc::new(socket));
            }
        }
        Ok(Rc::new(Post { sockets, ways, real, strangers: Cell::new(0), too_long: Cell::new(0) }))
    }

    pub fn run(self: &Rc<Post>, judge: &Rc<Judge>) {
        for (from, to) in self.sockets.keys() {
            spawn_local(self.clone().take(*from, *to, judge.clone()));
        }
    }

    async fn take(self: Rc<Post>, from: usize, to: usize, judge: Rc<Judge>) {
        let (socket, way) = (self.sockets[&(from, to)].clone(), self.ways[&(from, to)].clone());
        let mut buffer = vec![0; 2 * LONGEST];
        loop {
            // An error here is of an earlier datagram that found nobody.
            let Ok((size, sender)) = socket.recv_from(&mut buffer).await else { continue };
            if sender != self.real[from] {
                self.strangers.set(self.strangers.get() + 1);
                continue;
            }
            if size > LONGEST {
                self.too_long.set(self.too_long.get() + 1);
                judge.platform(&format!("node {from} sent node {to} a datagram of {size} bytes or more"));
                continue;
            }
            for at in way.datagram(size).into_iter().flatten() {
                let (post, bytes, way) = (self.clone(), buffer[..size].to_vec(), way.clone());
                spawn_local(async move {
                    sleep_until(at).await;
                    // What was under way when a cut began is lost with it.
                    if !way.shape().cut {
                        way.arrived.set(way.arrived.get() + 1);
                        post.hand(from, to, &bytes).await;
                    }
                });
            }
        }
    }

    /// Hands a datagram to `to`, as if it came from `from`.
    pub async fn hand(&self, from: usize, to: usize, bytes: &[u8]) {
        if let Some(socket) = self.sockets.get(&(to, from)) {
            let _ = socket.send_to(bytes, self.real[to]).await;
        }
    }
}
