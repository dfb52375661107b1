//! What a node decides by: the project's module, and baselines beside it behind one trait. Baselines are plain: the
//! nearest textbook rule for which cache, the origin for misses and writes, another attempt where rule 2 allows it.
use std::collections::BTreeMap;

use quartzhub_policy::{
    Answers, Ask, Balancer, CallIx, Effect, Ending, Listing, Outcome, Pcg, Product, ServerIx, Settings, Span,
    State, Time,
};

pub trait Router: Sized {
    fn start<A: Answers>(&mut self, now: Time, to: &mut A);
    fn list<'a, A: Answers>(
        &mut self,
        now: Time,
        complete: bool,
        lines: impl Iterator<Item = Listing<'a>>,
        to: &mut A,
    );
    fn call<A: Answers>(&mut self, now: Time, ix: CallIx, ask: Ask, to: &mut A);
    fn withdrawn<A: Answers>(&mut self, now: Time, ix: CallIx, to: &mut A);
    fn outcome<A: Answers>(&mut self, now: Time, ix: CallIx, ending: Ending, to: &mut A);
    fn tick<A: Answers>(&mut self, now: Time, to: &mut A);
}

impl Router for Balancer {
    fn start<A: Answers>(&mut self, now: Time, to: &mut A) {
        Balancer::start(self, now, to);
    }
    fn list<'a, A: Answers>(
        &mut self,
        now: Time,
        complete: bool,
        lines: impl Iterator<Item = Listing<'a>>,
        to: &mut A,
    ) {
        Balancer::list(self, now, complete, lines, to);
    }
    fn call<A: Answers>(&mut self, now: Time, ix: CallIx, ask: Ask, to: &mut A) {
        Balancer::call(self, now, ix, ask, to);
    }
    fn withdrawn<A: Answers>(&mut self, now: Time, ix: CallIx, to: &mut A) {
        Balancer::withdrawn(self, now, ix, to);
    }
    fn outcome<A: Answers>(&mut self, now: Time, ix: CallIx, ending: Ending, to: &mut A) {
        Balancer::outcome(self, now, ix, ending, to);
    }
    fn tick<A: Answers>(&mut self, now: Time, to: &mut A) {
        Balancer::tick(self, now, to);
    }
}

/// What a baseline knows of a cache.
#[derive(Debug, Clone, Copy)]
pub struct CacheState {
    pub server: ServerIx,
    /// A hash of its id.
    pub hash: u64,
    /// Attempts out from this node.
    pub out: u32,
}

/// How a baseline picks one of the ready caches; never called with none.
pub trait Pick {
    fn pick(&self, caches: &[CacheState], key: u64, chance: &mut Pcg) -> usize;
}

fn any(count: usize, chance: &mut Pcg) -> usize {
    ((chance.unit() * count as f64) as usize).min(count - 1)
}

pub struct Random;

impl Pick for Random {
    fn pick(&self, caches: &[CacheState], _key: u64, chance: &mut Pcg) -> usize {
        any(caches.len(), chance)
    }
}

pub struct LeastInFlight;

impl Pick for LeastInFlight {
    fn pick(&self, caches: &[CacheState], _key: u64, chance: &mut Pcg) -> usize {
        // Ties are broken by chance, as all nodes would else choose alike.
        let from = any(caches.len(), chance);
        let at = |i: usize| (from + i) % caches.len();
        (0..caches.len()).map(at).min_by_key(|i| caches[*i].out).unwrap_or(0)
    }
}

/// Power of two choices (Mitzenmacher 2001).
pub struct TwoChoices;

impl Pick for TwoChoices {
    fn pick(&self, caches: &[CacheState], _key: u64, chance: &mut Pcg) -> usize {
        let (a, b) = (any(caches.len(), chance), any(caches.len(), chance));
        if caches[a].out <= caches[b].out {
            a
        } else {
            b
        }
    }
}

/// Consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam 2018): the first cache on the ring from
/// the key that has under `BOUND` times the mean in flight. One point a cache would be uneven; it has `POINTS`.
pub struct BoundedHash;

const BOUND: f64 = 1.25;
const POINTS: u64 = 40;

fn mixed(x: u64) -> u64 {
    let x = (x ^ (x >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let x = (x ^ (x >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    x ^ (x >> 33)
}

impl Pick for BoundedHash {
    fn pick(&self, caches: &[CacheState], key: u64, _chance: &mut Pcg) -> usize {
        let out: u32 = caches.iter().map(|cache| cache.out).sum();
        let most = (BOUND * f64::from(out + 1) / caches.len() as f64).ceil() as u32;
        let away = |cache: &CacheState| {
            (0..POINTS).map(|i| mixed(cache.hash ^ mixed(i)).wrapping_sub(mixed(key))).min().unwrap_or(0)
        };
        let free = (0..caches.len()).filter(|i| caches[*i].out < most);
        free.min_by_key(|i| away(&caches[*i])).unwrap_or(0)
    }
}

struct Attempt {
    server: ServerIx,
    out: bool,
    ran: bool,
}

struct Call {
    product: Product,
    key: u64,
    write: bool,
    missed: bool,
    ended: bool,
    until: Time,
    sent: Option<Time>,
    attempts: Vec<Attempt>,
}

/// A baseline.
pub struct Baseline<P> {
    pick: P,
    products: Vec<Product>,
    most: usize,
    chance: Pcg,
    caches: Vec<CacheState>,
    origin: Option<ServerIx>,
    calls: BTreeMap<CallIx, Call>,
}

impl<P: Pick> Baseline<P> {
    pub fn new(pick: P, settings: &Settings, seed: u64) -> Baseline<P> {
        Baseline {
            pick,
            products: settings.products(),
            most: settings.number("caps.most_shots", 1.0).max(1.0) as usize,
            chance: Pcg::new(seed),
            caches: Vec::new(),
            origin: None,
            calls: BTreeMap::new(),
        }
    }

    fn send_attempt<A: Answers>(&mut self, now: Time, ix: CallIx, to: &mut A) {
        let Some(call) = self.calls.get_mut(&ix) else { return };
        let window = call.sent.is_none_or(|sent| now < sent + call.product.window);
        let unrun = call.attempts.iter().all(|attempt| !attempt.ran);
        let may = match call.product.effect {
            Effect::Idempotent => true,
            Effect::Deduplicated => unrun || window,
            Effect::NonIdempotent => unrun,
        };
        let last = call.attempts.len() + 1 >= self.most && !call.attempts.is_empty();
        let server = match call.write || call.missed || last || self.caches.is_empty() {
            true => self.origin,
            false => Some(self.caches[self.pick.pick(&self.caches, call.key, &mut self.chance)].server),
        };
        match server.filter(|_| may && now < call.until && call.attempts.len() < self.most) {
            Some(server) => {
                call.sent = call.sent.or(Some(now));
                call.attempts.push(Attempt { server, out: true, ran: true });
                if let Some(cache) = self.caches.iter_mut().find(|cache| cache.server == server) {
                    cache.out += 1;
                }
                to.dispatch(ix, server, call.until, call.until);
            }
            None => {
                call.ended = true;
                let harmless = call.product.effect == Effect::Idempotent || unrun;
                if harmless {
                    to.rate_limit(ix, Some(Span::ms(100)));
                } else {
                    to.error(ix);
                }
                self.finish(ix, to);
            }
        }
    }

    fn finish<A: Answers>(&mut self, ix: CallIx, to: &mut A) {
        let Some(call) = self.calls.get(&ix).filter(|call| call.ended) else { return };
        if call.attempts.iter().all(|attempt| !attempt.out) {
            self.calls.remove(&ix);
            to.forget(ix);
            return;
        }
        for attempt in (0..call.attempts.len()).filter(|i| call.attempts[*i].out).collect::<Vec<_>>() {
            to.cancel(ix, attempt);
        }
    }
}

impl<P: Pick> Router for Baseline<P> {
    fn start<A: Answers>(&mut self, _now: Time, _to: &mut A) {}

    fn list<'a, A: Answers>(
        &mut self,
        _now: Time,
        complete: bool,
        lines: impl Iterator<Item = Listing<'a>>,
        _to: &mut A,
    ) {
        let before = self.caches.clone();
        if complete {
            self.caches.clear();
        }
        for line in lines {
            let hash = line
                .name
                .bytes()
                .fold(0xcbf2_9ce4_8422_2325u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3));
            self.caches.retain(|cache| cache.server != line.server);
            if line.kind == 1 {
                self.origin = (line.state == State::Ready).then_some(line.server);
            } else if line.state == State::Ready {
                let out =
                    before.iter().find(|cache| cache.server == line.server).map_or(0, |cache| cache.out);
                self.caches.push(CacheState { server: line.server, hash: mixed(hash), out });
            }
        }
        self.caches.sort_by_key(|cache| cache.server);
    }

    fn call<A: Answers>(&mut self, now: Time, ix: CallIx, ask: Ask, to: &mut A) {
        let product = self.products[ask.product.min(self.products.len() - 1)];
        let key = ask.key.map_or(0, |key| {
            key.bytes()
                .fold(0xcbf2_9ce4_8422_2325, |h: u64, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3))
        });
        let (until, write) = (now + ask.left, ask.write);
        let call = Call {
            product,
            key,
            write,
            missed: false,
            ended: false,
            until,
            sent: None,
            attempts: Vec::new(),
        };
        self.calls.insert(ix, call);
        self.send_attempt(now, ix, to);
    }

    fn withdrawn<A: Answers>(&mut self, _now: Time, ix: CallIx, to: &mut A) {
        if let Some(call) = self.calls.get_mut(&ix) {
            call.ended = true;
            self.finish(ix, to);
        }
    }

    fn outcome<A: Answers>(&mut self, now: Time, ix: CallIx, ending: Ending, to: &mut A) {
        let Some(call) = self.calls.get_mut(&ix) else { return };
        let Some(attempt) = call.attempts.get_mut(ending.attempt).filter(|attempt| attempt.out) else {
            return;
        };
        (attempt.out, attempt.ran) = (false, !ending.outcome.proves_it_never_ran());
        let server = attempt.server;
        call.missed |= ending.outcome == Outcome::Miss;
        call.ended |= ending.call_ended;
        let over = call.ended;
        if let Some(cache) = self.caches.iter_mut().find(|cache| cache.server == server) {
            cache.out = cache.out.saturating_sub(1);
        }
        if over {
            self.finish(ix, to);
        } else {
            self.send_attempt(now, ix, to);
        }
    }

    fn tick<A: Answers>(&mut self, _now: Time, _to: &mut A) {}
}

/// A router that breaks one rule on purpose, to see that the check on it holds.
pub struct FaultyRouter<R> {
    pub inner: R,
    pub misbehavior: Misbehavior,
    last: Option<(CallIx, ServerIx)>,
    drained: Option<ServerIx>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Misbehavior {
    AnswersTwice,
    NeverAnswers,
    RepeatsWhatRan,
    SendsToDraining,
    FloodsCold,
}

impl<R> FaultyRouter<R> {
    pub fn new(inner: R, misbehavior: Misbehavior) -> FaultyRouter<R> {
        FaultyRouter { inner, misbehavior, last: None, drained: None }
    }
}

impl<R: Router> Router for FaultyRouter<R> {
    fn start<A: Answers>(&mut self, now: Time, to: &mut A) {
        self.inner.start(now, to);
    }

    fn list<'a, A: Answers>(
        &mut self,
        now: Time,
        complete: bool,
        lines: impl Iterator<Item = Listing<'a>>,
        to: &mut A,
    ) {
        let lines: Vec<_> = lines.collect();
        let drains = lines.iter().find(|line| line.kind == 0 && line.state != State::Ready);
        self.drained = drains.map(|line| line.server).or(self.drained);
        let starts =
            lines.iter().find(|line| line.kind == 0 && line.started.is_some() && line.state == State::Ready);
        if let (Misbehavior::FloodsCold, Some(line)) = (self.misbehavior, starts) {
            self.drained = Some(line.server);
        }
        self.inner.list(now, complete, lines.into_iter(), to);
    }

    fn call<A: Answers>(&mut self, now: Time, ix: CallIx, ask: Ask, to: &mut A) {
        match (self.misbehavior, self.drained) {
            (Misbehavior::NeverAnswers, _) => {}
            (Misbehavior::AnswersTwice, _) => {
                to.error(ix);
                to.error(ix);
                to.forget(ix);
            }
            (Misbehavior::SendsToDraining | Misbehavior::FloodsCold, Some(server)) => {
                to.dispatch(ix, server, now + ask.left, now + ask.left)
            }
            _ => {
                self.inner.call(now, ix, ask, to);
            }
        }
    }

    fn withdrawn<A: Answers>(&mut self, now: Time, ix: CallIx, to: &mut A) {
        match self.misbehavior {
            Misbehavior::NeverAnswers => to.forget(ix),
            Misbehavior::AnswersTwice => {}
            _ => self.inner.withdrawn(now, ix, to),
        }
    }

    fn outcome<A: Answers>(&mut self, now: Time, ix: CallIx, ending: Ending, to: &mut A) {
        if self.misbehavior == Misbehavior::RepeatsWhatRan
            && !ending.outcome.proves_it_never_ran()
            && !ending.call_ended
        {
            if let Some((_, origin)) = self.last {
                return to.dispatch(ix, origin, now + Span::ms(100), now + Span::ms(100));
            }
        }
        self.inner.outcome(now, ix, ending, to);
    }

    fn tick<A: Answers>(&mut self, now: Time, to: &mut A) {
        self.inner.tick(now, to);
    }
}

impl<R> FaultyRouter<R> {
    /// Where repeats go.
    pub fn repeats_at(mut self, server: ServerIx) -> FaultyRouter<R> {
        self.last = Some((CallIx(0), server));
        self
    }
}
