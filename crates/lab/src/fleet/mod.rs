//! The fleet rig: several processes of the built program on loopback, with stand-ins for caches, origin and discovery,
//! relays on every way between them, faults on a schedule, clients, and the rules judged by what servers really began and
//! clients really got.
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use quartzhub_node::http;
use quartzhub_node::limits::Limits;
use quartzhub_node::resp::Parsed;
use quartzhub_policy::{Pcg, Time};
use serde::Serialize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, sleep_until, timeout, Instant};

use crate::clients::{drive, Door as ClientsDoor};
use crate::judge::Judge;
use crate::rules::Broken;
use crate::scenario::Bad;
use crate::standin::{Fleet, Line};
use crate::stats::{Counts, Report};

pub mod gate;
pub mod host;
pub mod listing;
pub mod plan;
pub mod post;
pub mod timeline;
pub mod way;
pub mod wicked;

use gate::Gate;
pub use host::Programs;
use host::{Host, State};
use listing::Listing;
pub use plan::Plan;
use plan::{End, Kind};
use post::Post;
use timeline::{Event, Stretch, Timeline};
use way::{Shape, Way};

/// Processes that take longer to serve are taken not to.
const READY_WITHIN: Duration = Duration::from_secs(30);
/// Connections of all clients to one node.
const CONNECTIONS: usize = 512;
/// Spoilt datagrams are handed over in steps of this.
const FLOOD_STEP: Duration = Duration::from_millis(5);
/// Between a node's planned end in a roll and the next one's.
const LEAST_STEP: Duration = Duration::from_millis(50);

/// An order has to be known at every node that serves and is reached by then: well within the list's own lateness.
const KNOWN_WITHIN: Duration = Duration::from_millis(1_500);
/// Characters of an API call's history that are told.
const MOST_HISTORY: usize = 1_500;

/// What a play has shown.
pub struct Outcome {
    pub report: Report,
    pub broken: Vec<Broken>,
    pub broken_count: u64,
    pub events: Vec<Event>,
    pub stretches: Vec<Stretch>,
    pub up: usize,
    pub nodes: usize,
    pub hits: u64,
    pub misses: u64,
    pub fetches: u64,
    pub fell: u64,
    /// Attempts to the origin by the second.
    pub origin: Vec<u64>,
    /// Datagrams between nodes: sent, and arrived.
    pub datagrams: (u64, u64),
    /// The rig's own greatest lateness, in seconds.
    pub late: f64,
    /// When each server was last sent an attempt, in seconds from the beginning.
    pub last_attempts: Vec<f64>,
    failures: Vec<String>,
}

impl Outcome {
    /// Why it is not as it must be, broken rules first.
    pub fn failures(&self) -> Vec<String> {
        let broken = self.broken.iter().map(|broken| {
            let history: String = broken.history.chars().take(MOST_HISTORY).collect();
            format!("{:?} broken at {:.1} ms: {}. {history}", broken.rule, broken.at.ms(), broken.what)
        });
        broken.chain(self.failures.iter().cloned()).collect()
    }

    pub fn service_by_second(&self) -> Vec<f64> {
        self.report.windows.iter().map(Counts::service).collect()
    }

    pub fn table(&self) -> String {
        let (report, all) = (&self.report, &self.report.all);
        let quantile = |q| report.latency.value_at_quantile(q) as f64 / 1000.0;
        let worst = self.service_by_second().into_iter().fold(1.0, f64::min);
        let peak = self.origin.iter().copied().max().unwrap_or(0);
        let rows = [
            ("API calls of clients", format!("{} ({} tries)", all.asked, report.tries)),
            ("fulfilled", format!("{} ({} in the SLO)", all.in_slo + all.late, all.in_slo)),
            ("rate-limited, errored", format!("{}, {}", all.rate_limited, all.errored)),
            (
                "no answer, closed, never taken",
                format!("{}, {}, {}", all.gave_up, all.closed, all.never_taken),
            ),
            (
                "service, worst 10 s, worst second",
                format!("{:.4}, {:.4}, {worst:.4}", all.service(), report.worst()),
            ),
            ("p50, p99 from the first try", format!("{:.1} ms, {:.1} ms", quantile(0.5), quantile(0.99))),
            (
                "hits, misses, attempts to the origin",
                format!("{}, {}, {}", self.hits, self.misses, self.fetches),
            ),
            ("origin's greatest second", format!("{peak} attempts")),
            ("servers that fell", self.fell.to_string()),
            ("datagrams sent, arrived", format!("{}, {}", self.datagrams.0, self.datagrams.1)),
            ("processes up at the end", format!("{} of {}", self.up, self.nodes)),
            ("rules broken", self.broken_count.to_string()),
            ("the rig's own greatest lateness", format!("{:.0} ms", self.late * 1000.0)),
        ];
        rows.iter().map(|(name, value)| format!("{name:<36}{value}\n")).collect()
    }

    pub fn heading() -> String {
        let names =
            ["service", "worst 10 s", "worst s", "p99 ms", "origin", "peak s", "fell", "lost", "broken"];
        let names: Vec<_> = names.iter().map(|name| format!("{name:>10}")).collect();
        format!("{:<16}{}", "play", names.concat())
    }

    /// The table's main figures in a row, for several plays beside one another.
    pub fn row(&self, name: &str) -> String {
        let all = &self.report.all;
        let worst = self.service_by_second().into_iter().fold(1.0, f64::min);
        let peak = self.origin.iter().copied().max().unwrap_or(0);
        let figures = [all.service(), self.report.worst(), worst].map(|figure| format!("{figure:>10.4}"));
        let p99 = self.report.latency.value_at_quantile(0.99) as f64 / 1000.0;
        let lost = all.gave_up + all.closed + all.never_taken;
        let counts =
            [self.fetches, peak, self.fell, lost, self.broken_count].map(|count| format!("{count:>10}"));
        format!("{name:<16}{}{p99:>10.1}{}", figures.concat(), counts.concat())
    }

    /// For programs: everything but the histories of single API calls.
    pub fn record(&self, plan: &Plan) -> serde_json::Value {
        #[derive(Serialize)]
        struct Second {
            asked: u64,
            fulfilled_in_slo: u64,
            service: f64,
            origin: u64,
        }
        let origin = |second: usize| self.origin.get(second).copied().unwrap_or(0);
        let seconds = self.report.windows.iter().enumerate().map(|(i, counts)| Second {
            asked: counts.asked,
            fulfilled_in_slo: counts.in_slo,
            service: counts.service(),
            origin: origin(i),
        });
        let seconds: Vec<_> = seconds.collect();
        let all = &self.report.all;
        serde_json::json!({
            "plan": plan, "seconds": seconds, "events": self.events, "faults": self.stretches,
            "service": all.service(), "worst_10s": self.report.worst(), "asked": all.asked, "in_slo": all.in_slo,
            "late": all.late, "rate_limited": all.rate_limited, "errored": all.errored, "no_answer": all.gave_up,
            "closed": all.closed, "never_taken": all.never_taken, "hits": self.hits, "misses": self.misses,
            "origin_attempts": self.fetches, "fell": self.fell, "up": self.up, "datagrams": self.datagrams.0,
            "rules_broken": self.broken_count, "failures": self.failures(), "rig_late_s": self.late,
        })
    }

    /// Keeps the record, the timeline as text and drawn.
    pub fn keep(&self, plan: &Plan, folder: &Path, name: &str) -> Result<Vec<PathBuf>, Bad> {
        let files = ["json", "txt", "svg"].map(|kind| folder.join(format!("{name}.{kind}")));
        let bad = |file: &Path| {
            let file = file.display().to_string();
            move |e: std::io::Error| Bad(format!("{file}: {e}"))
        };
        std::fs::write(&files[0], self.record(plan).to_string()).map_err(bad(&files[0]))?;
        std::fs::write(&files[1], timeline::text(&self.events)).map_err(bad(&files[1]))?;
        timeline::draw(&files[2], &plan.title, &self.service_by_second(), &self.stretches)?;
        Ok(files.into())
    }
}

/// Addresses of one rig: a block of loopback that no other holds.
struct Block {
    a: u8,
    b: u8,
    _claim: std::net::TcpListener,
}

impl Block {
    fn claim(named: Option<&str>) -> Result<Block, Bad> {
        let claim = |a: u8, b: u8| std::net::TcpListener::bind(address([127, a, b, 254], 6999));
        if let Some(named) = named {
            let parts: Vec<Option<u8>> = named.split('.').map(|part| part.parse().ok()).collect();
            let [Some(127), Some(a), Some(b @ ..=252)] = parts[..] else {
                return Err(Bad(format!("block: {named:?} is no block such as \"127.90.0\"")));
            };
            let taken = |e| Bad(format!("block: {named}.254:6999: {e}"));
            return Ok(Block { a, b, _claim: claim(a, b).map_err(taken)? });
        }
        let first = std::process::id() as usize;
        let blocks = (0..63 * 64).map(|i| (first * 7 + i) % (63 * 64));
        let mut free = blocks.map(|i| (64 + (i / 64) as u8, (i % 64) as u8 * 4));
        let found = free.find_map(|(a, b)| Some(Block { a, b, _claim: claim(a, b).ok()? }));
        found.ok_or_else(|| Bad("no free block of loopback addresses".to_owned()))
    }

    fn node(&self, node: usize, port: u16) -> SocketAddr {
        address([127, self.a, self.b, node as u8 + 1], port)
    }

    fn clients(&self, node: usize) -> SocketAddr {
        self.node(node, 7000)
    }

    fn ops(&self, node: usize) -> SocketAddr {
        self.node(node, 7001)
    }

    fn peer(&self, node: usize) -> SocketAddr {
        self.node(node, 7002)
    }

    /// Where a node reaches a server.
    fn server(&self, node: usize, server: usize) -> SocketAddr {
        address([127, self.a, self.b + 1, node as u8 + 1], 7100 + server as u16)
    }

    fn discovery(&self, node: usize) -> SocketAddr {
        address([127, self.a, self.b + 1, node as u8 + 1], 7099)
    }

    /// How a node calls another.
    fn named(&self, node: usize, other: usize) -> SocketAddr {
        address([127, self.a, self.b + 2, node as u8 + 1], 8000 + other as u16)
    }
}

fn address(ip: [u8; 4], port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::from(ip)), port)
}

/// Plays a plan; logs and configurations stay in the folder if one is given.
pub fn play(plan: &Plan, programs: &Programs, out: Option<&Path>) -> Result<Outcome, Bad> {
    for program in [&programs.node, &programs.lab] {
        if !program.is_file() {
            return Err(Bad(format!("{}: not built", program.display())));
        }
    }
    let io = |what: &str| {
        let what = what.to_owned();
        move |e: std::io::Error| Bad(format!("{what}: {e}"))
    };
    let block = Block::claim(plan.block.as_deref())?;
    for node in 0..plan.scenario.nodes {
        for addr in [block.clients(node), block.ops(node)] {
            std::net::TcpListener::bind(addr).map_err(io(&addr.to_string()))?;
        }
    }
    let kept = match out {
        Some(out) => out.to_owned(),
        None => std::env::temp_dir().join(format!(
            "quartzhub-fleet-{}-{}-{}",
            std::process::id(),
            block.a,
            block.b
        )),
    };
    std::fs::create_dir_all(&kept).map_err(io(&kept.display().to_string()))?;
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(io("the rig"))?;
    let played = LocalSet::new().block_on(&runtime, Rig::play(plan, programs, &block, &kept));
    if out.is_none() {
        let _ = std::fs::remove_dir_all(&kept);
    }
    played
}

struct Rig {
    plan: Plan,
    fleet: Rc<Fleet>,
    judge: Rc<Judge>,
    timeline: Rc<Timeline>,
    hosts: Vec<Rc<Host>>,
    ways: BTreeMap<(End, End), Rc<Way>>,
    /// By node and server, discovery behind the servers.
    gates: BTreeMap<(usize, usize), Rc<Gate>>,
    post: Rc<Post>,
    ops: Vec<SocketAddr>,
    /// Caches that operators have ordered drained, and since when every node that serves has to go by it.
    ordered: RefCell<BTreeMap<usize, Instant>>,
}

impl Rig {
    async fn play(plan: &Plan, programs: &Programs, block: &Block, folder: &Path) -> Result<Outcome, Bad> {
        let scenario = &plan.scenario;
        let io = |what: String| move |e: std::io::Error| Bad(format!("{what}: {e}"));
        let judge = Judge::start(scenario.grace());
        let fleet = Fleet::new(scenario, judge.clone())?;
        let timeline = Timeline::new(judge.clone());
        let (nodes, servers) = (scenario.nodes, fleet.servers());

        let mut ways = BTreeMap::new();
        let mut way = |from: End, to: End| {
            let seed = scenario.seed ^ (ways.len() as u64) << 24;
            ways.entry((from, to)).or_insert_with(|| Way::new(seed)).clone()
        };
        let mut gates = BTreeMap::new();
        for node in 0..nodes {
            for server in 0..=servers {
                let (end, addr) = match server < servers {
                    true => (End::Server(server), block.server(node, server)),
                    false => (End::Discovery, block.discovery(node)),
                };
                let gate = Gate::new(addr, way(End::Node(node), end), way(end, End::Node(node)));
                gate.probe().map_err(io(addr.to_string()))?;
                gates.insert((node, server), gate);
            }
        }
        let pairs =
            (0..nodes).flat_map(|from| (0..nodes).map(move |to| (from, to))).filter(|pair| pair.0 != pair.1);
        let between = pairs.map(|(from, to)| ((from, to), way(End::Node(from), End::Node(to)))).collect();
        let real = (0..nodes).map(|node| block.peer(node)).collect();
        let post =
            Post::open(real, |from, to| block.named(from, to), between).await.map_err(io("peers".into()))?;

        let mut hosts = Vec::new();
        for node in 0..nodes {
            let name = format!("node-{node}");
            let config = folder.join(format!("{name}.json"));
            let known = fleet.list(|server| block.server(node, server));
            let text = configuration(plan, block, node, known);
            std::fs::write(&config, text.to_string()).map_err(io(config.display().to_string()))?;
            let door = ClientsDoor::new(node, block.clients(node), CONNECTIONS);
            door.open.set(false);
            hosts.push(Rc::new(Host {
                node,
                config,
                log: folder.join(format!("{name}.log")),
                name,
                programs: programs.clone(),
                judge: judge.clone(),
                timeline: timeline.clone(),
                door,
                front_late: Duration::from_secs_f64(plan.front_late_ms / 1000.0),
                state: std::cell::Cell::new(State::Down),
                pid: Default::default(),
                ends: Default::default(),
                changed: Default::default(),
                lives: Default::default(),
                said: Default::default(),
            }));
        }
        let plan = plan.clone();
        let ops = (0..nodes).map(|node| block.ops(node)).collect();
        let ordered = RefCell::default();
        let rig = Rc::new(Rig { plan, fleet, judge, timeline, hosts, ways, gates, post, ops, ordered });
        rig.clone().open(block);
        rig.post.run(&rig.judge);
        // Guards against a process that finds nobody listening yet.
        let listen = async {
            while !rig.gates.values().all(|gate| gate.listens.get()) {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(READY_WITHIN, listen).await.map_err(|_| Bad("a gate does not listen".to_owned()))?;
        rig.start_all().await?;
        rig.timeline.begin();
        rig.fleet.clone().play_faults();
        let begun = Instant::now();
        spawn_local(rig.clone().hold_to_orders());
        for fault in 0..rig.plan.faults.len() {
            spawn_local(rig.clone().fault(fault, begun));
        }
        let doors: Vec<_> = rig.hosts.iter().map(|host| host.door.clone()).collect();
        let report = drive(&rig.plan.scenario, &doors, &rig.judge).await;
        // Until what is still on its way has been seen.
        sleep(Duration::from_millis(500)).await;
        let views = rig.views().await;
        let outcome = rig.outcome(report, &views);
        // The next rig may be given the same addresses.
        for host in &rig.hosts {
            host.kill();
            let _ = timeout(READY_WITHIN, host.reaches(|state| state == State::Down)).await;
        }
        Ok(outcome)
    }

    /// Opens every gate, and has each follow its server.
    fn open(self: Rc<Rig>, block: &Block) {
        let servers = self.fleet.servers();
        for (&(node, server), gate) in &self.gates {
            let fleet = self.fleet.clone();
            if server == servers {
                let addrs = (0..servers).map(|server| block.server(node, server)).collect();
                let listing = Rc::new(Listing { fleet, node, addrs });
                let serve = move |arrival| drop(spawn_local(listing.clone().serve(arrival)));
                spawn_local(gate.clone().run(self.judge.clone(), serve));
                continue;
            }
            let serve = move |arrival: gate::Arrival| {
                let line = Line { stream: arrival.stream, node, stamps: Some(arrival.stamps) };
                spawn_local(fleet.clone().serve(server, line));
            };
            spawn_local(gate.clone().run(self.judge.clone(), serve));
            let (gate, mut up) = (gate.clone(), self.fleet.up(server));
            spawn_local(async move {
                loop {
                    let is_up = *up.borrow_and_update();
                    gate.settle(is_up);
                    if up.changed().await.is_err() {
                        return;
                    }
                }
            });
        }
    }

    async fn start_all(&self) -> Result<(), Bad> {
        let present = || self.hosts.iter().filter(|host| !self.plan.absent.contains(&host.node));
        for host in present() {
            host.start().map_err(|e| Bad(format!("{}: {e}", host.name)))?;
        }
        for host in present() {
            let serves = host.reaches(|state| state == State::Up || state == State::Down);
            if timeout(READY_WITHIN, serves).await.is_err() || host.state.get() == State::Down {
                let said = host.said.borrow().clone();
                return Err(Bad(format!("{} does not serve; it said last: {said}", host.name)));
            }
        }
        // The front has heard of all.
        sleep(Duration::from_millis(50)).await;
        Ok(())
    }

    async fn fault(self: Rc<Rig>, i: usize, begun: Instant) {
        let fault = self.plan.faults[i].clone();
        let lasts = fault.lasts.map(Duration::from_secs_f64);
        sleep_until(begun + Duration::from_secs_f64(fault.at)).await;
        match fault.kind {
            Kind::Cut | Kind::Spoil => self.spoil(i, lasts).await,
            Kind::Replay => self.replay(i, lasts.unwrap_or_default()).await,
            Kind::Flood => self.flood(i, lasts.unwrap_or_default()).await,
            Kind::Roll => self.roll(i, lasts.unwrap_or_default()).await,
            Kind::Order => self.order(i, lasts).await,
            _ => {
                let hosts: Vec<_> =
                    self.plan.nodes(i).into_iter().map(|node| self.hosts[node].clone()).collect();
                for host in &hosts {
                    match fault.kind {
                        Kind::Kill => host.kill(),
                        Kind::End => host.end(),
                        Kind::Pause => host.pause(),
                        _ => self.start(host),
                    }
                }
                let Some(lasts) = lasts else { return };
                if fault.kind == Kind::End {
                    for host in &hosts {
                        host.reaches(|state| state == State::Down).await;
                    }
                }
                sleep(lasts).await;
                for host in &hosts {
                    match fault.kind {
                        Kind::Kill => {
                            host.reaches(|state| state == State::Down).await;
                            self.start(host);
                        }
                        Kind::End => self.start(host),
                        Kind::Pause => host.go_on(),
                        _ => {}
                    }
                }
            }
        }
    }

    /// Operators give the order to the nodes named, one after the other, and take it back there.
    async fn order(&self, i: usize, lasts: Option<Duration>) {
        let (nodes, caches) = (self.plan.nodes(i), self.plan.ordered(i));
        for drain in [true, false] {
            for (node, cache) in nodes.iter().flat_map(|node| caches.iter().map(move |cache| (*node, *cache)))
            {
                let what = if drain { "drain" } else { "restore" };
                let id = self.fleet.id(cache);
                if !drain {
                    self.ordered.borrow_mut().remove(&cache);
                    (0..self.hosts.len()).for_each(|node| self.judge.told(node, cache, false));
                }
                let path = format!("/control/{what}");
                let said =
                    timeout(READY_WITHIN, ask(self.ops[node], "POST", &path, &id)).await.ok().flatten();
                self.timeline.note("operators", format!("{what} {id} at node-{node}: {}", told(&said)));
                match said {
                    Some((200, _)) if drain => {
                        self.ordered.borrow_mut().insert(cache, Instant::now() + KNOWN_WITHIN);
                    }
                    Some((200, _)) => {}
                    _ => self.judge.platform(&format!("node-{node}, order to {what} {id}: {}", told(&said))),
                }
            }
            match lasts {
                Some(lasts) if drain => sleep(lasts).await,
                _ => return,
            }
        }
    }

    /// Holds every node that has served for long enough to operators' orders, as to the list's.
    async fn hold_to_orders(self: Rc<Rig>) {
        let mut served: BTreeMap<usize, (u64, Instant)> = BTreeMap::new();
        loop {
            sleep(Duration::from_millis(50)).await;
            let now = Instant::now();
            for host in &self.hosts {
                let life = host.lives.get();
                if host.state.get() != State::Up {
                    served.remove(&host.node);
                    continue;
                }
                let (of, since) = *served.entry(host.node).or_insert((life, now));
                if of != life {
                    served.insert(host.node, (life, now));
                } else if now >= since + KNOWN_WITHIN {
                    for (cache, _) in self.ordered.borrow().iter().filter(|(_, due)| now >= **due) {
                        self.judge.told(host.node, *cache, true);
                    }
                }
            }
        }
    }

    fn start(&self, host: &Rc<Host>) {
        if let Err(e) = host.start() {
            self.judge.platform(&format!("{}: {e}", host.name));
        }
    }

    async fn spoil(&self, i: usize, lasts: Option<Duration>) {
        let fault = &self.plan.faults[i];
        let (shape, ways) = (Shape::of(fault, fault.kind == Kind::Cut), self.plan.ways(i));
        let name = |end: &End| match end {
            End::Node(node) => format!("node-{node}"),
            End::Server(server) if *server == self.fleet.origin() => "origin".to_owned(),
            End::Server(server) => format!("cache-{server}"),
            End::Discovery => "discovery".to_owned(),
        };
        let told: Vec<_> = ways.iter().map(|(from, to)| format!("{}>{}", name(from), name(to))).collect();
        let told =
            if told.len() > 6 { format!("{} ways, {} first", told.len(), told[0]) } else { told.join(" ") };
        self.timeline.note("ways", format!("{:?} begins: {told}", fault.kind));
        for begins in [true, false] {
            for way in ways.iter().filter_map(|way| self.ways.get(way)) {
                if begins {
                    way.begin(i, shape)
                } else {
                    way.end(i)
                }
            }
            for (from, to) in &ways {
                let (node, server) = match (*from, *to) {
                    (End::Node(node), End::Server(server)) | (End::Server(server), End::Node(node)) => {
                        (node, server)
                    }
                    (End::Node(node), End::Discovery) | (End::Discovery, End::Node(node)) => {
                        (node, self.fleet.servers())
                    }
                    _ => continue,
                };
                let Some(gate) = self.gates.get(&(node, server)) else { continue };
                if fault.reset {
                    let resets = gate.resets.get();
                    gate.resets.set(if begins { resets + 1 } else { resets.saturating_sub(1) });
                }
                gate.settle(server == self.fleet.servers() || *self.fleet.up(server).borrow());
            }
            if begins {
                let Some(lasts) = lasts else { return };
                sleep(lasts).await;
                self.timeline.note("ways", format!("{:?} ends: {told}", fault.kind));
            }
        }
    }

    async fn roll(&self, i: usize, over: Duration) {
        let nodes = self.plan.nodes(i);
        let step = (over / nodes.len().max(1) as u32).max(LEAST_STEP);
        for node in nodes {
            let host = self.hosts[node].clone();
            host.end();
            let rig_judge = self.judge.clone();
            spawn_local(async move {
                host.reaches(|state| state == State::Down).await;
                if let Err(e) = host.start() {
                    rig_judge.platform(&format!("{}: {e}", host.name));
                }
            });
            sleep(step).await;
        }
    }

    /// Datagrams of a former life, again and again.
    async fn replay(&self, i: usize, lasts: Duration) {
        let until = Instant::now() + lasts;
        let nodes = self.plan.nodes(i);
        let sent: Vec<_> = nodes
            .iter()
            .flat_map(|from| self.post.sent(*from).into_iter().map(|(to, bytes)| (*from, to, bytes)))
            .collect();
        self.timeline.note("ways", format!("{} datagrams of nodes {nodes:?} come again", sent.len()));
        while Instant::now() < until {
            for (from, to, bytes) in &sent {
                self.post.hand(*from, *to, bytes).await;
            }
            sleep(Duration::from_millis(100)).await;
        }
    }

    async fn flood(&self, i: usize, lasts: Duration) {
        let (until, nodes) = (Instant::now() + lasts, self.plan.nodes(i));
        let mut chance = Pcg::new(self.plan.scenario.seed);
        self.timeline.note(
            "ways",
            format!("nodes {nodes:?} get {} spoilt datagrams a second each", self.plan.faults[i].rate),
        );
        let a_step = (self.plan.faults[i].rate * FLOOD_STEP.as_secs_f64()).ceil() as usize;
        while Instant::now() < until {
            for to in &nodes {
                for _ in 0..a_step {
                    self.post.spoilt(*to, &mut chance).await;
                }
            }
            sleep(FLOOD_STEP).await;
        }
        self.timeline.note("ways", "the flood ends");
    }

    /// Whom each process that serves takes for members, as operators are told; none where it is off.
    async fn views(&self) -> BTreeMap<usize, serde_json::Value> {
        let mut views = BTreeMap::new();
        for host in self.hosts.iter().filter(|host| host.state.get() == State::Up) {
            let asked = timeout(READY_WITHIN, ask(self.ops[host.node], "GET", "/control/members", "")).await;
            let view = asked.ok().flatten().filter(|said| said.0 == 200);
            if let Some(view) = view.and_then(|said| serde_json::from_slice(&said.1).ok()) {
                self.timeline
                    .note(&host.name, format!("holds at the end {}", quartzhub_node::peers::summary(&view)));
                views.insert(host.node, view);
            }
        }
        views
    }

    /// Where views differ from what runs, in words.
    fn disagreements(&self, views: &BTreeMap<usize, serde_json::Value>) -> Vec<String> {
        let up: Vec<_> =
            self.hosts.iter().filter(|host| host.state.get() == State::Up).map(|host| host.node).collect();
        let mut wrong: Vec<_> = up
            .iter()
            .filter(|node| !views.contains_key(node))
            .map(|node| format!("node-{node} tells no members"))
            .collect();
        for (at, view) in views {
            for node in view["nodes"].as_array().into_iter().flatten() {
                let of = node["node"].as_u64().unwrap_or(u64::MAX) as usize;
                let member = matches!(node["state"].as_str(), Some("alive" | "suspect"));
                if member != up.contains(&of) {
                    wrong.push(format!("node-{at} holds node-{of} for {}", node["state"]));
                }
            }
        }
        wrong
    }

    fn outcome(&self, report: Report, views: &BTreeMap<usize, serde_json::Value>) -> Outcome {
        let (broken, broken_count) = self.judge.verdict();
        let up = self.hosts.iter().filter(|host| host.state.get() == State::Up).count();
        let all = &report.all;
        let expect = &self.plan.expect;
        let mut failures = Vec::new();
        if all.asked == 0 {
            failures.push("no API call was asked and counted".to_owned());
        }
        if all.service() < expect.service {
            failures.push(format!("expect.service: {:.4} is under {}", all.service(), expect.service));
        }
        if expect.up.is_some_and(|wanted| wanted != up) {
            failures.push(format!("expect.up: {up} processes serve at the end"));
        }
        if expect.members_agree {
            failures.extend(
                self.disagreements(views).into_iter().map(|wrong| format!("expect.members_agree: {wrong}")),
            );
        }
        let (flips, most) = timeline::flips(&self.timeline.events());
        if expect.flips.is_some_and(|bound| most > bound) {
            failures.push(format!("expect.flips: {flips}"));
        }
        let stretches = self.plan.faults.iter().map(|fault| Stretch {
            name: format!("{:?}", fault.kind).to_lowercase(),
            from: fault.at,
            to: fault.lasts.map_or(self.plan.scenario.seconds, |lasts| fault.at + lasts),
        });
        let of_servers = self.plan.scenario.faults.iter().map(|fault| Stretch {
            name: format!("{:?} of servers", fault.kind).to_lowercase(),
            from: fault.at,
            to: fault.at + fault.lasts,
        });
        let stretches = stretches.chain(of_servers).collect();
        let posts = self.ways.iter().filter(|(way, _)| matches!(way, (End::Node(_), End::Node(_))));
        let datagrams =
            posts.fold((0, 0), |sum, (_, way)| (sum.0 + way.datagrams.get(), sum.1 + way.arrived.get()));
        let begun = (self.timeline.begun().0 / 1_000_000) as usize;
        let since = |at: &Time| (*at - self.timeline.begun()).seconds();
        let last_attempts = self.fleet.last_attempt.borrow().iter().map(since).collect();
        let origin = self.fleet.origin_by_second.borrow().iter().skip(begun).copied().collect();
        Outcome {
            broken,
            broken_count,
            events: self.timeline.events(),
            stretches,
            up,
            nodes: self.hosts.len(),
            hits: self.fleet.hits.get(),
            misses: self.fleet.misses.get(),
            fetches: self.fleet.fetches.get(),
            fell: self.fleet.fell.get(),
            origin,
            datagrams,
            late: self.judge.latest.get(),
            last_attempts,
            failures,
            report,
        }
    }
}

/// What a node is given, as the platform gives it.
fn configuration(plan: &Plan, block: &Block, node: usize, known: serde_json::Value) -> serde_json::Value {
    let nodes = plan.scenario.nodes;
    let peers: Vec<_> = (0..nodes).map(|other| block.named(node, other).to_string()).collect();
    let mut settings = plan.scenario.settings_json(node);
    lay_over(&mut settings, &plan.settings);
    let mut config = serde_json::json!({
        "name": format!("node-{node}"), "listen": block.clients(node).to_string(), "ops": block.ops(node).to_string(),
        "discovery": block.discovery(node).to_string(), "seed": format!("{:x}", plan.scenario.seed ^ (node as u64) << 8),
        "limits": {"memory_mb": 64, "sockets": 1024}, "peer_listen": block.peer(node).to_string(), "peers": peers,
        "known": known, "settings": settings,
    });
    lay_over(&mut config, &plan.config);
    config
}

fn lay_over(under: &mut serde_json::Value, over: &serde_json::Value) {
    match (under, over) {
        (serde_json::Value::Object(under), serde_json::Value::Object(over)) => {
            for (key, value) in over {
                lay_over(under.entry(key).or_insert(serde_json::Value::Null), value);
            }
        }
        (under, over) => *under = over.clone(),
    }
}

/// One operators' call: the answer's status and body.
async fn ask(to: SocketAddr, method: &str, path: &str, body: &str) -> Option<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect(to).await.ok()?;
    let head =
        format!("{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(head.as_bytes()).await.ok()?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.ok()?;
    match http::answer(&bytes, 1 << 24, true, &Limits::default()) {
        Parsed::Whole((head, body), _) => Some((head.status, body)),
        _ => None,
    }
}

fn told(said: &Option<(u16, Vec<u8>)>) -> String {
    match said {
        Some((status, body)) => format!("{status} {}", String::from_utf8_lossy(body).trim()),
        None => "no answer".to_owned(),
    }
}
