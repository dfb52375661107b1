//! What is to be emulated, as a file says it: read, checked and given its defaults here. Messages name the key.
use std::fmt;

use quartzhub_policy::{Settings, Span};
use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Scenario {
    pub seed: u64,
    /// Length of the run, and how much of its beginning is not counted.
    pub seconds: f64,
    pub settle: f64,
    pub policy: String,
    /// Nodes behind a front that spreads clients evenly.
    pub nodes: usize,
    /// How many the settings name, where that is not how many there are; 0: just those.
    pub nodes_told: usize,
    pub network: Network,
    pub clients: Clients,
    pub traffic: Traffic,
    pub keys: Keys,
    pub caches: Caches,
    pub origin: Origin,
    pub rules: Rules,
    pub attempts: usize,
    #[serde(rename = "product")]
    pub products: Vec<Product>,
    #[serde(rename = "fault")]
    pub faults: Vec<Fault>,
}

#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// One way: the least, and the mean of what comes on top.
    pub delay_ms: f64,
    pub jitter_ms: f64,
    /// Share of messages that are lost and come a retransmission later.
    pub loss: f64,
    pub retransmit_ms: f64,
    /// How late each node hears of a change of the list.
    pub list_late_ms: [f64; 2],
}

#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    pub retries: usize,
    /// Mean wait before a retry.
    pub wait_ms: f64,
    /// Parts of the client timeout between which a try is given up.
    pub patience: [f64; 2],
}

#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Traffic {
    /// API calls a second, over all nodes; arrivals are a Poisson process.
    pub rate: f64,
}

#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Keys {
    pub count: u64,
    /// Exponent of a Zipf law; 0 is even.
    pub skew: f64,
    /// Share of the ranks that change their keys in a second.
    pub drift: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Law {
    Fixed,
    Exponential,
    /// With a standard deviation as large as the mean.
    Lognormal,
}

#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Caches {
    pub count: usize,
    pub cores: usize,
    pub speed: [f64; 2],
    /// Places in the queue behind the cores.
    pub queue: usize,
    /// Objects kept.
    pub memory: usize,
    pub work: Law,
    /// Part of the work that finding a miss takes.
    pub miss_part: f64,
    /// Speed right after a start, as a part of the full one, and the time until that is reached.
    pub cold: f64,
    pub warm_ms: f64,
    pub connections: usize,
    pub handshake_ms: f64,
    /// The caches hold what is popular when the run begins.
    pub filled: bool,
}

#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Origin {
    pub cores: usize,
    pub work_ms: f64,
    pub queue: usize,
    /// It stops for a while when sent so many times its capacity for so long.
    pub falls_at: f64,
    pub falls_after_ms: f64,
}

#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    pub grace_ms: f64,
    pub overload: f64,
    pub overload_ms: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    Idempotent,
    Deduplicated,
    AtMostOnce,
}

#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Product {
    pub name: String,
    pub share: f64,
    #[serde(default = "idempotent")]
    pub effect: Effect,
    #[serde(default)]
    pub write: bool,
    pub slo_ms: f64,
    pub timeout_ms: f64,
    pub work_ms: f64,
    #[serde(default = "one")]
    pub value: f64,
    #[serde(default)]
    pub late_value: f64,
    /// Of a deduplicated one: how long repeats are dropped.
    #[serde(default)]
    pub window_ms: f64,
}

fn idempotent() -> Effect {
    Effect::Idempotent
}

fn one() -> f64 {
    1.0
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Caches die and come back cold.
    Crash,
    /// Caches take and answer nothing.
    Hang,
    /// Caches are slower by the factor.
    Slow,
    /// Caches drain, leave the list and come back cold.
    Drain,
    /// Caches restart on the spot, with nothing kept.
    ColdRestart,
    /// Nodes hear nothing of the list.
    Partition,
    OriginSlow,
    OriginStop,
    /// Traffic is multiplied by the factor.
    Burst,
    /// One key draws the share of all traffic.
    HotKey,
    /// The share of reads asks for keys wanted only once.
    Scan,
    /// Nodes restart one after the other, with nothing but the list.
    NodeRoll,
    /// The network takes the factor longer.
    Network,
}

#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub kind: Kind,
    /// Seconds from the beginning, and how long it lasts.
    pub at: f64,
    #[serde(rename = "for", default = "ten")]
    pub lasts: f64,
    /// Of the caches, nodes or traffic.
    #[serde(default = "one")]
    pub share: f64,
    #[serde(default = "two")]
    pub factor: f64,
}

fn ten() -> f64 {
    10.0
}

fn two() -> f64 {
    2.0
}

impl Default for Scenario {
    fn default() -> Scenario {
        let product = |name: &str, share, effect, write, work_ms, value| Product {
            name: name.to_owned(),
            share,
            effect,
            write,
            slo_ms: 100.0,
            timeout_ms: 500.0,
            work_ms,
            value,
            late_value: 0.3,
            window_ms: 1000.0,
        };
        Scenario {
            seed: 1,
            seconds: 60.0,
            settle: 10.0,
            policy: "dema".to_owned(),
            nodes: 4,
            nodes_told: 0,
            network: Network::default(),
            clients: Clients::default(),
            traffic: Traffic::default(),
            keys: Keys::default(),
            caches: Caches::default(),
            origin: Origin::default(),
            rules: Rules::default(),
            attempts: 3,
            products: vec![
                product("view", 0.94, Effect::Idempotent, false, 12.0, 1.0),
                product("put", 0.04, Effect::Deduplicated, true, 12.0, 4.0),
                product("book", 0.02, Effect::AtMostOnce, true, 12.0, 8.0),
            ],
            faults: Vec::new(),
        }
    }
}

impl Default for Network {
    fn default() -> Network {
        Network {
            delay_ms: 0.3,
            jitter_ms: 0.1,
            loss: 0.0,
            retransmit_ms: 200.0,
            list_late_ms: [500.0, 3000.0],
        }
    }
}

impl Default for Clients {
    fn default() -> Clients {
        Clients { retries: 2, wait_ms: 150.0, patience: [0.7, 1.0] }
    }
}

impl Default for Traffic {
    fn default() -> Traffic {
        Traffic { rate: 800.0 }
    }
}

impl Default for Keys {
    fn default() -> Keys {
        Keys { count: 20_000, skew: 0.9, drift: 0.0 }
    }
}

impl Default for Caches {
    fn default() -> Caches {
        Caches {
            count: 12,
            cores: 2,
            speed: [0.8, 1.2],
            queue: 40,
            memory: 1000,
            work: Law::Lognormal,
            miss_part: 0.1,
            cold: 0.5,
            warm_ms: 5000.0,
            connections: 1000,
            handshake_ms: 0.5,
            filled: true,
        }
    }
}

impl Default for Origin {
    fn default() -> Origin {
        Origin { cores: 12, work_ms: 20.0, queue: 400, falls_at: 3.0, falls_after_ms: 3000.0 }
    }
}

impl Default for Rules {
    fn default() -> Rules {
        Rules { grace_ms: 400.0, overload: 3.0, overload_ms: 1000.0 }
    }
}

/// An error of the laboratory, told in one line: bad input, or what the system refused.
#[derive(Debug, Clone, PartialEq)]
pub struct LabError(pub String);

impl fmt::Display for LabError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for LabError {}

/// Most of anything that one run may have: a run is to end, on one machine.
const MOST_SERVERS: usize = 5_000;
const MOST_CALLS: f64 = 50e6;

impl Scenario {
    pub fn parse(text: &str) -> Result<Scenario, LabError> {
        let table: toml::Table = text.parse().map_err(|e: toml::de::Error| LabError(one_line(&e)))?;
        Scenario::of(toml::Value::Table(table))
    }

    pub fn of(value: toml::Value) -> Result<Scenario, LabError> {
        let scenario: Scenario = serde_path_to_error::deserialize(value).map_err(|e| {
            let (key, what) = (e.path().to_string(), e.inner().message().to_owned());
            LabError(if key == "." { what } else { format!("{key}: {what}") })
        })?;
        scenario.check()?;
        Ok(scenario)
    }

    pub fn check(&self) -> Result<(), LabError> {
        let above = |key: &str, value: f64| match value > 0.0 && value.is_finite() {
            true => Ok(()),
            false => Err(LabError(format!("{key}: {value} is not above 0"))),
        };
        let within = |key: &str, value: f64, from: f64, to: f64| match (from..=to).contains(&value) {
            true => Ok(()),
            false => Err(LabError(format!("{key}: {value} is not within {from} to {to}"))),
        };
        let range = |key: &str, [from, to]: [f64; 2]| match from >= 0.0 && from <= to && to.is_finite() {
            true => Ok(()),
            false => Err(LabError(format!("{key}: {from} to {to} is no range"))),
        };
        above("seconds", self.seconds)?;
        within("settle", self.settle, 0.0, self.seconds * 0.99)?;
        within("nodes", self.nodes as f64, 1.0, MOST_SERVERS as f64)?;
        within("attempts", self.attempts as f64, 1.0, 10.0)?;
        above("traffic.rate", self.traffic.rate)?;
        within("traffic.rate times seconds", self.traffic.rate * self.seconds, 0.0, MOST_CALLS)?;
        within("network.delay_ms", self.network.delay_ms, 0.0, 10_000.0)?;
        within("network.jitter_ms", self.network.jitter_ms, 0.0, 10_000.0)?;
        within("network.loss", self.network.loss, 0.0, 0.9)?;
        range("network.list_late_ms", self.network.list_late_ms)?;
        within("clients.retries", self.clients.retries as f64, 0.0, 100.0)?;
        range("clients.patience", self.clients.patience)?;
        within("clients.patience", self.clients.patience[1], 0.01, 1.0)?;
        within("keys.count", self.keys.count as f64, 1.0, 1e9)?;
        within("keys.skew", self.keys.skew, 0.0, 10.0)?;
        within("keys.drift", self.keys.drift, 0.0, 1.0)?;
        within("caches.count", self.caches.count as f64, 1.0, MOST_SERVERS as f64)?;
        within("caches.cores", self.caches.cores as f64, 1.0, 1000.0)?;
        range("caches.speed", self.caches.speed)?;
        above("caches.speed", self.caches.speed[0])?;
        within("caches.cold", self.caches.cold, 0.01, 1.0)?;
        within("caches.miss_part", self.caches.miss_part, 0.0, 1.0)?;
        above("caches.warm_ms", self.caches.warm_ms)?;
        within("origin.cores", self.origin.cores as f64, 1.0, 10_000.0)?;
        above("origin.work_ms", self.origin.work_ms)?;
        above("origin.falls_at", self.origin.falls_at)?;
        if self.products.is_empty() {
            return Err(LabError("product: at least one is needed".to_owned()));
        }
        for (i, product) in self.products.iter().enumerate() {
            let key = |field: &str| format!("product[{i}].{field}");
            above(&key("share"), product.share)?;
            above(&key("work_ms"), product.work_ms)?;
            above(&key("slo_ms"), product.slo_ms)?;
            within(&key("timeout_ms"), product.timeout_ms, product.slo_ms, 600_000.0)?;
        }
        for (i, fault) in self.faults.iter().enumerate() {
            within(&format!("fault[{i}].at"), fault.at, 0.0, self.seconds)?;
            within(&format!("fault[{i}].share"), fault.share, 0.0, 1.0)?;
            above(&format!("fault[{i}].for"), fault.lasts)?;
            above(&format!("fault[{i}].factor"), fault.factor)?;
        }
        Ok(())
    }

    pub fn settings(&self, me: usize) -> Settings {
        quartzhub_names::settings(&self.settings_json(me))
    }

    /// The settings as a node's configuration would have them.
    pub fn settings_json(&self, me: usize) -> serde_json::Value {
        let products = self.products.iter().map(|product| {
            serde_json::json!({
                "Name": product.name, "Effect": product.effect, "KeyScope": "all", "Window": product.window_ms,
                "LatencySlo": product.slo_ms, "ClientTimeout": product.timeout_ms,
                "BilledValue": product.value, "TardyBilledValue": product.late_value,
            })
        });
        let products: Vec<_> = products.collect();
        serde_json::json!({
            "Balancers": if self.nodes_told > 0 { self.nodes_told } else { self.nodes }, "Me": me, "Zone": "lab", "Localities": ["lab"], "Kinds": ["cache", "origin"],
            "MembershipMode": "pushed", "Extra": {"Mode": "aside", "OriginKind": 1},
            "Caps": {"MostShots": self.attempts, "MayDuplicate": true, "Cancelling": true, "RetryAfter": true,
                     "MaxRetryAfter": self.clients.wait_ms * 2.0},
            "Invariants": {"ColdFrom": self.caches.cold, "WarmWithin": self.caches.warm_ms,
                           "DrainGrace": self.rules.grace_ms},
            "Products": products,
        })
    }

    pub fn grace(&self) -> Span {
        Span::from_ms(self.rules.grace_ms)
    }
}

/// Where in a file it is, and what: in one line.
pub fn one_line(e: &toml::de::Error) -> String {
    e.to_string().lines().map(str::trim).filter(|line| !line.is_empty()).collect::<Vec<_>>().join(" ")
}

#[cfg(test)]
mod tests {
    use super::*;
    use expect_test::expect;

    #[test]
    fn bad_input_is_named_in_one_line() {
        let texts = [
            "nodes = 0",
            "node = 3",
            "seconds = \"long\"",
            "settle = 70.0",
            "product = []",
            "[traffic]\nrate = -1.0",
            "[traffic]\nrate = 1e9",
            "[caches]\nspeed = [2.0, 1.0]",
            "[[fault]]\nkind = \"flood\"\nat = 1.0",
            "[[fault]]\nkind = \"crash\"\nat = 99.0",
            "[[product]]\nname = \"x\"\nshare = 1.0\nslo_ms = 10.0\ntimeout_ms = 5.0\nwork_ms = 1.0",
            "nodes = = 3",
        ];
        let said = texts.map(|text| match Scenario::parse(text) {
            Ok(_) => format!("{text:?}: taken\n"),
            Err(bad) => format!("{bad}\n"),
        });
        assert!(said.iter().all(|line| line.lines().count() == 1));
        expect![[r#"
            nodes: 0 is not within 1 to 5000
            node: unknown field `node`, expected one of `seed`, `seconds`, `settle`, `policy`, `nodes`, `nodes_told`, `network`, `clients`, `traffic`, `keys`, `caches`, `origin`, `rules`, `attempts`, `product`, `fault`
            seconds: invalid type: string "long", expected f64
            settle: 70 is not within 0 to 59.4
            product: at least one is needed
            traffic.rate: -1 is not above 0
            traffic.rate times seconds: 60000000000 is not within 0 to 50000000
            caches.speed: 2 to 1 is no range
            fault[0].kind: unknown variant `flood`, expected one of `crash`, `hang`, `slow`, `drain`, `cold_restart`, `partition`, `origin_slow`, `origin_stop`, `burst`, `hot_key`, `scan`, `node_roll`, `network`
            fault[0].at: 99 is not within 0 to 60
            product[0].timeout_ms: 5 is not within 10 to 600000
            TOML parse error at line 1, column 9 | 1 | nodes = = 3 |         ^ extra `=`, expected nothing
        "#]]
        .assert_eq(&said.concat());
        assert!(Scenario::parse("").is_ok());
    }
}
