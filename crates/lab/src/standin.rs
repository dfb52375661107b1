//! Stand-ins for caches and the origin on loopback, as a scenario describes them: cores, work, memory, and some of its
//! faults. They end with the task set that they run in.
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use quartzhub_node::limits::Limits;
use quartzhub_node::resp::{self, Parsed};
use quartzhub_policy::Pcg;
use rand_distr::{Distribution, Exp1, StandardNormal};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::lru::Lru;
use crate::scenario::{Bad, Kind, Law, Scenario};

struct Server {
    cores: Semaphore,
    speed: f64,
    slow: Cell<f64>,
    hung: Cell<bool>,
    kept: RefCell<Lru>,
    addr: SocketAddr,
}

pub struct Fleet {
    scenario: Scenario,
    caches: Vec<Server>,
    origin: Server,
    /// Which caches missed for an API call, by its id: they are given the value.
    missed: RefCell<HashMap<String, Vec<usize>>>,
    chance: RefCell<Pcg>,
    pub hits: Cell<u64>,
    pub misses: Cell<u64>,
    pub fetches: Cell<u64>,
}

/// Faults that stand-ins can play.
const PLAYED: [Kind; 4] = [Kind::Hang, Kind::Slow, Kind::OriginSlow, Kind::HotKey];
/// API calls whose misses are remembered, and bytes of a command or a request.
const REMEMBERED: usize = 100_000;
const MOST_BYTES: usize = 8 * 1024 * 1024;

impl Fleet {
    /// Starts all of them; needs a `LocalSet`.
    pub async fn start(scenario: &Scenario) -> Result<Rc<Fleet>, Bad> {
        if let Some(i) = scenario.faults.iter().position(|fault| !PLAYED.contains(&fault.kind)) {
            return Err(Bad(format!(
                "fault[{i}].kind: stand-ins play hang, slow, origin_slow and hot_key only"
            )));
        }
        let mut chance = Pcg::new(scenario.seed);
        let bad = |e: io::Error| Bad(format!("a stand-in: {e}"));
        let mut listeners = Vec::new();
        for _ in 0..=scenario.caches.count {
            listeners.push(TcpListener::bind("127.0.0.1:0").await.map_err(bad)?);
        }
        let mut server = |i: usize, cores: usize, range: [f64; 2], memory: usize| -> Result<Server, Bad> {
            Ok(Server {
                cores: Semaphore::new(cores),
                speed: range[0] + (range[1] - range[0]) * chance.unit(),
                slow: Cell::new(1.0),
                hung: Cell::new(false),
                kept: RefCell::new(Lru::new(memory)),
                addr: listeners[i].local_addr().map_err(bad)?,
            })
        };
        let of = &scenario.caches;
        let caches =
            (0..of.count).map(|i| server(i, of.cores, of.speed, of.memory)).collect::<Result<Vec<_>, _>>()?;
        let origin = server(of.count, scenario.origin.cores, [1.0, 1.0], 0)?;
        let fleet = Rc::new(Fleet {
            scenario: scenario.clone(),
            caches,
            origin,
            missed: RefCell::default(),
            chance: RefCell::new(chance),
            hits: Cell::new(0),
            misses: Cell::new(0),
            fetches: Cell::new(0),
        });
        for (i, listener) in listeners.into_iter().enumerate() {
            spawn_local(accept(fleet.clone(), listener, i));
        }
        for i in 0..scenario.faults.len() {
            spawn_local(fault(fleet.clone(), i));
        }
        Ok(fleet)
    }

    /// The server list in discovery's form.
    pub fn list(&self) -> serde_json::Value {
        let entry = |id: String, addr: SocketAddr, kind: &str| {
            serde_json::json!({"id": id, "addr": addr.to_string(), "kind": kind, "zone": "lab", "cell": 0,
                               "state": "in_service", "started_ms": 0})
        };
        let caches =
            self.caches.iter().enumerate().map(|(i, cache)| entry(format!("cache-{i}"), cache.addr, "cache"));
        let all: Vec<_> = caches.chain([entry("origin".into(), self.origin.addr, "origin")]).collect();
        serde_json::json!({"version": 1, "full": true, "servers": all})
    }

    /// Holds a core for work of this mean.
    async fn work(&self, server: &Server, ms: f64) {
        let factor: f64 = {
            let chance = &mut *self.chance.borrow_mut();
            match self.scenario.caches.work {
                Law::Fixed => 1.0,
                Law::Exponential => Exp1.sample(chance),
                Law::Lognormal => {
                    let normal: f64 = StandardNormal.sample(chance);
                    let sigma2 = std::f64::consts::LN_2;
                    (normal * sigma2.sqrt() - sigma2 / 2.0).exp()
                }
            }
        };
        let Ok(_core) = server.cores.acquire().await else { return };
        let ms = ms * factor * server.slow.get() / server.speed;
        sleep(Duration::from_secs_f64((ms / 1000.0).min(60.0))).await;
    }

    fn note_miss(&self, id: String, cache: usize) {
        let mut missed = self.missed.borrow_mut();
        if missed.len() < REMEMBERED {
            missed.entry(id).or_default().push(cache);
        }
    }

    fn work_ms(&self, facts: &str) -> f64 {
        let named = facts.split(',').find_map(|fact| fact.strip_prefix("c="));
        let product = self.scenario.products.iter().find(|product| Some(product.name.as_str()) == named);
        product.unwrap_or(&self.scenario.products[0]).work_ms
    }
}

async fn fault(fleet: Rc<Fleet>, i: usize) {
    let fault = &fleet.scenario.faults[i];
    let count = fleet.caches.len();
    let all = ((count as f64 * fault.share).round() as usize).clamp(1, count);
    for begins in [true, false] {
        sleep(Duration::from_secs_f64(if begins { fault.at } else { fault.lasts })).await;
        let some = (0..all).map(|j| &fleet.caches[(i * 7 + j * count / all) % count]);
        match fault.kind {
            Kind::Hang => some.for_each(|cache| cache.hung.set(begins)),
            Kind::Slow => some.for_each(|cache| cache.slow.set(if begins { fault.factor } else { 1.0 })),
            Kind::OriginSlow => fleet.origin.slow.set(if begins { fault.factor } else { 1.0 }),
            _ => {}
        }
    }
}

async fn accept(fleet: Rc<Fleet>, listener: TcpListener, i: usize) {
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let fleet = fleet.clone();
        spawn_local(async move {
            // A connection that ends in the middle is the node's way to call a shot off.
            let _ = if i < fleet.caches.len() {
                cache(&fleet, stream, i).await
            } else {
                origin(&fleet, stream).await
            };
        });
    }
}

async fn cache(fleet: &Fleet, mut stream: TcpStream, i: usize) -> io::Result<()> {
    let (limits, mut bytes) = (Limits::default(), Vec::new());
    let server = &fleet.caches[i];
    loop {
        let (key, id, facts, used) = loop {
            match resp::command(&bytes, &limits) {
                Parsed::Whole(words, used) if words.len() >= 4 => {
                    let text = |word: &[u8]| String::from_utf8_lossy(word).into_owned();
                    break (text(words[1]), text(words[2]), text(words[3]), used);
                }
                Parsed::Part if bytes.len() < MOST_BYTES => {
                    if stream.read_buf(&mut bytes).await? == 0 {
                        return Ok(());
                    }
                }
                _ => return stream.write_all(b"-SYNTAX\r\n").await,
            }
        };
        bytes.drain(..used);
        if server.hung.get() {
            return std::future::pending().await;
        }
        let number = u64::from_str_radix(&key, 16).unwrap_or(0);
        let found = server.kept.borrow_mut().get(number);
        let part = if found { 1.0 } else { fleet.scenario.caches.miss_part };
        fleet.work(server, fleet.work_ms(&facts) * part).await;
        let count = if found { &fleet.hits } else { &fleet.misses };
        count.set(count.get() + 1);
        if found {
            stream.write_all(b"*3\r\n$5\r\nvalue\r\n$3\r\nhit\r\n$-1\r\n").await?;
        } else {
            fleet.note_miss(id, i);
            stream.write_all(b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n").await?;
        }
    }
}

async fn origin(fleet: &Fleet, stream: TcpStream) -> io::Result<()> {
    let mut reader = BufReader::new(stream);
    loop {
        let (mut head, mut id, mut size) = (String::new(), String::new(), 0usize);
        if reader.read_line(&mut head).await? == 0 {
            return Ok(());
        }
        loop {
            let mut field = String::new();
            if reader.read_line(&mut field).await? == 0 {
                return Ok(());
            }
            match field.trim_end().split_once(": ") {
                Some(("X-Correlation-Id", value)) => id = value.to_owned(),
                Some(("Content-Length", value)) => size = value.parse().unwrap_or(0),
                Some(_) => {}
                None => break,
            }
        }
        let mut body = vec![0; size.min(MOST_BYTES)];
        reader.read_exact(&mut body).await?;
        fleet.fetches.set(fleet.fetches.get() + 1);
        fleet.work(&fleet.origin, fleet.scenario.origin.work_ms).await;
        let key = head
            .split(' ')
            .nth(1)
            .and_then(|path| u64::from_str_radix(path.trim_start_matches('/'), 16).ok());
        let (key, write) = (key.unwrap_or(0), head.starts_with("PUT"));
        let missed = fleet.missed.borrow_mut().remove(&id).unwrap_or_default();
        match write {
            true => fleet.caches.iter().for_each(|cache| cache.kept.borrow_mut().remove(key)),
            false => missed.iter().for_each(|i| fleet.caches[*i].kept.borrow_mut().put(key)),
        }
        reader.get_mut().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nvalue").await?;
    }
}
