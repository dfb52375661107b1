//! The configuration: read, checked and given its defaults here and nowhere else. Messages name the faulty key.
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use quartzhub_policy::Settings;
use serde::de::{Deserialize, Deserializer, Error as _};

use crate::limits::{Limits, Machine};
use crate::peers::Peering;

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
    #[serde(default)]
    limits: Machine,
    #[serde(default)]
    known: serde_json::Value,
    settings: serde_json::Value,
}

/// Longest deadline and most shots that settings may name: a day, and far more than any API call is worth.
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

/// What is wrong, and where: the file, and the key in it or the variable.
#[derive(Debug)]
pub struct Fault(String);

impl Fault {
    pub fn new(what: &str) -> Fault {
        Fault(what.to_owned())
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Fault {}

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
        let text = std::fs::read_to_string(file).map_err(|e| Fault(format!("{}: {e}", file.display())))?;
        let read = match file.extension().is_some_and(|form| form == "toml") {
            true => Config::parse_toml(&text, environment.clone()),
            false => Config::parse(&text, environment.clone()),
        };
        let mut config = read.map_err(|fault| Fault(format!("{}: {fault}", file.display())))?;
        config.source = Some(Source { file: file.to_owned(), environment });
        Ok(config)
    }

    /// Reads the same file again, checks it whole, and takes over what may change while the node runs. A variable
    /// goes before the file as it did at the start, but not before a discovery that the file has been given since.
    /// On a fault all stays as it is. Guards against half a file: what it had before must still be there.
    pub fn read_again(&mut self) -> Result<Again, Fault> {
        let source = self.source.as_ref().ok_or_else(|| Fault("not read from a file".to_owned()))?;
        let new = Config::read(&source.file, source.environment.clone())?;
        // A list that is there and empty, as of tenants, is not half a file.
        let emptied =
            |key: &str| key.match_indices("[]").any(|(at, mark)| new.keys.contains(&key[..at + mark.len()]));
        if let Some(key) = self.keys.difference(&new.keys).find(|key| !emptied(key) && !key.ends_with("[]")) {
            return Err(Fault(format!("{}: {key}: missing", source.file.display())));
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
        let whole = serde_json::from_str(text).map_err(|e| Fault(e.to_string()))?;
        Config::checked(file, whole, environment)
    }

    /// The same keys with the same checks, as TOML.
    pub fn parse_toml(text: &str, environment: Environment) -> Result<Config, Fault> {
        let one_line = |e: &dyn fmt::Display| {
            let text = e.to_string();
            let lines: Vec<&str> = text.lines().map(str::trim).filter(|line| !line.is_empty()).collect();
            Fault(lines.join(" "))
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
                text.parse::<SocketAddr>().map_err(|_| Fault(format!("{name}: {}", not_an_address(&text))))
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
            return Err(Fault(format!("limits.memory_mb: {} is under 16", file.limits.memory_mb)));
        }
        if file.limits.sockets < 32 {
            return Err(Fault(format!("limits.sockets: {} is under 32", file.limits.sockets)));
        }
        if let Some(most) = environment.descriptors.filter(|most| *most < file.limits.sockets) {
            let told = file.limits.sockets;
            passed_over.push(Fault(format!("limits.sockets: {told}, but the process may open {most}")));
            file.limits.sockets = most;
        }
        let number = |text: String| {
            let fault = || Fault(format!("LB_INHERITED_FD: {text:?} is not the number of a descriptor"));
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
        let limits = Limits::new(file.limits, &settings);
        let limits = if inherited.is_some() { limits.shared() } else { limits };
        Ok(Config {
            ops,
            inherited,
            name: environment.name.unwrap_or(file.name),
            listen: listen.ok_or_else(|| Fault("listen: missing".to_owned()))?,
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
        "." | "?" => Fault(e.inner().to_string()),
        key => Fault(format!("{under}{key}: {}", e.inner())),
    }
}

/// Optional settings that the module reads: where each stands, what it may be, and what is said otherwise.
type Fits = fn(&serde_json::Value) -> bool;
const OPTIONAL: [(&str, &str, Fits, &str); 14] = [
    ("Caps", "MayDuplicate", serde_json::Value::is_boolean, "true or false is needed"),
    ("Caps", "Cancelling", serde_json::Value::is_boolean, "true or false is needed"),
    ("Caps", "RetryAfter", serde_json::Value::is_boolean, "true or false is needed"),
    ("Caps", "ReplySlots", is_amount, "a number of answers is needed"),
    ("Caps", "Keepalive", is_span, "a number of milliseconds is needed"),
    ("Caps", "MaxRetryAfter", is_span, "a number of milliseconds is needed"),
    ("Invariants", "WarmWithin", is_span, "a number of milliseconds is needed"),
    ("Invariants", "ColdFrom", is_part, "a number from 0 to 1 is needed"),
    ("Invariants", "AskWithin", is_span, "a number of milliseconds is needed"),
    ("Invariants", "DeadlineDrift", is_span, "a number of milliseconds is needed"),
    ("Invariants", "StampOff", is_span, "a number of milliseconds is needed"),
    ("Invariants", "RatioSpan", is_span, "a number of milliseconds is needed"),
    ("Invariants", "ExtraFree", is_amount, "a number of shots is needed"),
    ("Invariants", "FurtherRatio", is_amount, "a number of shots an API call is needed"),
];

fn is_span(value: &serde_json::Value) -> bool {
    value.as_f64().is_some_and(|ms| (0.0..=LONGEST_MS).contains(&ms))
}

fn is_amount(value: &serde_json::Value) -> bool {
    value.as_f64().is_some_and(|amount| amount >= 0.0)
}

fn is_part(value: &serde_json::Value) -> bool {
    value.as_f64().is_some_and(|part| (0.0..=1.0).contains(&part))
}

/// The settings as the module reads them, once the keys it can't do without are there.
fn checked(settings: &serde_json::Value, passed_over: &mut Vec<Fault>) -> Result<Settings, Fault> {
    let fault = |key: &str, what: &str| Err(Fault(format!("settings{key}: {what}")));
    if !settings.is_object() {
        return fault("", "not an object");
    }
    let Some(products) = settings.get("Products").and_then(|p| p.as_array()).filter(|p| !p.is_empty()) else {
        return fault(".Products", "a list of at least one product is needed");
    };
    let number = |value: Option<&serde_json::Value>, most: f64| {
        value.and_then(|n| n.as_f64()).is_some_and(|n| n > 0.0 && n <= most)
    };
    let shots = settings.get("Caps").and_then(|caps| caps.get("MostShots"));
    if shots.is_some() && !number(shots, MOST_SHOTS) {
        return fault(".Caps.MostShots", "a number of shots above 0 is needed");
    }
    // What else the module reads may be left out, but not be something else than it is.
    for (under, key, fits, what) in OPTIONAL {
        let value = settings.get(under).map_or(&serde_json::Value::Null, |under| &under[key]);
        if !value.is_null() && !fits(value) {
            return fault(&format!(".{under}.{key}"), what);
        }
    }
    let nodes = settings.get("Balancers");
    if nodes.is_some_and(|n| !n.as_f64().is_some_and(|n| (1.0..=MOST_NODES).contains(&n))) {
        return fault(".Balancers", "a number of nodes from 1 on is needed");
    }
    let tenants = settings.get("Projects").and_then(|tenants| tenants.as_array());
    for (i, tenant) in tenants.into_iter().flatten().enumerate() {
        let rate = &tenant["QuotaPerS"];
        if !rate.is_null() && !rate.as_f64().is_some_and(|rate| rate >= 0.0) {
            return fault(&format!(".Projects[{i}].QuotaPerS"), "a number of API calls a second is needed");
        }
    }
    let mut names = BTreeSet::new();
    for (i, product) in products.iter().enumerate() {
        let Some(name) = product.get("Name").and_then(|name| name.as_str()) else {
            return fault(&format!(".Products[{i}].Name"), "a text is needed");
        };
        if !names.insert(name) {
            return fault(&format!(".Products[{i}].Name"), &format!("{name:?} stands twice"));
        }
        for key in ["LatencySlo", "ClientTimeout"] {
            if !number(product.get(key), LONGEST_MS) {
                return fault(&format!(".Products[{i}].{key}"), "a number of milliseconds above 0 is needed");
            }
        }
        let effect = product.get("Effect").map_or(Some("at_most_once"), |effect| effect.as_str());
        if !matches!(effect, Some("idempotent" | "deduplicated" | "at_most_once")) {
            let what = "none of idempotent, deduplicated and at_most_once: taken as the last";
            passed_over.push(Fault(format!("settings.Products[{i}].Effect: {what}")));
        }
    }
    Ok(quartzhub_names::settings(settings))
}

#[cfg(test)]
mod tests {
    use super::*;
    use expect_test::expect;

    fn faults(text: &str) -> String {
        match Config::parse(text, Environment::default()) {
            Ok(config) => {
                let noted = config.passed_over.iter().map(|fault| format!(" ({fault})"));
                format!("{} on {}{}\n", config.name, config.listen, noted.collect::<String>())
            }
            Err(fault) => format!("{fault}\n"),
        }
    }

    #[test]
    fn a_file_read_again_moves_discovery_and_a_faulty_one_changes_nothing() {
        let file = std::env::temp_dir().join(format!("quartzhub-again-{}.json", std::process::id()));
        let product = r#"{"Name":"view","LatencySlo":100,"ClientTimeout":500}"#;
        let put = |discovery: &str, more: &str| {
            let head = format!(r#"{{"listen":"127.0.0.1:6379",{discovery}{more}"#);
            std::fs::write(&file, format!(r#"{head}"settings":{{"Products":[{product}]}}}}"#))
                .expect("written");
        };
        put(r#""discovery":"127.0.0.1:1","#, "");
        let environment = Environment { discovery: Some("127.0.0.1:9".into()), ..Environment::default() };
        let mut config = Config::read(&file, environment).expect("a configuration");
        let mut told = String::new();
        let mut again = |discovery: &str, more: &str| {
            put(discovery, more);
            let keys =
                config.read_again().map_err(|e| e.to_string().replace(&*file.to_string_lossy(), "file"));
            told += &format!("{:?}: {keys:?}\n", config.discovery.map(|addr| addr.port()));
        };
        again(r#""discovery":"127.0.0.1:1","#, "");
        again(r#""discovery":"127.0.0.1:2","#, r#""limits":{"sockets":99},"name":"n","#);
        again(r#""discovery":"127.0.0.1:3","#, r#""limits":{"sockets":3},"#);
        again("", "");
        again(r#""discovery":"127.0.0.1:1","#, "");
        again(r#""discovery":"127.0.0.1:1","#, r#""limits":{"sockets":99},"name":"n","#);
        let _ = std::fs::remove_file(&file);
        expect![[r#"
            Some(9): Ok(Again { at_restart: [], settings: false })
            Some(2): Ok(Again { at_restart: ["name", "limits"], settings: false })
            Some(2): Err("file: limits.sockets: 3 is under 32")
            Some(2): Err("file: discovery: missing")
            Some(1): Ok(Again { at_restart: [], settings: false })
            Some(1): Ok(Again { at_restart: ["name", "limits"], settings: false })
        "#]]
        .assert_eq(&told);
    }

    #[test]
    fn settings_read_again_are_taken_whole_or_turned_down_whole() {
        let file = std::env::temp_dir().join(format!("quartzhub-settings-{}.json", std::process::id()));
        let product = |name: &str, timeout: &str, more: &str| {
            format!(r#"{{"Name":"{name}","LatencySlo":100,"ClientTimeout":{timeout}{more}}}"#)
        };
        let put = |zone: &str, caps: &str, products: &[String]| {
            let products = products.join(",");
            let settings = format!(r#"{{"Zone":"{zone}","Caps":{{{caps}}},"Products":[{products}]}}"#);
            let text = format!(r#"{{"listen":"127.0.0.1:6379","settings":{settings}}}"#);
            std::fs::write(&file, text).expect("written");
        };
        let view = product("view", "500", r#","Effect":"idempotent""#);
        let (caps, fewer) = (r#""MostShots":3,"Probing":true"#, r#""MostShots":2,"Probing":true"#);
        put("a", caps, std::slice::from_ref(&view));
        let mut config = Config::read(&file, Environment::default()).expect("a configuration");
        let mut told = String::new();
        let mut again = |zone: &str, caps: &str, products: &[String]| {
            put(zone, caps, products);
            let what = config.read_again();
            let what = what.map_err(|e| e.to_string().replace(&*file.to_string_lossy(), "file"));
            let shots = config.settings.number("caps.most_shots", 0.0);
            told += &format!("{shots} shots, {} products: {what:?}\n", config.settings.products().len());
        };
        let put = product("put", "400", r#","Effect":"deduplicated""#);
        again("a", caps, std::slice::from_ref(&view));
        again("a", fewer, &[view.clone(), put.clone()]);
        again("b", caps, std::slice::from_ref(&put));
        again("a", r#""MostShots":2"#, &[view.clone(), put.clone()]);
        again("a", fewer, &[view.clone(), product("put", "400", "")]);
        again("a", fewer, &[view.clone(), product("put", "-5", r#","Effect":"deduplicated""#)]);
        again("a", fewer, &[view.clone(), put.clone(), put.clone()]);
        again("a", fewer, &[]);
        std::fs::write(&file, "").expect("written");
        assert!(config.read_again().is_err_and(|e| e.to_string().contains("EOF")));
        let _ = std::fs::remove_file(&file);
        expect![[r#"
            3 shots, 1 products: Ok(Again { at_restart: [], settings: false })
            2 shots, 2 products: Ok(Again { at_restart: [], settings: true })
            3 shots, 1 products: Ok(Again { at_restart: [], settings: true })
            3 shots, 1 products: Err("file: settings.Caps.Probing: missing")
            3 shots, 1 products: Err("file: settings.Products[].Effect: missing")
            3 shots, 1 products: Err("file: settings.Products[1].ClientTimeout: a number of milliseconds above 0 is needed")
            3 shots, 1 products: Err("file: settings.Products[2].Name: \"put\" stands twice")
            3 shots, 1 products: Err("file: settings.Products: a list of at least one product is needed")
        "#]]
        .assert_eq(&told);
    }

    // The way back from a deployment with tenants to one without was turned down as half a file.
    #[test]
    fn tenants_come_and_go_at_a_move() {
        let file = std::env::temp_dir().join(format!("quartzhub-tenants-{}.json", std::process::id()));
        let put = |tenants: &str| {
            let product = r#"{"Name":"view","LatencySlo":100,"ClientTimeout":500}"#;
            let settings = format!(r#"{{"Products":[{product}],{tenants}}}"#);
            let text = format!(r#"{{"listen":"127.0.0.1:6379","settings":{settings}}}"#);
            std::fs::write(&file, text).expect("written");
        };
        put(r#""Projects":[]"#);
        let mut config = Config::read(&file, Environment::default()).expect("a configuration");
        let mut told = String::new();
        for tenants in [
            r#""Projects":[{"Name":"a","QuotaPerS":9},{"Name":"b","QuotaPerS":3}]"#,
            r#""Projects":[{"Name":"a"}]"#,
            r#""Projects":[]"#,
            r#""Round":5"#,
        ] {
            put(tenants);
            let what =
                config.read_again().map_err(|e| e.to_string().replace(&*file.to_string_lossy(), "file"));
            told += &format!("{} tenants: {what:?}\n", config.settings.count("projects"));
        }
        let _ = std::fs::remove_file(&file);
        expect![[r#"
            2 tenants: Ok(Again { at_restart: [], settings: true })
            1 tenants: Ok(Again { at_restart: [], settings: true })
            0 tenants: Ok(Again { at_restart: [], settings: true })
            0 tenants: Err("file: settings.Projects: missing")
        "#]]
        .assert_eq(&told);
    }

    #[test]
    fn toml_has_the_same_keys_and_checks() {
        let good = "listen = \"127.0.0.1:6379\"\n[limits]\nsockets = 99\n[[settings.Products]]\n\
            Name = \"view\"\nLatencySlo = 100\nClientTimeout = 500.0\n";
        let of = |text: &str| match Config::parse_toml(text, Environment::default()) {
            Ok(config) => format!("{}, {} products\n", config.listen, config.settings.products().len()),
            Err(fault) => format!("{fault}\n"),
        };
        let all = [
            of(good),
            of(&good.replace("500.0", "\"long\"")),
            of(&good.replace("\"127.0.0.1:6379\"", "6379")),
            of(&good.replace("sockets = 99", "sockets = -1")),
            of(&good.replace("[limits]", "[limits")),
            of(&good.replace("ClientTimeout", "Timeout")),
        ];
        expect![[r#"
            127.0.0.1:6379, 1 products
            settings.Products[0].ClientTimeout: a number of milliseconds above 0 is needed
            listen: invalid type: integer `6379`, expected a string
            limits.sockets: invalid value: integer `-1`, expected usize
            TOML parse error at line 2, column 8 | 2 | [limits |        ^ unclosed table, expected `]`
            settings.Products[0].ClientTimeout: a number of milliseconds above 0 is needed
        "#]]
        .assert_eq(&all.concat());
    }

    #[test]
    fn messages_name_the_faulty_key() {
        let product = r#"{"Name":"view","LatencySlo":100,"ClientTimeout":500}"#;
        let good = format!(r#"{{"listen":"127.0.0.1:6379","settings":{{"Products":[{product}]}}}}"#);
        let with = |from: &str, to: &str| faults(&good.replace(from, to));
        let all = [
            faults(&good),
            with(r#""127.0.0.1:6379""#, r#""localhost""#),
            with(r#""127.0.0.1:6379""#, "6379"),
            with(r#""listen""#, r#""seed":"xyz","listen""#),
            with(r#""listen""#, r#""limits":{"sockets":"many"},"listen""#),
            with(r#""listen""#, r#""limits":{"sockets":3},"listen""#),
            with(r#""listen""#, r#""known":{"version":1,"servers":[{"id":"a"},{"id":7}]},"listen""#),
            with(r#""listen":"127.0.0.1:6379","#, ""),
            with(product, ""),
            with(r#""LatencySlo":100"#, r#""LatencySlo":"100 ms""#),
            with(r#""LatencySlo""#, r#""Effect":"safe","LatencySlo""#),
            with("500", "-5"),
            with("500", "0"),
            with("500", "1e300"),
            with("500", "1e999"),
            with("500", "null"),
            with(product, &format!("{product},{product}")),
            with(r#""Products""#, r#""Caps":{"MostShots":0},"Products""#),
            with(r#""Products""#, r#""Caps":{"MostShots":"3"},"Products""#),
            with(
                r#""Products""#,
                r#""Caps":{"Keepalive":null,"MayDuplicate":false},"Projects":[{}],"Products""#,
            ),
            with(r#""Products""#, r#""Caps":{"Keepalive":"5 s"},"Products""#),
            with(r#""Products""#, r#""Caps":{"Keepalive":-1},"Products""#),
            with(r#""Products""#, r#""Caps":{"MayDuplicate":"no"},"Products""#),
            with(r#""Products""#, r#""Caps":{"Cancelling":1},"Products""#),
            with(r#""Products""#, r#""Invariants":{"ColdFrom":12},"Products""#),
            with(r#""Products""#, r#""Invariants":{"WarmWithin":-1},"Products""#),
            with(r#""Products""#, r#""Balancers":0,"Products""#),
            with(r#""Products""#, r#""Projects":[{"QuotaPerS":"many"}],"Products""#),
            faults(&good[..good.len() - 1]),
            faults(""),
            faults("{"),
        ];
        expect![[r#"
            quartzhub on 127.0.0.1:6379
            listen: "localhost" is not an address such as 127.0.0.1:6379 at line 1 column 21
            listen: invalid type: integer `6379`, expected a string at line 1 column 14
            seed: "xyz" is not a number of up to 16 hexadecimal digits at line 1 column 13
            limits.sockets: invalid type: string "many", expected usize at line 1 column 27
            limits.sockets: 3 is under 32
            quartzhub on 127.0.0.1:6379 (known.servers[1].id: invalid type: integer `7`, expected a string)
            listen: missing
            settings.Products: a list of at least one product is needed
            settings.Products[0].LatencySlo: a number of milliseconds above 0 is needed
            quartzhub on 127.0.0.1:6379 (settings.Products[0].Effect: none of idempotent, deduplicated and at_most_once: taken as the last)
            settings.Products[0].ClientTimeout: a number of milliseconds above 0 is needed
            settings.Products[0].ClientTimeout: a number of milliseconds above 0 is needed
            settings.Products[0].ClientTimeout: a number of milliseconds above 0 is needed
            settings.Products[0].ClientTimeout: number out of range at line 1 column 104
            settings.Products[0].ClientTimeout: a number of milliseconds above 0 is needed
            settings.Products[1].Name: "view" stands twice
            settings.Caps.MostShots: a number of shots above 0 is needed
            settings.Caps.MostShots: a number of shots above 0 is needed
            quartzhub on 127.0.0.1:6379
            settings.Caps.Keepalive: a number of milliseconds is needed
            settings.Caps.Keepalive: a number of milliseconds is needed
            settings.Caps.MayDuplicate: true or false is needed
            settings.Caps.Cancelling: true or false is needed
            settings.Invariants.ColdFrom: a number from 0 to 1 is needed
            settings.Invariants.WarmWithin: a number of milliseconds is needed
            settings.Balancers: a number of nodes from 1 on is needed
            settings.Projects[0].QuotaPerS: a number of API calls a second is needed
            EOF while parsing an object at line 1 column 105
            EOF while parsing a value at line 1 column 0
            EOF while parsing an object at line 1 column 1
        "#]]
        .assert_eq(&all.concat());
    }
}
