//! What the module keeps of an API call and of a server. Plain records; `policy` decides on them.
use crate::types::*;

#[derive(Clone, Copy, PartialEq, Default)]
pub enum Place {
    #[default]
    Chain,
    Waiting,
    Queued,
    Flying,
}

#[derive(Clone, Copy, PartialEq)]
pub enum Fate {
    Out,
    NeverRan,
    MayHaveRun,
}

pub struct Shot {
    pub server: ServerIx,
    pub sent: Time,
    pub fate: Fate,
    pub further: bool,
}

#[derive(Default)]
pub struct Call {
    pub serial: u32,
    pub live: bool,
    pub ended: bool,
    pub streaming: bool,
    pub place: Place,
    pub product: usize,
    pub over: bool,
    pub write: bool,
    pub missed: bool,
    pub leads: bool,
    pub key: u64,
    pub spot: f64,
    pub arrived: Time,
    pub until: Time,
    pub due: Time,
    pub shots: Vec<Shot>,
}

impl Call {
    pub fn out(&self) -> usize {
        self.shots.iter().filter(|shot| shot.fate == Fate::Out).count()
    }
    pub fn proven_unrun(&self) -> bool {
        self.shots.iter().all(|shot| shot.fate == Fate::NeverRan)
    }
}

#[derive(Default)]
pub struct Server {
    pub state: State,
    pub origin: bool,
    pub zone: u32,
    pub cell: u32,
    pub scale: f64,
    pub started: Option<Time>,
    pub point: f64,
    pub out: u32,
    /// Since when nothing was heard although something is out.
    pub unheard: Option<Time>,
    /// What was out here when it last turned a shot away, and when that was.
    pub room: f64,
    pub full_at: Time,
    pub good: f64,
    pub bad: f64,
    pub warm: f64,
    pub warm_at: Time,
}

/// A 64-bit hash of a text: FNV-1a, then a finisher so that all bits depend on all of the text.
pub fn hash(text: &str) -> u64 {
    let mut h =
        text.bytes().fold(0xcbf29ce484222325, |h: u64, b| (h ^ u64::from(b)).wrapping_mul(0x100000001b3));
    h = (h ^ (h >> 33)).wrapping_mul(0xff51afd7ed558ccd);
    h = (h ^ (h >> 33)).wrapping_mul(0xc4ceb9fe1a85ec53);
    h ^ (h >> 33)
}

/// A hash's place on the 0–1 line.
pub fn place_on_line(h: u64) -> f64 {
    (h >> 11) as f64 / (1u64 << 53) as f64
}
