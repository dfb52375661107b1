//! What is to be played with several processes, as a file says it: a scenario of the laboratory's, and what befalls processes
//! and the links between them. Read, checked and given its defaults here. Messages name the key.
use quartzhub_policy::Pcg;
use serde::{Deserialize, Serialize};

use crate::scenario::{one_line, LabError, Scenario};
use crate::stub::StubServers;

#[derive(Debug, Clone, Serialize)]
pub struct Plan {
    pub title: String,
    pub scenario: Scenario,
    /// How late the front hears that a process is up or gone.
    pub front_late_ms: f64,
    /// Nodes that are configured everywhere and start only when a fault says so.
    pub absent: Vec<usize>,
    /// Laid over the settings that every node is given.
    pub settings: serde_json::Value,
    /// Laid over the rest of every node's configuration.
    pub config: serde_json::Value,
    /// The block of loopback addresses, such as "127.90.0"; any free one without it.
    pub block: Option<String>,
    pub faults: Vec<Fault>,
    pub expect: Expect,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Processes are killed, and start again after `for`, if that is given.
    Kill,
    /// Processes are asked to end as planned, and start again `for` after their end.
    End,
    /// Processes stand still.
    Pause,
    /// Operators order the caches in `to` drained, at these nodes; and take that back after `for`, if that is given.
    Order,
    /// Absent nodes start.
    Start,
    /// Processes end as planned, one after the other over `for`, and start again at once.
    Roll,
    /// Nothing passes on the links named.
    Cut,
    /// The links named lose, delay, double, reorder or squeeze.
    Spoil,
    /// What these nodes last sent to others comes once more, every tenth of a second.
    Replay,
    /// These nodes get spoilt, forged and repeated datagrams, `rate` a second each.
    Flood,
}

/// Only what its kind needs is read.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub kind: Kind,
    /// Seconds from the beginning, and how long it lasts.
    pub at: f64,
    #[serde(rename = "for", default)]
    pub lasts: Option<f64>,
    /// The nodes' numbers, or else a share of all of them, drawn from the seed.
    #[serde(default)]
    pub nodes: Vec<usize>,
    #[serde(default)]
    pub share: Option<f64>,
    /// Of links: "nodes", "node-3", "caches", "cache-2", "origin", "discovery".
    #[serde(default)]
    pub from: Vec<String>,
    #[serde(default)]
    pub to: Vec<String>,
    /// The other direction too.
    #[serde(default)]
    pub both: bool,
    /// A cut resets connections and refuses new ones; without it nothing is heard.
    #[serde(default)]
    pub reset: bool,
    #[serde(default)]
    pub loss: f64,
    #[serde(default)]
    pub delay_ms: f64,
    #[serde(default)]
    pub jitter_ms: f64,
    #[serde(default)]
    pub duplicate: f64,
    #[serde(default)]
    pub reorder: f64,
    #[serde(default)]
    pub bytes_per_s: Option<f64>,
    #[serde(default)]
    pub rate: f64,
}

/// What must have been so at the end. Generous: times are measured and told, not judged.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Expect {
    /// Least share of the billed value that is served.
    pub service: f64,
    /// Processes up at the end.
    pub up: Option<usize>,
    /// At the end each process takes just those that run for members.
    pub members_agree: bool,
    /// How often at most any process has taken another out of the members, or in again.
    pub flips: Option<usize>,
}

impl Default for Expect {
    fn default() -> Expect {
        Expect { service: 0.0, up: None, members_agree: false, flips: None }
    }
}

/// One end of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Endpoint {
    Node(usize),
    /// A cache, or the origin behind the last one.
    Server(usize),
    Discovery,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    #[serde(default)]
    title: String,
    #[serde(default)]
    scenario: toml::Table,
    #[serde(default = "second")]
    front_late_ms: f64,
    #[serde(default)]
    absent: Vec<usize>,
    #[serde(default)]
    settings: toml::Table,
    #[serde(default)]
    config: toml::Table,
    block: Option<String>,
    #[serde(default, rename = "fault")]
    faults: Vec<Fault>,
    #[serde(default)]
    expect: Expect,
}

fn second() -> f64 {
    1000.0
}

/// What one machine bears, and addresses hold.
pub const MOST_NODES: usize = 96;
const MOST_CACHES: usize = 64;
const MOST_SECONDS: f64 = 600.0;
const MOST_RATE: f64 = 5_000.0;
const MOST_DATAGRAMS: f64 = 20_000.0;
const LEAST_BYTES_PER_S: f64 = 1_000.0;

impl Plan {
    pub fn parse(text: &str) -> Result<Plan, LabError> {
        let table: toml::Table = text.parse().map_err(|e: toml::de::Error| LabError(one_line(&e)))?;
        let file: File = serde_path_to_error::deserialize(toml::Value::Table(table)).map_err(|e| {
            let (key, what) = (e.path().to_string(), e.inner().message().to_owned());
            LabError(if key == "." { what } else { format!("{key}: {what}") })
        })?;
        let scenario = Scenario::of(toml::Value::Table(file.scenario))
            .map_err(|LabError(bad)| LabError(format!("scenario.{bad}")))?;
        let json = |table: toml::Table| serde_json::to_value(table).map_err(|e| LabError(e.to_string()));
        let plan = Plan {
            title: file.title,
            scenario,
            front_late_ms: file.front_late_ms,
            absent: file.absent,
            settings: json(file.settings)?,
            config: json(file.config)?,
            block: file.block,
            faults: file.faults,
            expect: file.expect,
        };
        plan.check()?;
        Ok(plan)
    }

    fn check(&self) -> Result<(), LabError> {
        let within = |key: &str, value: f64, from: f64, to: f64| match (from..=to).contains(&value) {
            true => Ok(()),
            false => Err(LabError(format!("{key}: {value} is not within {from} to {to}"))),
        };
        let scenario = &self.scenario;
        within("scenario.nodes", scenario.nodes as f64, 1.0, MOST_NODES as f64)?;
        within("scenario.caches.count", scenario.caches.count as f64, 1.0, MOST_CACHES as f64)?;
        within("scenario.seconds", scenario.seconds, 1.0, MOST_SECONDS)?;
        within("scenario.traffic.rate", scenario.traffic.rate, 0.1, MOST_RATE)?;
        within("front_late_ms", self.front_late_ms, 0.0, 60_000.0)?;
        within("expect.service", self.expect.service, 0.0, 1.0)?;
        if scenario.policy != "dema" {
            return Err(LabError("scenario.policy: real nodes are played, which go by dema".to_owned()));
        }
        StubServers::playable(scenario, true)?;
        let node = |key: &str, node: usize| match node < scenario.nodes {
            true => Ok(()),
            false => Err(LabError(format!("{key}: there is no node {node}"))),
        };
        self.absent.iter().try_for_each(|absent| node("absent", *absent))?;
        for (i, fault) in self.faults.iter().enumerate() {
            let key = |field: &str| format!("fault[{i}].{field}");
            within(&key("at"), fault.at, 0.0, scenario.seconds)?;
            if let Some(lasts) = fault.lasts {
                within(&key("for"), lasts, 0.01, MOST_SECONDS)?;
            }
            within(&key("loss"), fault.loss, 0.0, 0.99)?;
            within(&key("duplicate"), fault.duplicate, 0.0, 1.0)?;
            within(&key("reorder"), fault.reorder, 0.0, 1.0)?;
            within(&key("delay_ms"), fault.delay_ms, 0.0, 60_000.0)?;
            within(&key("jitter_ms"), fault.jitter_ms, 0.0, 60_000.0)?;
            if let Some(bytes) = fault.bytes_per_s {
                within(&key("bytes_per_s"), bytes, LEAST_BYTES_PER_S, 1e12)?;
            }
            within(&key("rate"), fault.rate, 0.0, MOST_DATAGRAMS)?;
            fault.nodes.iter().try_for_each(|of| node(&key("nodes"), *of))?;
            if let Some(share) = fault.share {
                within(&key("share"), share, 0.0, 1.0)?;
            }
            let of_links = matches!(fault.kind, Kind::Cut | Kind::Spoil);
            let (links, nodes) = (!fault.from.is_empty() && !fault.to.is_empty(), self.nodes(i));
            if of_links && !links {
                return Err(LabError(format!("{}: from and to are needed", key("from"))));
            }
            if !of_links && nodes.is_empty() {
                return Err(LabError(format!("{}: nodes or a share of them are needed", key("nodes"))));
            }
            let caches =
                |name: &String| self.ends(name).is_some_and(|ends| ends.iter().all(|end| self.is_cache(end)));
            if fault.kind == Kind::Order && (fault.to.is_empty() || !fault.to.iter().all(caches)) {
                return Err(LabError(format!("{}: the caches that are drained are needed", key("to"))));
            }
            if matches!(fault.kind, Kind::Pause | Kind::Roll | Kind::Replay | Kind::Flood)
                && fault.lasts.is_none()
            {
                return Err(LabError(format!("{}: is needed", key("for"))));
            }
            for (field, names) in [("from", &fault.from), ("to", &fault.to)] {
                names.iter().try_for_each(|name| match self.ends(name) {
                    Some(_) => Ok(()),
                    None => Err(LabError(format!("{}: {name:?} is no end of a link", key(field)))),
                })?;
            }
        }
        Ok(())
    }

    /// The nodes that a fault befalls.
    pub fn nodes(&self, fault: usize) -> Vec<usize> {
        let it = &self.faults[fault];
        let Some(share) = it.share.filter(|_| it.nodes.is_empty()) else { return it.nodes.clone() };
        let mut chance = Pcg::new(self.scenario.seed ^ (fault as u64) << 32);
        let mut drawn: Vec<(f64, usize)> =
            (0..self.scenario.nodes).map(|node| (chance.unit(), node)).collect();
        drawn.sort_by(|a, b| a.0.total_cmp(&b.0));
        let count = (share * self.scenario.nodes as f64).round() as usize;
        let mut nodes: Vec<_> = drawn.into_iter().take(count).map(|drawn| drawn.1).collect();
        nodes.sort_unstable();
        nodes
    }

    fn is_cache(&self, end: &Endpoint) -> bool {
        matches!(end, Endpoint::Server(server) if *server < self.scenario.caches.count)
    }

    /// The caches that operators order drained.
    pub fn ordered(&self, fault: usize) -> Vec<usize> {
        let ends = self.faults[fault].to.iter().filter_map(|name| self.ends(name)).flatten();
        let cache = |end| match end {
            Endpoint::Server(server) => Some(server),
            _ => None,
        };
        ends.filter_map(cache).collect()
    }

    fn ends(&self, name: &str) -> Option<Vec<Endpoint>> {
        let (nodes, caches) = (self.scenario.nodes, self.scenario.caches.count);
        let numbered = |name: &str, most: usize| name.parse().ok().filter(|number| *number < most);
        Some(match name {
            "nodes" => (0..nodes).map(Endpoint::Node).collect(),
            "caches" => (0..caches).map(Endpoint::Server).collect(),
            "origin" => vec![Endpoint::Server(caches)],
            "discovery" => vec![Endpoint::Discovery],
            _ => match name.split_once('-')? {
                ("node", number) => vec![Endpoint::Node(numbered(number, nodes)?)],
                ("cache", number) => vec![Endpoint::Server(numbered(number, caches)?)],
                _ => return None,
            },
        })
    }

    /// The links that a fault befalls, each direction by itself.
    pub fn links(&self, fault: usize) -> Vec<(Endpoint, Endpoint)> {
        let it = &self.faults[fault];
        let all =
            |names: &[String]| names.iter().filter_map(|name| self.ends(name)).flatten().collect::<Vec<_>>();
        let (from, to) = (all(&it.from), all(&it.to));
        let pairs = from.iter().flat_map(|from| to.iter().map(move |to| (*from, *to)));
        let links = pairs.flat_map(|(from, to)| [Some((from, to)), it.both.then_some((to, from))]);
        let mut links: Vec<_> = links.flatten().filter(|link| link.0 != link.1).collect();
        links.sort_unstable();
        links.dedup();
        links
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use expect_test::expect;

    #[test]
    fn bad_plans_are_named_in_one_line_before_anything_starts() {
        let texts = [
            "[[fault]]\nkind = \"kill\"\nat = 1.0\nnodes = [7]",
            "[[fault]]\nkind = \"kill\"\nat = 1.0",
            "[[fault]]\nkind = \"pause\"\nat = 1.0\nnodes = [1]",
            "[[fault]]\nkind = \"cut\"\nat = 1.0\nfrom = [\"node-1\"]",
            "[[fault]]\nkind = \"cut\"\nat = 1.0\nfrom = [\"node-1\"]\nto = [\"cache-99\"]",
            "[[fault]]\nkind = \"spoil\"\nat = 1.0\nfrom = [\"nodes\"]\nto = [\"origin\"]\nloss = 1.5",
            "[[fault]]\nkind = \"cutt\"\nat = 1.0",
            "[scenario]\nnodes = 500",
            "[scenario]\nnode = 5",
            "[[scenario.fault]]\nkind = \"node_roll\"\nat = 1.0",
            "absent = [9]",
            "fault = 3",
        ];
        let said = texts.map(|text| match Plan::parse(text) {
            Ok(_) => format!("{text:?}: taken\n"),
            Err(bad) => format!("{bad}\n"),
        });
        expect![[r#"
            fault[0].nodes: there is no node 7
            fault[0].nodes: nodes or a share of them are needed
            fault[0].for: is needed
            fault[0].from: from and to are needed
            fault[0].to: "cache-99" is no end of a link
            fault[0].loss: 1.5 is not within 0 to 0.99
            fault[0].kind: unknown variant `cutt`, expected one of `kill`, `end`, `pause`, `order`, `start`, `roll`, `cut`, `spoil`, `replay`, `flood`
            scenario.nodes: 500 is not within 1 to 96
            scenario.node: unknown field `node`, expected one of `seed`, `seconds`, `settle`, `policy`, `nodes`, `nodes_told`, `network`, `clients`, `traffic`, `keys`, `caches`, `origin`, `rules`, `attempts`, `product`, `fault`
            scenario.fault[0].kind: stub servers can't play it; [[fault]] may
            absent: there is no node 9
            fault: invalid type: integer `3`, expected a sequence
        "#]].assert_eq(&said.concat());
    }

    #[test]
    fn a_share_is_drawn_from_the_seed_and_ways_are_one_sided() {
        let text = "[scenario]\nnodes = 8\n[[fault]]\nkind = \"kill\"\nat = 1.0\nshare = 0.25\n[[fault]]\nkind = \"cut\"\nat = 1.0\n\
                    from = [\"node-1\", \"node-2\"]\nto = [\"node-2\", \"origin\"]";
        let plan = Plan::parse(text).expect("a plan");
        assert_eq!((plan.nodes(0).len(), plan.nodes(0)), (2, Plan::parse(text).expect("a plan").nodes(0)));
        let links = [(1, Endpoint::Node(2)), (1, Endpoint::Server(12)), (2, Endpoint::Server(12))];
        assert_eq!(plan.links(1), links.map(|(from, to)| (Endpoint::Node(from), to)));
    }
}
