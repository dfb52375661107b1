//! The door between the world's names and the module's: settings become a plain map in our words, ids become
//! small indices. Every program that drives the module uses it; takes no decision.
use quartzhub_policy::{CallIx, Listing, ServerIx, Settings, State, Time, Value};
use rustc_hash::FxHashMap;

/// `Products[0].LatencySlo` of the settings becomes `products.0.latency_slo` of the plain map.
pub fn settings(setup: &serde_json::Value) -> Settings {
    fn put(name: String, value: &serde_json::Value, into: &mut Settings) {
        let under = |part: &str| if name.is_empty() { part.to_owned() } else { format!("{name}.{part}") };
        let value = match value {
            serde_json::Value::Null => return,
            serde_json::Value::Bool(flag) => Value::Flag(*flag),
            serde_json::Value::Number(n) => Value::Number(n.as_f64().unwrap_or(f64::NAN)),
            serde_json::Value::String(text) => Value::Text(text.clone()),
            serde_json::Value::Array(items) => {
                return items.iter().enumerate().for_each(|(i, item)| put(under(&i.to_string()), item, into));
            }
            serde_json::Value::Object(fields) => {
                return fields.iter().for_each(|(key, item)| put(under(&snake(key)), item, into));
            }
        };
        into.0.insert(name, value);
    }
    let mut plain = Settings::default();
    put(String::new(), setup, &mut plain);
    plain
}

fn snake(pascal: &str) -> String {
    let mut out = String::new();
    for c in pascal.chars() {
        if c.is_ascii_uppercase() && !out.is_empty() {
            out.push('_');
        }
        out.push(c.to_ascii_lowercase());
    }
    out
}

/// A name's place in the settings, or one beyond them all.
pub fn place(names: &[String], name: Option<&str>) -> usize {
    names.iter().position(|known| Some(known.as_str()) == name).unwrap_or(usize::MAX)
}

/// The names that the settings give, in their order.
#[derive(Debug, Default)]
pub struct Places {
    pub products: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

impl Places {
    pub fn new(settings: &Settings) -> Places {
        let names = |of: &str, field: &str| {
            let name = |i| settings.text(&format!("{of}.{i}{field}")).to_owned();
            (0..settings.count(of)).map(name).collect()
        };
        Places {
            products: names("products", ".name"),
            tenants: names("projects", ".name"),
            zones: names("localities", ""),
            kinds: names("kinds", ""),
        }
    }

    /// A line of a server list as the module reads it.
    pub fn listing<'a>(&self, server: ServerIx, line: Line<'a>) -> Listing<'a> {
        Listing {
            server,
            name: line.name,
            zone: place(&self.zones, line.zone) as u32,
            kind: place(&self.kinds, line.kind) as u32,
            cell: line.cell.unwrap_or(u32::MAX),
            state: line.state,
            scale: line.scale.unwrap_or(1.0),
            started: line.started,
        }
    }
}

/// A line of a server list in the world's names.
pub struct Line<'a> {
    pub name: &'a str,
    pub zone: Option<&'a str>,
    pub kind: Option<&'a str>,
    pub cell: Option<u32>,
    pub state: State,
    pub scale: Option<f64>,
    pub started: Option<Time>,
}

/// Servers' ids and their indices, which are kept for the life of the instance.
#[derive(Debug, Default)]
pub struct Servers {
    indices: FxHashMap<String, ServerIx>,
    ids: Vec<String>,
}

impl Servers {
    pub fn index(&mut self, id: &str) -> ServerIx {
        if let Some(ix) = self.indices.get(id) {
            return *ix;
        }
        let ix = ServerIx(self.ids.len());
        self.ids.push(id.to_owned());
        self.indices.insert(id.to_owned(), ix);
        ix
    }

    pub fn knows(&self, id: &str) -> bool {
        self.indices.contains_key(id)
    }

    pub fn len(&self) -> usize {
        self.ids.len()
    }

    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    pub fn id(&self, ix: ServerIx) -> &str {
        self.ids.get(ix.0).map_or("", String::as_str)
    }
}

/// What is kept of each open API call, under an index that is free again once it is taken out.
#[derive(Debug)]
pub struct Calls<T> {
    records: Vec<Option<T>>,
    free: Vec<CallIx>,
}

impl<T> Default for Calls<T> {
    fn default() -> Calls<T> {
        Calls { records: Vec::new(), free: Vec::new() }
    }
}

impl<T> Calls<T> {
    pub fn put(&mut self, record: T) -> CallIx {
        let ix = self.free.pop().unwrap_or_else(|| {
            self.records.push(None);
            CallIx(self.records.len() - 1)
        });
        self.records[ix.0] = Some(record);
        ix
    }
    pub fn take(&mut self, ix: CallIx) -> Option<T> {
        let record = self.records.get_mut(ix.0)?.take()?;
        self.free.push(ix);
        Some(record)
    }
    pub fn get(&self, ix: CallIx) -> Option<&T> {
        self.records.get(ix.0)?.as_ref()
    }
    pub fn get_mut(&mut self, ix: CallIx) -> Option<&mut T> {
        self.records.get_mut(ix.0)?.as_mut()
    }
    pub fn len(&self) -> usize {
        self.records.len() - self.free.len()
    }
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
