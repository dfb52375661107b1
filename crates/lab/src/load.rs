//! Load on a real node over loopback: open-loop, so that a slow node is asked as often as a fast one, and each latency
//! counts from the time at which its API call was meant to be sent. Bounded in rate, time and connections.
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hdrhistogram::Histogram;
use quartzhub_node::resp::put_command;
use quartzhub_policy::Pcg;
use rand_distr::{Distribution, Exp1, Zipf};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::{spawn_local, JoinSet};
use tokio::time::{sleep_until, timeout_at, Instant};

use crate::scenario::{Bad, Scenario};

const MOST_RATE: f64 = 50_000.0;
const MOST_SECONDS: f64 = 600.0;
const MOST_CONNECTIONS: usize = 2_000;
/// Bytes of a value that is read.
const MOST_VALUE: usize = 4 * 1024 * 1024;

#[derive(Debug)]
pub struct Told {
    pub sent: u64,
    pub fulfilled: u64,
    pub in_slo: u64,
    pub rate_limited: u64,
    pub errored: u64,
    /// No answer by the client timeout, or a connection that ended.
    pub gave_up: u64,
    /// Of fulfilled ones, in microseconds from the intended send.
    pub latency: Histogram<u64>,
    pub worth_asked: f64,
    pub worth_got: f64,
}

impl Told {
    pub fn service(&self) -> f64 {
        if self.worth_asked > 0.0 {
            self.worth_got / self.worth_asked
        } else {
            1.0
        }
    }

    pub fn line(&self) -> String {
        let quantile = |q| self.latency.value_at_quantile(q) as f64 / 1000.0;
        format!(
            "sent {}, fulfilled {} ({} in the SLO), rate-limited {}, errored {}, no answer {}; service {:.4}; p50 {:.1} ms, \
             p99 {:.1} ms, p99.9 {:.1} ms from the intended send",
            self.sent, self.fulfilled, self.in_slo, self.rate_limited, self.errored, self.gave_up, self.service(),
            quantile(0.5), quantile(0.99), quantile(0.999)
        )
    }
}

pub fn check(scenario: &Scenario, node: SocketAddr, connections: usize) -> Result<(), Bad> {
    if !node.ip().is_loopback() {
        return Err(Bad(format!("{node} is not on loopback")));
    }
    let within = |what: &str, value: f64, most: f64| match value > 0.0 && value <= most {
        true => Ok(()),
        false => Err(Bad(format!("{what}: {value} is not above 0 and up to {most}"))),
    };
    within("traffic.rate", scenario.traffic.rate, MOST_RATE)?;
    within("seconds", scenario.seconds, MOST_SECONDS)?;
    within("connections", connections as f64, MOST_CONNECTIONS as f64)
}

/// Asks a node as the scenario's clients would, without retries. Needs a `LocalSet`.
pub async fn load(scenario: &Scenario, node: SocketAddr, connections: usize) -> Result<Told, Bad> {
    check(scenario, node, connections)?;
    let mut chance = Pcg::new(scenario.seed);
    let zipf = Some(scenario.keys.skew).filter(|skew| *skew > 0.0);
    let zipf = zipf.and_then(|skew| Zipf::new(scenario.keys.count as f64, skew).ok());
    let latency = Histogram::new_with_bounds(1, 3_600_000_000, 3).map_err(|e| Bad(e.to_string()))?;
    let told = Told {
        sent: 0,
        fulfilled: 0,
        in_slo: 0,
        rate_limited: 0,
        errored: 0,
        gave_up: 0,
        latency,
        worth_asked: 0.0,
        worth_got: 0.0,
    };
    let (told, idle) = (Rc::new(RefCell::new(told)), Rc::new(RefCell::new(Vec::new())));
    let places = Rc::new(Semaphore::new(connections));
    let (begun, mut at, mut tasks) = (Instant::now(), 0.0, JoinSet::new());
    let sum: f64 = scenario.products.iter().map(|product| product.share).sum();
    for number in 0u64.. {
        let gap: f64 = Exp1.sample(&mut chance);
        at += gap / scenario.traffic.rate;
        if at > scenario.seconds {
            break;
        }
        let mut draw = chance.unit() * sum;
        let product = scenario.products.iter().find(|product| {
            draw -= product.share;
            draw < 0.0
        });
        let product = product.unwrap_or(&scenario.products[0]).clone();
        let count = scenario.keys.count;
        let key = match &zipf {
            Some(zipf) => (zipf.sample(&mut chance) as u64).clamp(1, count) - 1,
            None => ((chance.unit() * count as f64) as u64).min(count - 1),
        };
        let counted = at >= scenario.settle;
        let meant = begun + Duration::from_secs_f64(at);
        sleep_until(meant).await;
        while tasks.try_join_next().is_some() {}
        let (told, idle, places) = (told.clone(), idle.clone(), places.clone());
        tasks.spawn_local(async move {
            let until = meant + Duration::from_secs_f64(product.timeout_ms / 1000.0);
            let asked = timeout_at(until, async {
                // Waiting for a connection is part of the latency, as it is for a client.
                let _place = places.acquire().await.ok()?;
                let kept = idle.borrow_mut().pop();
                let mut stream = match kept {
                    Some(stream) => stream,
                    None => {
                        let stream = TcpStream::connect(node).await.ok()?;
                        let _ = stream.set_nodelay(true);
                        BufReader::new(stream)
                    }
                };
                let left = until.duration_since(Instant::now()).as_millis().max(1);
                let said = ask(&mut stream, number, key, &product, left).await?;
                idle.borrow_mut().push(stream);
                Some(said)
            });
            let said = asked.await.ok().flatten();
            let took = meant.elapsed();
            let mut told = told.borrow_mut();
            if !counted {
                return;
            }
            told.sent += 1;
            told.worth_asked += product.value;
            match said {
                Some(b'$') => {
                    let in_slo = took.as_secs_f64() * 1000.0 <= product.slo_ms;
                    told.fulfilled += 1;
                    told.in_slo += u64::from(in_slo);
                    told.worth_got += product.value * if in_slo { 1.0 } else { product.late_value };
                    told.latency.saturating_record(took.as_micros().max(1) as u64);
                }
                Some(b'B') => told.rate_limited += 1,
                Some(_) => told.errored += 1,
                None => told.gave_up += 1,
            }
        });
    }
    while tasks.join_next().await.is_some() {}
    Rc::try_unwrap(told).map(RefCell::into_inner).map_err(|_| Bad("a client is still asking".to_owned()))
}

/// One API call; tells by a byte how it ended: fulfilled, rate-limited (`B`) or errored.
async fn ask(
    stream: &mut BufReader<TcpStream>,
    number: u64,
    key: u64,
    product: &crate::scenario::Product,
    left: u128,
) -> Option<u8> {
    let (key, id) = (format!("{key:x}"), format!("load-{number}"));
    let mark = if product.write { format!(",k={number:x}") } else { String::new() };
    let facts = format!("c={},d={left}{mark}", product.name);
    let mut bytes = Vec::new();
    match product.write {
        true => {
            put_command(&mut bytes, &[b"OBJ.SET", key.as_bytes(), id.as_bytes(), facts.as_bytes(), b"value"])
        }
        false => put_command(&mut bytes, &[b"OBJ.GET", key.as_bytes(), id.as_bytes(), facts.as_bytes()]),
    }
    stream.get_mut().write_all(&bytes).await.ok()?;
    let mut line = String::new();
    if stream.read_line(&mut line).await.ok()? == 0 {
        return None;
    }
    let Some(size) = line.strip_prefix('$') else {
        return Some(if line.starts_with("-BUSY") { b'B' } else { b'-' });
    };
    let size: usize = size.trim_end().parse().ok().filter(|size| *size <= MOST_VALUE)?;
    let mut value = vec![0; size + 2];
    stream.read_exact(&mut value).await.ok()?;
    Some(b'$')
}

/// What both ways of playing one scenario have shown.
pub struct Compared {
    pub emulated: crate::Report,
    pub real: Told,
    pub real_hits: f64,
    pub real_fetches: u64,
}

/// Plays a scenario of one node in the emulator and by the real node, with stand-ins on loopback, in this process.
pub fn compare(scenario: &Scenario) -> Result<Compared, Bad> {
    if scenario.nodes != 1 || scenario.clients.retries != 0 || scenario.policy != "dema" {
        return Err(Bad(
            "nodes, clients.retries, policy: one node, no retries and dema are compared".to_owned()
        ));
    }
    let emulated = crate::run(scenario)?;
    let bad = |what: &dyn std::fmt::Display| Bad(format!("the real node: {what}"));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| bad(&e))?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let fleet = crate::standin::Fleet::start(scenario).await?;
        let listener = std::net::TcpListener::bind("127.0.0.1:0").map_err(|e| bad(&e))?;
        listener.set_nonblocking(true).map_err(|e| bad(&e))?;
        let addr = listener.local_addr().map_err(|e| bad(&e))?;
        let text = serde_json::json!({
            "name": "lab", "listen": addr.to_string(), "seed": format!("{:x}", scenario.seed),
            "known": fleet.list(), "settings": scenario.settings_json(0),
        });
        let config = quartzhub_node::Config::parse(&text.to_string(), quartzhub_node::Environment::default());
        let config = config.map_err(|e| bad(&e))?;
        let again = Rc::new(tokio::sync::Notify::new());
        let node = spawn_local(quartzhub_node::serve(config, Some(listener), std::future::pending(), again));
        let real = load(scenario, addr, 256).await?;
        node.abort();
        let (hits, misses) = (fleet.hits.get() as f64, fleet.misses.get() as f64);
        let real_hits = hits / (hits + misses).max(1.0);
        Ok(Compared { emulated, real, real_hits, real_fetches: fleet.fetches.get() })
    })
}
