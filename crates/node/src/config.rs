//! The configuration: read, checked and given its defaults here and nowhere else. Messages name the faulty key.
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use quartzhub_policy::Settings;
use serde::de::{Deserialize, Deserializer, Error as _};

use crate::limits::{Limits, Machine};

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
    /// Faults that the node starts without minding; it says them in its log.
    pub passed_over: Vec<Fault>,
    /// What the limits were made from.
    machine: Machine,
    /// Where it was read, and the discovery that stood there.
    source: Option<Source>,
    named: Option<SocketAddr>,
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
    #[serde(default)]
    limits: Machine,
    #[serde(default)]
    known: serde_json::Value,
    settings: serde_json::Value,
}

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
        let read = Config::parse(&text, environment.clone());
        let mut config = read.map_err(|fault| Fault(format!("{}: {fault}", file.display())))?;
        config.source = Some(Source { file: file.to_owned(), environment });
        Ok(config)
    }

    /// Reads the same file again, checks it whole, and takes over what may change while the node runs; tells
    /// which other keys have changed. A variable goes before the file as it did at the start, but not before
    /// a discovery that the file has been given since. On a fault all stays as it is.
    pub fn read_again(&mut self) -> Result<Vec<&'static str>, Fault> {
        let source = self.source.as_ref().ok_or_else(|| Fault("not read from a file".to_owned()))?;
        let new = Config::read(&source.file, source.environment.clone())?;
        if new.named.is_none() && self.named.is_some() {
            return Err(Fault(format!("{}: discovery: missing", source.file.display())));
        }
        if new.named != self.named {
            (self.named, self.discovery) = (new.named, new.named);
        }
        self.passed_over = new.passed_over;
        let changed = [
            ("name", new.name != self.name),
            ("listen", new.listen != self.listen),
            ("limits", new.machine != self.machine),
            ("settings", new.settings.0 != self.settings.0),
        ];
        Ok(changed.iter().filter(|key| key.1).map(|key| key.0).collect())
    }

    pub fn parse(text: &str, environment: Environment) -> Result<Config, Fault> {
        let mut json = serde_json::Deserializer::from_str(text);
        let mut file: File = serde_path_to_error::deserialize(&mut json).map_err(|e| located("", &e))?;
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
        let known = match file.known {
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
        let ops = variable("LB_OPS", environment.ops)?.or(file.ops);
        let limits = Limits::new(file.limits, &settings);
        Ok(Config {
            ops,
            inherited,
            name: environment.name.unwrap_or(file.name),
            listen: listen.ok_or_else(|| Fault("listen: missing".to_owned()))?,
            discovery: variable("LB_DISCOVERY", environment.discovery)?.or(file.discovery),
            seed: file.seed.unwrap_or_else(chance),
            limits: if ops.is_some() { limits.with_ops() } else { limits },
            settings,
            known,
            passed_over,
            machine: file.limits,
            source: None,
            named: file.discovery,
        })
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

/// The settings as the module reads them, once the keys it can't do without are there.
fn checked(settings: &serde_json::Value, passed_over: &mut Vec<Fault>) -> Result<Settings, Fault> {
    let fault = |key: &str, what: &str| Err(Fault(format!("settings{key}: {what}")));
    if !settings.is_object() {
        return fault("", "not an object");
    }
    let Some(products) = settings.get("Products").and_then(|p| p.as_array()).filter(|p| !p.is_empty()) else {
        return fault(".Products", "a list of at least one product is needed");
    };
    for (i, product) in products.iter().enumerate() {
        if product.get("Name").and_then(|name| name.as_str()).is_none() {
            return fault(&format!(".Products[{i}].Name"), "a text is needed");
        }
        for key in ["LatencySlo", "ClientTimeout"] {
            if !product.get(key).and_then(|n| n.as_f64()).is_some_and(|n| n > 0.0) {
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
        let _ = std::fs::remove_file(&file);
        expect![[r#"
            Some(9): Ok([])
            Some(2): Ok(["name", "limits"])
            Some(2): Err("file: limits.sockets: 3 is under 32")
            Some(2): Err("file: discovery: missing")
            Some(1): Ok([])
        "#]]
        .assert_eq(&told);
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
            EOF while parsing an object at line 1 column 1
        "#]]
        .assert_eq(&all.concat());
    }
}
