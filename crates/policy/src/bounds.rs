//! Bounds that stages go by: how often the list is asked for, an adaptive limit on what is out, single keys,
//! and the budget of further shots. Part of the module; constants of the stages stand in policy.rs.
use crate::pcg::Pcg;
use crate::policy::*;
use crate::state::*;
use crate::types::*;

/// API calls and further shots that a budget counts; forgetting older calls only narrows it.
pub(crate) const COUNTED: usize = 1 << 16;
/// Keys: records kept, for how long, how fast they fade, in seconds, and what weighs against one.
const KEYS_MOST: usize = 256;
const KEY_KEPT: Span = Span::ms(15_000);
const KEY_HALF_LIFE: f64 = 5.0;
const KEY_PRIOR: f64 = 2.0;
/// Its shots out at the start of its limit, and the least.
const KEY_START: f64 = 1.0;
const KEY_LEAST: f64 = 0.02;
/// Asking for the list: parts of the time within which to ask over which nodes spread, at first and later.
const ASK_SPREAD: f64 = 0.5;
const ASK_LATER: f64 = 2.0;
const ASK_LATER_MOST: u32 = 2;

// ---- Roster: the list where it has to be asked for -----------------------------------------------

impl Roster {
    /// Guards against a list service that answers few at a time: nodes that start or lose their subscription
    /// at one moment ask spread out, and seldomer the more tries failed.
    pub(crate) fn put_off(&mut self, now: Time, chance: &mut Pcg) {
        let longer = ASK_LATER.powi(self.failed.min(ASK_LATER_MOST) as i32);
        self.next = now + self.within.times(ASK_SPREAD * longer * chance.unit());
    }

    /// News came: the first after asking says that changes will come by themselves.
    pub(crate) fn heard(&mut self) {
        (self.watched, self.failed) = (self.asked, 0);
    }

    /// A try failed, or the subscription broke; which one is not told.
    pub(crate) fn failed(&mut self, now: Time, chance: &mut Pcg) {
        (self.asked, self.watched, self.failed) = (false, false, self.failed + 1);
        self.put_off(now, chance);
    }

    pub(crate) fn tick(&mut self, now: Time, to: &mut impl Answers) {
        if self.asks && !self.watched && now >= self.next {
            (self.asked, self.next) = (true, now + self.within);
            to.watch();
        }
    }
}

// ---- Gate: an adaptive limit on what is out, under one place a rate ------------------------------

impl Gate {
    /// Under few places the limit is a rate of shots, too: hundreds of nodes have a place each.
    pub(crate) fn room(&self, now: Time) -> bool {
        f64::from(self.out) < self.limit.floor() || self.limit < ORIGIN_SAVED && self.saved(now) >= 1.0
    }

    pub(crate) fn saved(&self, now: Time) -> f64 {
        (self.saved + (now - self.saved_at).0 as f64 * self.limit / self.target).min(ORIGIN_SAVED)
    }

    pub(crate) fn take(&mut self, now: Time) {
        self.out += 1;
        (self.saved, self.saved_at) = ((self.saved(now) - 1.0).max(0.0), now);
    }

    /// How an answer went: what it left of the time aimed at, as a part of it; below 0 it took longer, or was
    /// lost.
    pub(crate) fn ended(&mut self, spare: f64) {
        if spare < 0.0 || self.pressed || self.limit < ORIGIN_SAVED {
            let step = ORIGIN_STEP.min(ORIGIN_PART * self.limit);
            self.limit = (self.limit + step * spare.max(-1.0)).max(self.least);
        }
    }

    /// Guards against what slows at once: late shots count before their answers come.
    pub(crate) fn late(&mut self, now: Time) {
        self.ended(-1.0);
        (self.saved, self.saved_at) = (0.0, now);
    }

    /// Guards against answers that are far between at hundreds of nodes.
    pub(crate) fn regrow(&mut self, passed: f64) {
        if self.limit < 1.0 {
            self.limit *= 1.0 + passed / ORIGIN_DOUBLES;
        }
    }
}

// ---- Keys: what is believed of single keys ------------------------------------------------------

impl Keys {
    /// How a shot went. Only what goes badly begins a record, so that few keys have one.
    pub(crate) fn settle(&mut self, key: u64, at: ServerIx, good: bool, now: Time) {
        if !self.records.contains_key(&key) && (good || self.records.len() >= KEYS_MOST) {
            return;
        }
        let record = self.records.entry(key).or_default();
        let kept = 0.5f64.powf((now - record.at).seconds() / KEY_HALF_LIFE);
        (record.good, record.bad, record.at) = (record.good * kept, record.bad * kept, now);
        record.spread |= !good && record.bad > 0.0 && record.last != at;
        match good {
            true => record.good += 1.0,
            false => (record.bad, record.last) = (record.bad + 1.0, at),
        }
    }

    /// Guards against a key that goes badly wherever it is asked, as behind a lock: its calls that wait, and
    /// those nobody waits for any more, fill the caches. It gets a limit of its own.
    pub(crate) fn suspect(&mut self, key: u64, success: f64, target: f64, now: Time) {
        let Some(record) = self.records.get_mut(&key).filter(|record| record.gate.is_none()) else { return };
        let mean = (record.good + KEY_PRIOR * success) / (record.good + record.bad + KEY_PRIOR);
        if record.spread && mean < DOUBT * success {
            record.gate =
                Some(Gate { limit: KEY_START, least: KEY_LEAST, saved_at: now, target, ..Gate::default() });
        }
    }

    pub(crate) fn gate(&mut self, key: u64) -> Option<&mut Gate> {
        self.records.get_mut(&key).and_then(|record| record.gate.as_mut())
    }

    pub(crate) fn gated(&self, key: u64) -> bool {
        self.records.get(&key).is_some_and(|record| record.gate.is_some())
    }

    pub(crate) fn tick(&mut self, passed: f64, now: Time) {
        self.records.retain(|_, record| {
            record.gate.iter_mut().for_each(|gate| gate.regrow(passed));
            now - record.at < KEY_KEPT
        });
    }
}

// ---- Budget: further shots, where the settings limit them ----------------------------------------

impl Budget {
    pub(crate) fn took(&mut self, now: Time) {
        if self.span > Span::ZERO {
            self.calls.push_back(now);
            self.calls.drain(..self.calls.len().saturating_sub(COUNTED));
            let span = self.span;
            let old = |at: &Time| now - *at > span;
            self.calls.drain(..self.calls.partition_point(old));
            self.further.drain(..self.further.partition_point(old));
        }
    }

    /// A miss lets its call have a shot outside the budget; one sent since the news came was that shot.
    pub(crate) fn missed(&mut self, call: &mut Call, now: Time) {
        match call.shots.last_mut().filter(|shot| shot.charged && shot.sent == now) {
            Some(shot) => {
                shot.charged = false;
                self.further.pop_back();
            }
            None => call.excused += 1,
        }
    }

    /// Charges a shot made now, if there is a budget and nothing excuses it.
    pub(crate) fn charges(&mut self, call: &mut Call, now: Time) -> bool {
        let charged = self.span > Span::ZERO && !call.shots.is_empty() && call.excused == 0;
        call.excused = call.excused.saturating_sub(1);
        self.further.extend(charged.then_some(now));
        charged
    }

    /// Whether one more may be made now: both ends of the window are counted to the budget's disadvantage.
    pub(crate) fn allows(&self, now: Time) -> bool {
        let calls = self.calls.len() - self.calls.partition_point(|at| now - *at >= self.span);
        let further = self.further.len() - self.further.partition_point(|at| now - *at > self.span);
        let room = further < COUNTED && further as f64 + 1.0 <= self.free + self.ratio * calls as f64;
        self.span == Span::ZERO || room
    }
}
