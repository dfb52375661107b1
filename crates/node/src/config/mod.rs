//! The configuration: read, checked and given its defaults here and nowhere else. Messages name the faulty key.
mod settings;
#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use quartzhub_policy::Settings;
use serde::de::{Deserialize, Deserializer, Error as _};

use crate::fault::Fault;
use crate::limits::{Limits, Machine};
use crate::peers::named::Peering;
use settings::checked;

/// Everything a node is told at its start.
#[derive(Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    /// Where operators call; without one they can't.
    pub ops: Option<SocketAddr>,
    /// The number of a listening socket that the process was started with, to serve clients on instead of `listen`.
    pub inherited: Option<i32>,
    /// Without one the node goes by the list it knows.
    pub discovery: Option<SocketAddr>,
    pub seed: u64,
    pub settings: Settings,
    pub known: News,
    pub limits: Limits,
    /// The other nodes, where it is on.
    pub membership: Option<Peering>,
    /// Faults that the node starts without minding; it says them in its log.
    pub passed_over: Vec<Fault>,
    /// What the limits were made from.
    machine: Machine,
    /// Keys that its file has, but for the list of known servers.
    keys: BTreeSet<String>,
    /// Where it was read, and the discovery that stood there.
    source: Option<Source>,
    named: Option<SocketAddr>,
}

/// What a file read again has brought.
#[derive(Debug, PartialEq)]
pub struct Again {
    /// Keys that have changed and do so at a restart only.
    pub at_restart: Vec<String>,
    /// Settings have changed.
    pub settings: bool,
}

#[derive(Debug)]
struct Source {
    file: PathBuf,
    environment: Environment,
}

/// What the file may hold. Unknown keys are passed over.
#[derive(serde::Deserialize)]
struct File {
    #[serde(default = "unnamed")]
    name: String,
    #[serde(default, deserialize_with = "address")]
    listen: Option<SocketAddr>,
    #[serde(default, deserialize_with = "address")]
    ops: Option<SocketAddr>,
    #[serde(default, deserialize_with = "address")]
    discovery: Option<SocketAddr>,
    #[serde(default, deserialize_with = "seed")]
    seed: Option<u64>,
    /// Whether nodes watch one another; their addresses, and the fleet's name.
    #[serde(default)]
    membership: bool,
    #[serde(default, deserialize_with = "address")]
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: serde_json::Value,
    #[serde(default)]
    fleet: Option<String>,
    /// Parts of the detector that tests leave out on purpose, to see that they are missed.
    #[serde(default)]
    membership_without: Vec<String>,
    /// Whether nodes also tell one another of their load, and lend one another parts of budgets.
    #[serde(default)]
    shared: bool,
    #[serde(default)]
    limits: Machine,
    #[serde(default)]
    known: serde_json::Value,
    settings: serde_json::Value,
}

/// Longest deadline and most attempts that settings may name: a day, and far more than any API call is worth.
const LONGEST_MS: f64 = 86_400_000.0;
const MOST_SHOTS: f64 = 1000.0;
/// Most nodes that settings may name, far more than any fleet has.
const MOST_NODES: f64 = 1e6;

/// A server list, whole or as changes, in the form that discovery gives it.
#[derive(Debug, Default, serde::Deserialize)]
pub struct News {
    pub version: u64,
    #[serde(default)]
    pub full: bool,
    pub servers: Vec<Entry>,
}

#[derive(Debug, serde::Deserialize)]
pub struct Entry {
    pub id: String,
    #[serde(default, deserialize_with = "address")]
    pub addr: Option<SocketAddr>,
    pub zone: Option<String>,
    pub kind: Option<String>,
    pub cell: Option<u32>,
    pub state: Option<String>,
    pub weight: Option<f64>,
    /// Unix time in milliseconds; 0 for long ago.
    pub started_ms: Option<f64>,
}

fn unnamed() -> String {
    "quartzhub".to_owned()
}

fn address<'de, D: Deserializer<'de>>(from: D) -> Result<Option<SocketAddr>, D::Error> {
    let text = Option::<String>::deserialize(from)?;
    let parse = |text: String| text.parse().map_err(|_| D::Error::custom(not_an_address(&text)));
    text.filter(|text| !text.is_empty()).map(parse).transpose()
}

fn not_an_address(text: &str) -> String {
    format!("{text:?} is not an address such as 127.0.0.1:6379")
}

fn seed<'de, D: Deserializer<'de>>(from: D) -> Result<Option<u64>, D::Error> {
    let text = Option::<String>::deserialize(from)?;
    let parse = |text: String| {
        u64::from_str_radix(&text, 16)
            .map_err(|_| D::Error::custom(format!("{text:?} is not a number of up to 16 hexadecimal digits")))
    };
    text.map(parse).transpose()
}

/// Variables of the environment that go before the file.
#[derive(Debug, Clone, Default)]
pub struct Environment {
    pub name: Option<String>,
    pub listen: Option<String>,
    pub discovery: Option<String>,
    pub ops: Option<String>,
    pub inherited: Option<String>,
    /// Descriptors that the process may hold.
    pub descriptors: Option<usize>,
}

impl Environment {
    pub fn of_process() -> Environment {
        let get = |name| std::env::var(name).ok().filter(|value| !value.is_empty());
        let (name, listen, discovery) = (get("LB_NAME"), get("LB_LISTEN"), get("LB_DISCOVERY"));
        let (ops, inherited) = (get("LB_OPS"), get("LB_INHERITED_FD"));
        Environment { name, listen, discovery, ops, inherited, descriptors: descriptors() }
    }
}

/// The soft limit on open files, where the system tells it.
fn descriptors() -> Option<usize> {
    let limits = std::fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits.lines().find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}

impl Config {
    pub fn read(file: &Path, environment: Environment) -> Result<Config, Fault> {
        let text =
            std::fs::read_to_string(file).map_err(|e| Fault::new(format!("{}: {e}", file.display())))?;
        let read = match file.extension().is_some_and(|form| form == "toml") {
            true => Config::parse_toml(&text, environment.clone()),
            false => Config::parse(&text, environment.clone()),
        };
        let mut config = read.map_err(|fault| Fault::new(format!("{}: {fault}", file.display())))?;
        config.source = Some(Source { file: file.to_owned(), environment });
        Ok(config)
    }

    /// Reads the same file again, checks it whole, and takes over what may change while the node runs. A variable
    /// goes before the file as it did at the start, but not before a discovery that the file has been given since.
    /// On a fault all stays as it is. Guards against half a file: what it had before must still be there.
    pub fn read_again(&mut self) -> Result<Again, Fault> {
        let source = self.source.as_ref().ok_or_else(|| Fault::new("not read from a file".to_owned()))?;
        let new = Config::read(&source.file, source.environment.clone())?;
        // A list that is there and empty, as of tenants, is not half a file.
        let emptied =
            |key: &str| key.match_indices("[]").any(|(at, mark)| new.keys.contains(&key[..at + mark.len()]));
        if let Some(key) = self.keys.difference(&new.keys).find(|key| !emptied(key) && !key.ends_with("[]")) {
            return Err(Fault::new(format!("{}: {key}: missing", source.file.display())));
        }
        if new.named != self.named {
            (self.named, self.discovery) = (new.named, new.named);
        }
        self.passed_over = new.passed_over;
        let changed = [
            ("name", new.name != self.name),
            ("listen", new.listen != self.listen),
            ("ops", new.ops != self.ops),
            ("limits", new.machine != self.machine),
            ("membership", new.membership != self.membership),
        ];
        let at_restart: Vec<_> = changed.iter().filter(|key| key.1).map(|key| key.0.to_owned()).collect();
        let (old, new) = (std::mem::replace(&mut self.settings, new.settings).0, &self.settings.0);
        let differs = |key: &&String| old.get(*key) != new.get(*key);
        let settings = old.keys().chain(new.keys()).any(|key| differs(&key));
        Ok(Again { at_restart, settings })
    }

    pub fn parse(text: &str, environment: Environment) -> Result<Config, Fault> {
        let mut json = serde_json::Deserializer::from_str(text);
        let file: File = serde_path_to_error::deserialize(&mut json).map_err(|e| located("", &e))?;
        let whole = serde_json::from_str(text).map_err(|e| Fault::new(e.to_string()))?;
        Config::checked(file, whole, environment)
    }

    /// The same keys with the same checks, as TOML.
    pub fn parse_toml(text: &str, environment: Environment) -> Result<Config, Fault> {
        let one_line = |e: &dyn fmt::Display| {
            let text = e.to_string();
            let lines: Vec<&str> = text.lines().map(str::trim).filter(|line| !line.is_empty()).collect();
            Fault::new(lines.join(" "))
        };
        let table: toml::Table = text.parse().map_err(|e: toml::de::Error| one_line(&e))?;
        let value = serde_json::to_value(&table).map_err(|e| one_line(&e))?;
        let file: File = serde_path_to_error::deserialize(&value).map_err(|e| located("", &e))?;
        let whole = serde_json::from_value(value).map_err(|e| one_line(&e))?;
        Config::checked(file, whole, environment)
    }

    fn checked(
        mut file: File,
        whole: BTreeMap<String, serde_json::Value>,
        environment: Environment,
    ) -> Result<Config, Fault> {
        let variable = |name: &str, value: Option<String>| {
            let parse = |text: String| {
                text.parse::<SocketAddr>()
                    .map_err(|_| Fault::new(format!("{name}: {}", not_an_address(&text))))
            };
            value.map(parse).transpose()
        };
        let listen = variable("LB_LISTEN", environment.listen)?.or(file.listen);
        let mut passed_over = Vec::new();
        let settings = checked(&file.settings, &mut passed_over)?;
        // Guards against a node that does not come back because of a list that it had kept: discovery has a
        // better one.
        let known = match std::mem::take(&mut file.known) {
            serde_json::Value::Null => News::default(),
            list => serde_path_to_error::deserialize(list).unwrap_or_else(|e| {
                passed_over.push(located("known.", &e));
                News::default()
            }),
        };
        if file.limits.memory_mb.is_nan() || file.limits.memory_mb < 16.0 {
            return Err(Fault::new(format!("limits.memory_mb: {} is under 16", file.limits.memory_mb)));
        }
        if file.limits.sockets < 32 {
            return Err(Fault::new(format!("limits.sockets: {} is under 32", file.limits.sockets)));
        }
        if let Some(most) = environment.descriptors.filter(|most| *most < file.limits.sockets) {
            let told = file.limits.sockets;
            passed_over.push(Fault::new(format!("limits.sockets: {told}, but the process may open {most}")));
            file.limits.sockets = most;
        }
        let number = |text: String| {
            let fault = || Fault::new(format!("LB_INHERITED_FD: {text:?} is not the number of a descriptor"));
            text.parse().ok().filter(|number| *number > 2).ok_or_else(fault)
        };
        let inherited = environment.inherited.map(number).transpose()?;
        let mut keys = BTreeSet::new();
        for (key, value) in &whole {
            keys.insert(key.clone());
            if key != "known" {
                put_keys(key, value, &mut keys);
            }
        }
        let ops = variable("LB_OPS", environment.ops)?.or(file.ops);
        let File { peer_listen, peers, fleet, .. } = &file;
        let membership = Peering::checked(
            file.membership,
            *peer_listen,
            peers,
            fleet.clone(),
            &file.membership_without,
            &settings,
            &mut passed_over,
        )?;
        let membership = membership.map(|peering| Peering { shared: file.shared, ..peering });
        if file.shared && membership.is_none() {
            passed_over.push(Fault::new("shared: needs membership: off"));
        }
        let limits = Limits::new(file.limits, &settings);
        let limits = if inherited.is_some() { limits.shared() } else { limits };
        Ok(Config {
            ops,
            inherited,
            name: environment.name.unwrap_or(file.name),
            listen: listen.ok_or_else(|| Fault::new("listen: missing".to_owned()))?,
            discovery: variable("LB_DISCOVERY", environment.discovery)?.or(file.discovery),
            seed: file.seed.unwrap_or_else(chance),
            limits: if ops.is_some() { limits.with_ops() } else { limits },
            membership,
            settings,
            known,
            passed_over,
            machine: file.limits,
            keys,
            source: None,
            named: file.discovery,
        })
    }
}

/// The dotted names of all keys under one; of a list's items, those that each of them has.
fn put_keys(under: &str, value: &serde_json::Value, into: &mut BTreeSet<String>) {
    match value {
        serde_json::Value::Object(fields) => {
            for (key, value) in fields {
                let key = format!("{under}.{key}");
                put_keys(&key, value, into);
                into.insert(key);
            }
        }
        serde_json::Value::Array(items) => {
            let of = |item| {
                let mut keys = BTreeSet::new();
                put_keys(&format!("{under}[]"), item, &mut keys);
                keys
            };
            let all = items.iter().map(of).reduce(|all, keys| &all & &keys);
            into.extend(all.unwrap_or_else(|| BTreeSet::from([format!("{under}[]")])));
        }
        _ => {}
    }
}

/// A seed where the configuration gives none.
fn chance() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    std::collections::hash_map::RandomState::new().build_hasher().finish()
}

fn located<E: fmt::Display>(under: &str, e: &serde_path_to_error::Error<E>) -> Fault {
    match e.path().to_string().as_str() {
        "." | "?" => Fault::new(e.inner().to_string()),
        key => Fault::new(format!("{under}{key}: {}", e.inner())),
    }
}
