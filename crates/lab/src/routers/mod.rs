//! What a node decides by: the project's module, and baselines beside it behind one trait. Baselines are plain: the
//! nearest textbook rule for which cache, the origin for misses and writes, another attempt where rule 2 allows it.
mod baseline;
mod faulty;
mod pick;

use quartzhub_policy::{Answers, Ask, Balancer, CallIx, Ending, Listing, Time};

pub use baseline::Baseline;
pub use faulty::{FaultyRouter, Misbehavior};
pub use pick::{BoundedHash, CacheState, LeastInFlight, Pick, Random, TwoChoices};

/// What a node asks where each API call is to go; it answers by calling `Answers`.
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
