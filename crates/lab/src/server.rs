//! Model of a cache and of the origin: cores, a queue, an LRU cache and slow start. The emulator
//! and the stub servers drive it and provide the time.
mod demand;

use std::collections::VecDeque;

use quartzhub_policy::{Span, Time};

use crate::lru::Lru;
use crate::scenario::Scenario;
pub use demand::{Demand, DemandRate};

/// The work of one attempt at a server.
#[derive(Debug, Clone, Copy)]
pub struct Job {
    /// Id that is unique in a run.
    pub id: u64,
    /// Index of the node that sent it.
    pub node: usize,
    /// Id of the API call at its node.
    pub call: u64,
    /// Index of the attempt among those of its call.
    pub attempt: usize,
    /// The key that it reads or writes.
    pub key: u64,
    /// It writes the key.
    pub write: bool,
    /// Its duration at full speed, on one core.
    pub work: Span,
    /// Its call missed at a cache that was warming up.
    pub caused_by_cold_miss: bool,
}

/// Whether a server accepts connections and responds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// Accepts requests and responds.
    Up,
    /// Accepts requests but does not respond.
    Hung,
    /// Refuses connections.
    Down,
}

/// Work sent to a server, with what rule 4 depends on.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    /// The key that it reads or writes.
    pub key: u64,
    /// It writes the key.
    pub write: bool,
    /// Its duration at full speed, on one core.
    pub base_duration: Span,
    /// Its call missed at a cache that was warming up.
    pub caused_by_cold_miss: bool,
}

/// Result of the check of a server's load when new work arrives.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LoadCheck {
    /// The server is not overloaded and admits the work.
    Admitted,
    /// The origin is overloaded and stops.
    OriginOverloaded {
        /// Fraction of its work that was caused by misses at caches that were warming up.
        caused_by_cold_miss: f64,
    },
    /// A cache that is warming up is overloaded and stops.
    ColdOverloaded,
}

impl LoadCheck {
    /// Describes the violation of rule 4, if this is one.
    pub fn violation(&self, server: usize) -> Option<String> {
        match *self {
            LoadCheck::OriginOverloaded {
                caused_by_cold_miss,
            } if caused_by_cold_miss > MAX_COLD_MISS_RATIO => Some(format!(
                "the origin stopped; {caused_by_cold_miss:.2} of its work was caused by cold misses"
            )),
            LoadCheck::ColdOverloaded => Some(format!("cache {server} was pushed over while cold")),
            _ => None,
        }
    }
}

/// An overloaded origin violates rule 4 if a greater fraction of its work than this was caused by
/// misses at caches that were warming up.
const MAX_COLD_MISS_RATIO: f64 = 0.5;
/// How long a server is down after an overload.
pub const OVERLOAD_OUTAGE: Span = Span::ms(8_000);

/// A cache or the origin.
pub struct Server {
    /// It is the origin.
    pub origin: bool,
    /// Number of cores: jobs that it runs at a time.
    pub cores: usize,
    /// Speed of each core; 1 is normal.
    pub speed: f64,
    /// Most jobs queued while all cores are busy.
    pub queue_capacity: usize,
    /// Whether it accepts connections and responds.
    pub health: Health,
    /// Factor by which a fault prolongs work; 1 without a fault.
    pub slowdown: f64,
    /// When it last restarted; none if it has run since before the simulation.
    pub started: Option<Time>,
    /// Incremented at each stop and restart; jobs and connections of an earlier incarnation are
    /// stale.
    pub incarnation: u64,
    /// The cached keys.
    pub cache: Lru,
    /// Jobs waiting for a core.
    pub queue: VecDeque<Job>,
    /// Jobs running on a core.
    pub running: Vec<Job>,
    /// Number of open connections, over all nodes.
    pub connections: usize,
    /// Work sent to it recently.
    pub demand: Demand,
    /// How long it warms up after a restart.
    pub slow_start_duration: Span,
    /// Ratio of its speed right after a restart to its full speed.
    pub cold_speed_ratio: f64,
}

impl Server {
    /// Returns the ratio of its current speed to its full speed, which depends on the time since
    /// its restart.
    pub fn speed_ratio(&self, now: Time) -> f64 {
        let Some(started) = self.started else {
            return 1.0;
        };
        let age = (now - started).seconds() / self.slow_start_duration.seconds().max(1e-6);
        (self.cold_speed_ratio + (1.0 - self.cold_speed_ratio) * age.max(0.0)).min(1.0)
    }

    /// Whether it is warming up.
    pub fn is_warming_up(&self, now: Time) -> bool {
        self.started
            .is_some_and(|started| now - started < self.slow_start_duration)
    }

    /// Returns the work that it can do per second now, in seconds of a full-speed core.
    pub fn capacity(&self, now: Time) -> f64 {
        self.cores as f64 * self.speed * self.speed_ratio(now) / self.slowdown
    }

    /// Returns how long this work takes now, on one core.
    pub fn service_time(&self, work: Span, now: Time) -> Span {
        Span(
            (work.0 as f64 * self.slowdown / (self.speed * self.speed_ratio(now)))
                .ceil()
                .max(1.0) as i64,
        )
    }

    /// Creates the origin or a cache, as the scenario describes it.
    pub fn from_scenario(scenario: &Scenario, origin: bool, speed: f64) -> Server {
        let caches = &scenario.caches;
        let (cores, queue_capacity, memory) = if origin {
            (scenario.origin.cores, scenario.origin.queue, 0)
        } else {
            (caches.cores, caches.queue, caches.memory)
        };
        Server {
            origin,
            cores,
            speed,
            queue_capacity,
            health: Health::Up,
            slowdown: 1.0,
            started: None,
            incarnation: 1,
            cache: Lru::new(memory),
            queue: VecDeque::new(),
            running: Vec::new(),
            connections: 0,
            demand: Demand::default(),
            slow_start_duration: Span::from_ms(caches.slow_start_ms),
            cold_speed_ratio: caches.cold_speed_ratio,
        }
    }

    /// Restarts it with an empty cache. A cache is cold afterwards, the origin is not.
    pub fn restart(&mut self, now: Time) {
        self.health = Health::Up;
        self.slowdown = 1.0;
        self.cache.clear();
        self.incarnation += 1;
        self.connections = 0;
        if !self.origin {
            self.started = Some(now);
        }
    }

    /// Accounts for new work and checks the load. Rule 4: a cache that is warming up stops when it
    /// is sent too much work, and so does the origin.
    pub fn admit_work(&mut self, now: Time, work: Work, scenario: &Scenario) -> LoadCheck {
        let (window_ms, max_load) = if self.origin {
            (scenario.origin.load_window_ms, scenario.origin.max_load)
        } else {
            (scenario.rules.load_window_ms, scenario.rules.max_load)
        };
        // A miss takes only the work of looking up the key.
        let miss = !self.origin && !work.write && !self.cache.contains(work.key);
        let work_ratio = if miss {
            scenario.caches.miss_work_ratio
        } else {
            1.0
        };
        let demand = self.demand.add(
            now,
            work.base_duration.times(work_ratio),
            work.caused_by_cold_miss,
            Span::from_ms(window_ms),
        );
        let overloaded = demand.rate > max_load * self.capacity(now);
        if overloaded && self.origin {
            LoadCheck::OriginOverloaded {
                caused_by_cold_miss: demand.cold_miss_ratio,
            }
        } else if overloaded && self.is_warming_up(now) {
            LoadCheck::ColdOverloaded
        } else {
            LoadCheck::Admitted
        }
    }

    /// Whether all cores are busy and the queue is full.
    pub fn is_full(&self) -> bool {
        self.running.len() >= self.cores && self.queue.len() >= self.queue_capacity
    }

    /// Takes the next job from the queue if a core is free for it.
    pub fn next_job(&mut self) -> Option<Job> {
        if self.health == Health::Up && self.running.len() < self.cores {
            self.queue.pop_front()
        } else {
            None
        }
    }

    /// Ends a running job; false if it is not running.
    pub fn finish_job(&mut self, id: u64) -> bool {
        let position = self.running.iter().position(|job| job.id == id);
        if let Some(position) = position {
            self.running.swap_remove(position);
        }
        position.is_some()
    }

    /// Records that `count` of its connections were closed.
    pub fn release_connections(&mut self, count: usize) {
        self.connections = self.connections.saturating_sub(count);
    }

    /// Stops it: discards its connections and returns the unfinished jobs.
    pub fn stop(&mut self) -> Vec<Job> {
        self.incarnation += 1;
        self.connections = 0;
        self.demand = Demand::default();
        self.running.drain(..).chain(self.queue.drain(..)).collect()
    }
}
