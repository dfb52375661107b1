//! All decisions of one quartzhub node, and nothing else.
//!
//! How to call it: make a `Balancer` from settings and a seed, call `start` once, then hand over what happens
//! by the `impl Balancer` block headed "Interface". What the node must do in return is called on `Answers`
//! given along (types.rs); nothing is returned.
//!
//! An API call passes Admission, Coalescing, Line (asking Health for each cache), Origin and Shots; a stage
//! passes it on, keeps it or ends it, and outcomes run back. Only `shoot` dispatches and checks rules 1 to 3.

use rand_distr::{Beta, Distribution};

use crate::pcg::Pcg;
use crate::state::*;
use crate::types::*;

// ---- Constants ----------------------------------------------------------------------------------

/// Part of the way to a sent key's place that a point moves: the design's start, 1/L for a hundred keys.
const ALPHA: f64 = 0.01;
/// Shots out: a cache with this many or fewer is never skipped. The design's floor; one in work, one waiting.
const SKIP_FLOOR: f64 = 2.0;
/// Multiple of this node's mean in-flight per cache above which a cache is skipped. The design's factor.
const SKIP_FACTOR: f64 = 2.0;
/// Caches that are put in order before it is seen whether more are needed.
const NEAREST: usize = 8;
/// The golden section: steps of it stay evenly spread, however many.
const GOLDEN: f64 = 0.618_034;
/// Part of the caches that may stay connected idle: factors for a refused and an answered shot; the least.
const REACH_CUT: f64 = 0.85;
const REACH_GROWTH: f64 = 1.002;
const REACH_LEAST: f64 = 0.01;
/// A connection last used within this time is about to be used again at a node of many calls.
const SOON: Span = Span::ms(100);
/// How long a connection stays open unused where the settings do not say.
pub(crate) const KEEPALIVE: Span = Span::ms(15_000);
/// The one timer's period: a small part of the shortest SLO seen in service, and cheap at 50 a second.
const TICK: Span = Span::ms(20);
/// Seconds in which what was learnt of a server loses half its weight: short against troubles.
const MEMORY_HALF_LIFE: f64 = 2.0;
/// At nodes of few calls it is the time in which a server gives so many answers, up to so many seconds.
const MEMORY_ANSWERS: f64 = 3.0;
const MEMORY_LONGEST: f64 = 10.0;
/// Outcomes: most evidence kept on a server; one odd answer in twenty says little, ten in a row say it all.
const EVIDENCE: f64 = 20.0;
/// Chance of success a doubtful server must draw to be given work: better than even.
const TRUST: f64 = 0.5;
/// Outcomes that the fleet's own success weighs against a server's.
const PRIOR: f64 = 1.0;
/// Part of the fleet's own success under which a server is doubtful, so that a common trouble blames nobody.
pub(crate) const DOUBT: f64 = 0.7;
/// Multiple of the median answer time without any word from a server with shots out that makes it silent.
const SILENT_FACTOR: f64 = 6.0;
/// Multiple of the 95th percentile of answer times after which an answer is taken for lost.
const LOST_AFTER: f64 = 1.5;
/// Median answer times after which a cache that was full is taken to have one more place.
const FREED_AFTER: f64 = 2.0;
/// Parts of the SLO between which the wait before a further shot lies: earlier is waste, later is too late.
const FURTHER_FROM: f64 = 0.125;
const FURTHER_TO: f64 = 0.5;
/// Further shots earned by a first shot when none, and when all, of the recent ones succeeded.
const FURTHER_LEAST: f64 = 0.01;
const FURTHER_MOST: f64 = 0.2;
/// Further shots that may be saved up: enough for the calls caught on one failing server.
const FURTHER_SAVED: f64 = 10.0;
/// Weight of one more sample in running means and quantiles: about the last twenty samples.
const MEAN_STEP: f64 = 0.05;
/// Part of its plain share of traffic that a fully warm server could get under the warm-up budget.
const WARM_SHARE: f64 = 0.8;
/// Shots: what the warm-up budget may save up, so that no burst spends the fall line at once.
const WARM_SAVED: f64 = 2.0;
/// Shots out at the origin: at the start, from one node at most and from all together; at least, from all.
const ORIGIN_START: f64 = 4.0;
const ORIGIN_START_ALL: f64 = 200.0;
pub(crate) const ORIGIN_LEAST: f64 = 2.0;
/// Part of the SLO that the origin's answers may take: the rest is for the cache asked first and the wait.
pub(crate) const ORIGIN_TARGET: f64 = 0.4;
/// Multiple of its calm time that an answer may always take: half of it is then spent in queue.
const ORIGIN_STRAINED: f64 = 2.0;
/// Growth of the calm time's estimate an answer, so that an origin slowed for good is taken as it is.
const ORIGIN_DRIFT: f64 = 1.002;
/// Change of the limit for an answer in no time, or in twice the target: in places, or as a part of few.
pub(crate) const ORIGIN_STEP: f64 = 0.25;
pub(crate) const ORIGIN_PART: f64 = 0.5;
/// Seconds in which a limit under one place doubles by itself: at hundreds of nodes answers are far between.
pub(crate) const ORIGIN_DOUBLES: f64 = 4.0;
/// Shots that a node with few places may save up: misses come in twos and threes.
pub(crate) const ORIGIN_SAVED: f64 = 2.0;
/// Part of the SLO that an API call may be kept waiting with nothing sent.
const PATIENCE: f64 = 0.5;
/// Seconds of quota that a tenant may save up, under a burst; and at least, in calls, to tell it from chance.
pub(crate) const QUOTA_SAVED: f64 = 2.0;
pub(crate) const QUOTA_LEAST: f64 = 6.0;
/// Answers a second from which a node's own means over time say enough.
const ENOUGH: f64 = 16.0;
/// Seconds over which a node's own traffic is meant, long against a burst; and its usual part of all shares.
const QUOTA_MEMORY: f64 = 20.0;
const QUOTA_USUAL: f64 = 2.0;
/// Share of full answers, and wait at the caches over the shortest SLO, at which over-share work is shed.
const STRAIN_OVER: f64 = 0.06;
const CROWDED_OVER: f64 = 0.3;
/// Part of the SLO past which an answer is slow, and the wait at the caches sheds in-share work, all at one.
const CROWDED: f64 = 0.5;
/// Change of a shedding level a tick, up and down: full in about half a second, gone in two.
const SHED_UP: f64 = 0.04;
const SHED_DOWN: f64 = 0.01;
/// How long the record of a gone server is kept: longer than a restart, so that it finds its point again.
const GONE_KEPT: Span = Span::ms(30_000);
/// Time kept in hand before a deduplication window closes: one round and a network delay.
const WINDOW_MARGIN: Span = Span::ms(20);

// ---- Admission: tenant share and overload -------------------------------------------------------

impl Admission {
    /// How far beyond its tenant's share at this node this call is: 0 within it, 1 at twice it or more.
    /// Guards against nodes so many that a tenant's part at one is under a call a second, and against a front
    /// that sends a quarter of all traffic to one node, which then carries others' part of each share too.
    fn beyond_share(&mut self, tenant: usize, lost: f64, now: Time) -> f64 {
        let Some(tenant) = self.tenants.get_mut(tenant).filter(|t| t.per_s > 0.0) else { return lost };
        let since = (now - self.at).seconds();
        let kept = (-since / QUOTA_MEMORY).exp();
        self.rate = self.rate * kept + 1.0 / QUOTA_MEMORY;
        self.heard = self.heard * kept + 1.0 - kept;
        self.at = now;
        let usual = QUOTA_USUAL * self.rate / self.heard.max(0.1);
        let per_s = tenant.per_s * (usual / self.quota).max(1.0);
        let (passed, memory) = ((now - tenant.at).seconds(), (QUOTA_LEAST / per_s).max(QUOTA_SAVED));
        tenant.at = now;
        tenant.rate = tenant.rate * (-passed / memory).exp() + 1.0 / memory;
        tenant.saved = (tenant.saved + passed * per_s).min(per_s * memory);
        if lost > 0.0 {
            return lost;
        }
        if tenant.saved >= 1.0 {
            tenant.saved -= 1.0;
            return 0.0;
        }
        (tenant.rate / per_s - 1.0).clamp(0.05, 1.0)
    }

    /// `crowding`: the wait at the caches as a part of the SLO; outcomes tell of queues when it is too late.
    fn admit(&self, beyond: f64, crowding: f64, chance: &mut Pcg) -> Step {
        let crowded = (crowding - CROWDED) / (1.0 - CROWDED);
        match chance.unit() < crowded.max(self.level * beyond) {
            true => Step::End,
            false => Step::Pass,
        }
    }

    fn settle_shot(&mut self, strained: bool) {
        self.strain += MEAN_STEP * (f64::from(u8::from(strained)) - self.strain);
    }

    fn tick(&mut self, crowding: f64) {
        let strained = self.strain > STRAIN_OVER || crowding > CROWDED_OVER;
        self.level = (self.level + if strained { SHED_UP } else { -SHED_DOWN }).clamp(0.0, 1.0);
    }
}

// ---- Coalescing: one origin fetch a key ---------------------------------------------------------

impl Coalescing {
    /// Keeps a read whose key is being fetched by another API call.
    fn keep(&mut self, ix: CallIx, call: &Call) -> Step {
        match self.fetches.get_mut(&call.key) {
            Some(fetch) if fetch.leader != ix => {
                fetch.waiters.push((ix, call.serial));
                Step::Keep
            }
            _ => Step::Pass,
        }
    }
}

// ---- Line: DEMA ---------------------------------------------------------------------------------

impl Line {
    /// Guards against the uneven ranges of hashed seeds, which a small alpha takes minutes to even out: at
    /// the first list, points start where even keys would bring them. Golden-section steps keep any run of
    /// caches even too.
    fn settle(&self, servers: &mut [Server]) {
        let mut ranked = self.caches.clone();
        ranked.sort_by_key(|ix| (servers[ix.0].zone, servers[ix.0].seed.to_bits()));
        let step = |(rank, ix): (usize, &ServerIx)| ((rank as f64 * GOLDEN).fract(), *ix);
        let mut order: Vec<_> = ranked.iter().enumerate().map(step).collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (place, (_, ix)) in order.iter().enumerate() {
            servers[ix.0].point = (place as f64 + 0.5) / order.len() as f64;
        }
    }

    /// Guards against more nodes than a cache takes connections: a node that was refused one leaves fewer
    /// idle, the longest unused closed first. Every cache keeps its range, so that keys stay where they are.
    fn let_go(&self, servers: &mut [Server], now: Time, to: &mut impl Answers) {
        if self.reach >= 1.0 {
            return;
        }
        let idle = |ix: &&ServerIx| servers[ix.0].idle(now, self.keepalive);
        let mut held: Vec<ServerIx> = self.caches.iter().filter(idle).copied().collect();
        held.sort_by_key(|ix| servers[ix.0].used);
        let over = held.len().saturating_sub((self.reach * self.caches.len() as f64) as usize);
        for ix in held.into_iter().take(over) {
            if now - servers[ix.0].used > SOON {
                servers[ix.0].linked = false;
                to.close(ix);
            }
        }
    }

    /// The part of an SLO, beyond what an answer takes in calm, that a shot now sent must expect to wait: by
    /// Little's law, out at sound caches over answers a second. Guards against nodes of few calls, where one
    /// shot out looks like a crowd (there the mean of what was out counts), and work as long as the SLO.
    fn crowding(&self, slo: Span) -> f64 {
        let pace = self.pace();
        let out = pace * f64::from(self.out) * self.heard + (1.0 - pace) * self.mean_out;
        let (calm, slo) = (self.calm.1 / 1e6, slo.seconds());
        (out / self.done_rate.max(0.2) - calm) / (slo - calm).max(0.25 * slo)
    }

    /// How fast means over time may go here, so that each still holds enough answers.
    fn pace(&self) -> f64 {
        (self.done_rate / (self.heard * ENOUGH).max(0.1)).clamp(0.1, 1.0)
    }

    /// The nearest point wins unless its cache is over the skip line or Health refuses it; the winner's point
    /// moves. Caches that had this call are passed over.
    fn pick(
        &mut self,
        servers: &mut [Server],
        health: &Health,
        call: &Call,
        now: Time,
        chance: &mut Pcg,
    ) -> Option<ServerIx> {
        self.order.clear();
        self.order.extend(self.caches.iter().map(|ix| ((servers[ix.0].point - call.spot).abs(), *ix)));
        // All but a few calls end within the nearest, and so they alone are put in order at first.
        let nearer = |a: &(f64, ServerIx), b: &(f64, ServerIx)| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1));
        let near = self.order.len().min(NEAREST);
        if near < self.order.len() {
            self.order.select_nth_unstable_by(near, nearer);
        }
        self.order[..near].sort_unstable_by(nearer);
        let out: u32 = self.caches.iter().map(|ix| servers[ix.0].out).sum();
        let skip = (SKIP_FACTOR * f64::from(out) / self.caches.len().max(1) as f64).max(SKIP_FLOOR);
        let mut second = None;
        for i in 0..self.order.len() {
            if i == near {
                self.order[near..].sort_unstable_by(nearer);
            }
            let ix = self.order[i].1;
            let server = &mut servers[ix.0];
            let full = f64::from(server.out) + 1.0 > server.room + health.freed(server, now);
            let had = call.shots.iter().any(|shot| shot.server == ix);
            if f64::from(server.out) > skip || full || had || !health.warm_enough(server, self, now) {
                continue;
            }
            if health.trusts(server, now, chance) {
                second = Some(ix);
                break;
            }
            // Guards against a fleet in which every cache is doubtful: the nearest of them is still used.
            second = second.or(Some(ix));
        }
        let server = &mut servers[second?.0];
        server.point += ALPHA * (call.spot - server.point);
        second
    }
}

// ---- Health: what is believed of each cache -----------------------------------------------------

impl Health {
    /// How many times the silence to be feared of a good cache this one's has lasted.
    fn silence(&self, server: &Server, now: Time) -> f64 {
        let feared = (SILENT_FACTOR * self.median).max(self.tail).min(FURTHER_TO * self.longest);
        server.unheard.map_or(0.0, |since| (now - since).0 as f64 / feared)
    }

    /// Guards against storms at full caches: what one had then is its room, and more for each two answer
    /// times.
    fn freed(&self, server: &Server, now: Time) -> f64 {
        (now - server.full_at).0 as f64 / (FREED_AFTER * self.median)
    }

    fn doubtful(&self, server: &Server, now: Time) -> bool {
        let mean = (server.good + PRIOR * self.success) / (server.good + server.bad + PRIOR);
        mean < DOUBT * self.success || self.silence(server, now) > 1.0
    }

    /// A doubtful cache is drawn from the posterior of its chance of success: rarely used, never forgotten.
    fn trusts(&self, server: &Server, now: Time, chance: &mut Pcg) -> bool {
        if !self.doubtful(server, now) {
            return true;
        }
        // Guards against a long good record that vouches for a cache which has just hung.
        let silence = self.silence(server, now).max(1.0);
        let unheard = if silence > 1.0 { silence * f64::from(server.out) } else { 0.0 };
        let posterior = Beta::new(server.good / silence + 1.0, server.bad + unheard + 1.0);
        posterior.is_ok_and(|beta| beta.sample(chance) > TRUST)
    }

    fn warmth(&self, started: Option<Time>, now: Time) -> f64 {
        let Some(started) = started else { return 1.0 };
        let age = (now - started).seconds().max(0.0) / self.warm_within.seconds().max(1e-6);
        (self.cold_from + (1.0 - self.cold_from) * age).min(1.0)
    }

    /// Refills a cold cache's budget, and tells whether it covers one more shot: what a cache answers of
    /// this node's shots on average, cut by the stated warm-up; sends are many times that in a storm of
    /// full boxes.
    fn warm_enough(&self, server: &mut Server, line: &Line, now: Time) -> bool {
        let warmth = self.warmth(server.cold_at, now);
        if warmth >= 1.0 {
            return true;
        }
        let passed = (now - server.warm_at).seconds().clamp(0.0, 1.0);
        let share = line.done_rate / line.caches.len().max(1) as f64;
        server.warm =
            (server.warm + passed * share * warmth * WARM_SHARE * server.scale.min(1.0)).min(WARM_SAVED);
        server.warm_at = now;
        server.warm >= 1.0
    }

    fn settle(&mut self, server: &mut Server, ending: &Ending, slo: Span, blamed: bool, now: Time) {
        use Outcome::*;
        let took = ending.took.0 as f64;
        let answered = matches!(ending.outcome, Fulfilled | Miss | Full | Broken);
        if answered || server.out == 0 {
            server.unheard = (server.out > 0).then_some(now);
        }
        if matches!(ending.outcome, Fulfilled | Miss) {
            self.median += MEAN_STEP * self.median * if took > self.median { 0.5 } else { -0.5 };
            self.tail += MEAN_STEP * self.tail * if took > self.tail { 0.95 } else { -0.05 };
        }
        let slow = took > (CROWDED * slo.0 as f64).max(self.tail);
        if ending.outcome == Full {
            (server.room, server.full_at) = (f64::from(server.out), now);
        }
        if matches!(ending.outcome, Full | TooLate) || (ending.outcome == Cancelled && !slow) {
            return;
        }
        let good = matches!(ending.outcome, Fulfilled | Miss) && !slow;
        // Guards against blaming a cache for a key that goes badly everywhere.
        if blamed && !good {
            return;
        }
        *(if good { &mut server.good } else { &mut server.bad }) += 1.0;
        let shrink = EVIDENCE / (server.good + server.bad).max(EVIDENCE);
        server.good *= shrink;
        server.bad *= shrink;
        self.success += 0.2 * MEAN_STEP * (f64::from(u8::from(good)) - self.success);
    }
}

// ---- Origin: an adaptive limit and a short queue ------------------------------------------------

impl Origin {
    /// Whether there is a place for a read that has not missed: one that no miss or write waits for.
    fn free(&self, now: Time) -> bool {
        self.gate.room(now) && self.queue.is_empty() && !self.servers.is_empty()
    }

    /// The wait that a newcomer behind `ahead` others has before it.
    fn wait(&self, ahead: usize) -> Span {
        Span((self.times[0].0 * (ahead + 1) as f64 / self.gate.limit) as i64)
    }

    /// The answer time aimed at. Guards against a spiral: writes take longer by nature, and where few reads
    /// get through they would read as strain; so no kind is held to less than twice its own calm time.
    fn aim(&self, slo: Span, write: bool) -> f64 {
        (ORIGIN_TARGET * slo.0 as f64).max(ORIGIN_STRAINED * self.times[usize::from(write)].1)
    }

    /// Steers the limit so that an origin that is slow, yet in time, is used to the full.
    fn settle(&mut self, ending: &Ending, slo: Span, write: bool) {
        use Outcome::*;
        let took = ending.took.0 as f64;
        match ending.outcome {
            Fulfilled | Miss | Broken => {
                let (mean, calm) = &mut self.times[usize::from(write)];
                *mean += 2.0 * MEAN_STEP * (took - *mean);
                *calm = (*calm * ORIGIN_DRIFT).min(*mean);
                // One that took longer was counted when it was late.
                let spare = 1.0 - took / self.aim(slo, write);
                if spare > 0.0 {
                    self.gate.ended(spare);
                }
                self.gate.pressed = !self.queue.is_empty();
            }
            Full | TimedOut | Unreachable | Reset => self.gate.ended(-1.0),
            _ => {}
        }
    }
}

// ---- Shots: what settings allow, and how far further shots pay ----------------------------------

impl Shots {
    /// Rules 1 and 2: whether this call may have a shot at this server now.
    fn allows(&self, call: &Call, servers: &[Server], to: ServerIx, now: Time) -> bool {
        let product = &call.product;
        let room = call.shots.len() < call.most && (self.may_duplicate || call.out() == 0);
        if call.ended || call.streaming || now >= call.until || !room || !self.affords(call, now) {
            return false;
        }
        let ran = call.shots.iter().find(|shot| shot.fate != Fate::NeverRan);
        let Some(ran) = ran else { return true };
        let (a, b) = (&servers[ran.server.0], &servers[to.0]);
        match product.effect {
            Effect::Idempotent => true,
            Effect::NonIdempotent => false,
            Effect::Deduplicated => {
                now + WINDOW_MARGIN < ran.sent + product.window
                    && match product.scope {
                        Scope::All => true,
                        Scope::Zone => a.zone == b.zone,
                        Scope::Cell => a.cell == b.cell,
                        Scope::One => ran.server == to,
                    }
            }
        }
    }

    /// The budget of further shots, where there is one; a miss earns its call one outside it.
    fn affords(&self, call: &Call, now: Time) -> bool {
        call.shots.is_empty() || call.excused > 0 || self.budget.allows(now)
    }

    /// Rule 2: a rate-limit reply says that trying again does no harm.
    fn may_rate_limit(&self, call: &Call) -> bool {
        let product = &call.product;
        let free = product.effect == Effect::Idempotent
            || (product.effect == Effect::Deduplicated && product.scope == Scope::All);
        free || call.proven_unrun()
    }

    /// Whether a further shot may be made: they are earned by first shots, more when recent ones succeeded.
    fn further(&mut self) -> bool {
        let may = self.may_duplicate && self.saved >= 1.0;
        self.saved -= f64::from(u8::from(may));
        may
    }

    fn earn(&mut self) {
        let rate = FURTHER_LEAST + (FURTHER_MOST - FURTHER_LEAST) * self.success;
        self.saved = (self.saved + rate).min(FURTHER_SAVED);
    }
}

// ---- The node -----------------------------------------------------------------------------------

/// Interface.
impl Balancer {
    /// What is taken for the origin's figures before it has answered.
    pub(crate) fn origin_afresh(&mut self) {
        let target = self.origin.gate.target;
        self.origin.gate.limit = (ORIGIN_START_ALL / self.nodes).min(ORIGIN_START);
        self.origin.times = [0.5, 1.0].map(|part| (target, target * part));
        self.origin.gate.saved = ORIGIN_SAVED;
    }

    /// The same for the caches', as one fleet.
    pub(crate) fn caches_afresh(&mut self) {
        let shortest = self.shortest.0 as f64;
        (self.line.calm, self.line.reach) = ((shortest * FURTHER_TO, shortest * FURTHER_TO), 1.0);
        (self.health.median, self.health.tail) = (shortest * FURTHER_FROM, shortest * FURTHER_TO);
        (self.health.success, self.shots.saved, self.shots.success) = (1.0, 1.0, 0.5);
    }

    pub fn start(&mut self, now: Time, to: &mut impl Answers) {
        (self.now, self.ticked, self.admission.at) = (now, now, now);
        if self.roster.asks {
            self.roster.put_off(now, &mut self.chance);
        }
        to.wake(TICK);
    }

    /// No list came of asking for it, or none will come any more; the one held stays.
    pub fn list_failed(&mut self, now: Time) {
        self.roster.failed(now, &mut self.chance);
    }

    /// News of the list. `complete`: what is not named is gone.
    pub fn list<'a>(
        &mut self,
        now: Time,
        complete: bool,
        lines: impl Iterator<Item = Listing<'a>>,
        to: &mut impl Answers,
    ) {
        self.now = now;
        self.roster.heard();
        if complete {
            self.servers.iter_mut().for_each(|server| server.state = State::Gone);
        }
        let (mut known, mut first) = ([None; 2], self.line.caches.is_empty());
        for line in lines {
            let at = line.server.0;
            self.servers.resize_with(self.servers.len().max(at + 1), Server::unknown);
            let server = &mut self.servers[at];
            let restarted = server.started != line.started;
            if restarted || line.state != State::Ready {
                // Guards against taking a dead cache for a full one: what it cost in reach is given back.
                let refused = std::mem::take(&mut server.refused);
                self.line.reach = (self.line.reach / REACH_CUT.powi(refused as i32)).min(1.0);
            }
            let origin = self.aside && f64::from(line.kind) == self.origin_kind;
            if line.state == State::Ready {
                let known = &mut known[usize::from(origin)];
                *known = Some(*known == Some(true) || server.seed != 0.0);
            }
            // One that comes back finds its place again; only one never seen is seeded.
            if server.seed == 0.0 {
                server.seed = place_on_line(hash(line.name));
                server.point = server.seed;
            }
            if restarted {
                (server.good, server.bad, server.unheard, server.room) = (0.0, 0.0, None, f64::INFINITY);
                (server.warm, server.warm_at) = (0.0, now);
                // Guards against stamps of clocks that differ: it started before it was first named here.
                let latest = |at: Time| at.max(now.min(at + self.stamp_off));
                server.cold_at = line.started.map(latest);
            }
            (server.state, server.origin) = (line.state, origin);
            (server.zone, server.cell, server.started) = (line.zone, line.cell, line.started);
            server.scale = if line.scale > 0.0 { line.scale } else { 1.0 };
        }
        let fits = |s: &Server, origin: bool| s.state == State::Ready && s.origin == origin;
        let each = || self.servers.iter().enumerate().map(|(i, server)| (ServerIx(i), server));
        let ready = |origin| each().filter(|(_, s)| fits(s, origin)).map(|(ix, _)| ix).collect::<Vec<_>>();
        (self.origin.servers, self.line.caches) = (ready(true), ready(false));
        // Guards against figures of servers that are all others now: what is left of a move is the traffic.
        if complete && known[1] == Some(false) {
            self.origin_afresh();
        }
        if complete && known[0] == Some(false) {
            self.caches_afresh();
            first = true;
        }
        if first {
            self.line.settle(&mut self.servers);
        }
        self.pump(to);
    }

    pub fn call(&mut self, now: Time, ix: CallIx, ask: Ask, to: &mut impl Answers) {
        self.now = now;
        self.run_due(to);
        self.calls.resize_with(self.calls.len().max(ix.0 + 1), Call::default);
        let key = ask.key.map_or_else(|| (self.chance.unit() * 2f64.powi(53)) as u64, hash);
        // Guards against tries that come back late already: a marked repeat does not draw on the share, and
        // yields by the part of its value that is lost when late.
        let product = self.products[ask.product.min(self.products.len() - 1)];
        let lost = if ask.repeat { 1.0 - product.late_value } else { 0.0 };
        let beyond = self.admission.beyond_share(ask.tenant, lost, now);
        self.serial = self.serial.wrapping_add(1);
        let call = &mut self.calls[ix.0];
        (call.serial, call.live, call.ended, call.streaming) = (self.serial, true, false, false);
        (call.place, call.product, call.over, call.write) = (Place::Chain, product, beyond > 0.0, ask.write);
        (call.missed, call.leads, call.gated, call.key) = (false, false, false, key);
        call.spot = place_on_line(key);
        // Guards against clients whose clocks differ: what is left is at most the product's time.
        let left = ask.left.max(product.timeout.min(ask.left + self.drift));
        (call.until, call.due, call.excused) = (now + left, now, 0);
        call.most = self.shots.most;
        call.shots.clear();
        self.shots.budget.took(now);
        let slo = product.slo;
        let at_line = !(ask.write && self.aside);
        if let Some(gate) = self.keys.gate(key).filter(|_| at_line) {
            call.gated = gate.room(now);
            gate.pressed = !call.gated;
            match call.gated {
                true => gate.take(now),
                false => return self.give_up(ix, to),
            }
        }
        let crowding = if at_line { self.line.crowding(slo) } else { 0.0 };
        match self.admission.admit(beyond, crowding, &mut self.chance) {
            // Guards against refusing reads in a crowd at the caches while the origin has places free.
            Step::End if at_line && beyond <= 0.0 && self.origin.free(now) => self.enter_origin(ix, to),
            Step::End => self.give_up(ix, to),
            _ => self.coalesce(ix, to),
        }
    }

    /// A streamed answer has begun; the call is the client's now and has no due time left.
    pub fn first_byte(&mut self, now: Time, ix: CallIx, shot: usize, to: &mut impl Answers) {
        self.now = now;
        let Some(call) = self.calls.get_mut(ix.0).filter(|call| call.live) else { return };
        call.streaming = true;
        self.call_off(ix, Some(shot), to);
    }

    /// The client left; nothing is owed any more.
    pub fn withdrawn(&mut self, now: Time, ix: CallIx, to: &mut impl Answers) {
        self.now = now;
        if self.calls.get(ix.0).is_some_and(|call| call.live && !call.ended) {
            self.end(ix, false, to);
        }
    }

    /// How many ready caches are doubtful now, and so are mostly passed over.
    pub fn avoided(&self, now: Time) -> usize {
        let ready = self.line.caches.iter().map(|ix| &self.servers[ix.0]);
        ready.filter(|server| self.health.doubtful(server, now)).count()
    }

    pub fn outcome(&mut self, now: Time, ix: CallIx, ending: Ending, to: &mut impl Answers) {
        self.now = now;
        // Guards against a further shot, or a second answer, for a call that this very report says has its
        // answer.
        if ending.call_ended {
            self.settle(now, ix, ending, to);
            return self.run_due(to);
        }
        self.run_due(to);
        self.settle(now, ix, ending, to);
    }

    fn settle(&mut self, now: Time, ix: CallIx, ending: Ending, to: &mut impl Answers) {
        let Some(call) = self.calls.get_mut(ix.0).filter(|call| call.live) else { return };
        let shot = call.shots.get_mut(ending.shot);
        let Some(shot) = shot.filter(|shot| shot.fate == Fate::Out) else { return };
        let ran = !ending.outcome.proves_it_never_ran();
        shot.fate = if ran { Fate::MayHaveRun } else { Fate::NeverRan };
        self.line.out -= u32::from(std::mem::take(&mut shot.counted));
        let (server, further, at) = (&mut self.servers[shot.server.0], shot.further, shot.server);
        server.out = server.out.saturating_sub(1);
        server.used = now;
        let slo = call.product.slo;
        if let Some(gate) = self.keys.gate(call.key) {
            match ending.outcome {
                Outcome::Fulfilled => gate.ended(1.0 - ending.took.0 as f64 / slo.times(CROWDED).0 as f64),
                Outcome::Broken | Outcome::TimedOut => gate.ended(-1.0),
                _ => {}
            }
        }
        if server.origin {
            self.origin.gate.out = self.origin.gate.out.saturating_sub(1);
            self.origin.settle(&ending, slo, call.write);
        } else {
            match ending.outcome {
                Outcome::Unreachable => {
                    server.refused += 1;
                    server.linked = server.out > 0;
                    self.line.reach = (self.line.reach * REACH_CUT).max(REACH_LEAST);
                }
                Outcome::Fulfilled | Outcome::Miss => {
                    server.refused = 0;
                    self.line.done += 1.0;
                    let took = ending.took.0 as f64;
                    let (mean, calm) = &mut self.line.calm;
                    *mean += MEAN_STEP * (took - *mean);
                    *calm = (*calm * ORIGIN_DRIFT).min(*mean);
                    self.line.reach = (self.line.reach * REACH_GROWTH).min(1.0);
                }
                _ => {}
            }
            let trusted = !self.health.doubtful(server, now);
            let late = ending.took.0 as f64 > (CROWDED * slo.0 as f64).max(self.health.tail);
            let late = late && self.keys.by_lateness;
            match ending.outcome {
                Outcome::Fulfilled | Outcome::Miss => self.keys.settle(call.key, at, !late, now),
                Outcome::Broken => self.keys.settle(call.key, at, false, now),
                Outcome::TimedOut if late => self.keys.settle(call.key, at, false, now),
                _ => {}
            }
            self.keys.suspect(call.key, self.health.success, slo.times(CROWDED).0 as f64, now);
            self.health.settle(server, &ending, slo, self.keys.gated(call.key), now);
            if trusted && ending.outcome != Outcome::TooLate {
                self.admission.settle_shot(ending.outcome == Outcome::Full);
            }
        }
        if further && !matches!(ending.outcome, Outcome::TooLate) {
            let won = f64::from(u8::from(ending.outcome == Outcome::Fulfilled));
            self.shots.success += MEAN_STEP * (won - self.shots.success);
        }
        let (streaming, was_origin) = (call.streaming, server.origin);
        if call.ended {
            return self.forget_if_done(ix, to);
        }
        if ending.call_ended || streaming {
            if !ending.call_ended {
                to.error(ix);
            }
            self.end(ix, was_origin && ending.outcome == Outcome::Fulfilled, to);
        } else {
            call.missed |= ending.outcome == Outcome::Miss && !was_origin;
            if ending.outcome == Outcome::Miss {
                self.shots.budget.missed(call, now);
            }
            self.again(ix, to);
        }
        self.pump(to);
    }

    pub fn tick(&mut self, now: Time, to: &mut impl Answers) {
        let passed = (now - self.ticked).seconds().max(1e-6);
        (self.now, self.ticked) = (now, now);
        to.wake(TICK);
        // Guards against nodes that ask a cache so seldom that each outcome is forgotten before the next.
        let each = self.line.done_rate / self.line.caches.len().max(1) as f64;
        let half = (MEMORY_ANSWERS / each.max(1e-3)).clamp(MEMORY_HALF_LIFE, MEMORY_LONGEST);
        let kept = 0.5f64.powf(passed / half);
        for (i, server) in self.servers.iter_mut().enumerate() {
            (server.good, server.bad) = (server.good * kept, server.bad * kept);
            if server.state != State::Gone || server.held > 0 {
                server.left = now;
            } else if server.seed != 0.0 && now - server.left > GONE_KEPT {
                *server = Server::unknown();
                to.drop_server(ServerIx(i));
            }
        }
        // Guards against tables that keep the size of the worst minute: what is used last ends them.
        self.servers.truncate(self.servers.iter().rposition(|s| s.seed != 0.0).map_or(0, |i| i + 1));
        self.calls.truncate(self.calls.iter().rposition(|call| call.live).map_or(0, |i| i + 1));
        let done = std::mem::take(&mut self.line.done) / passed;
        let step = 1.0 - 0.25f64.powf(passed * self.line.pace());
        self.line.mean_out += step * (f64::from(self.line.out) - self.line.mean_out);
        self.line.done_rate += step * (done - self.line.done_rate);
        self.line.heard += step * (1.0 - self.line.heard);
        self.admission.tick(self.line.crowding(self.shortest));
        self.origin.gate.regrow(passed);
        self.keys.tick(passed, now);
        self.line.let_go(&mut self.servers, now, to);
        self.roster.tick(now, to);
        self.run_due(to);
        self.pump(to);
    }
}

impl Balancer {
    fn coalesce(&mut self, ix: CallIx, to: &mut impl Answers) {
        let call = &self.calls[ix.0];
        if !call.write && !self.hurried(ix) && matches!(self.coalescing.keep(ix, call), Step::Keep) {
            return self.park(ix, Place::Waiting, to);
        }
        match self.calls[ix.0].missed {
            true => self.enter_origin(ix, to),
            false => self.enter_line(ix, to),
        }
    }

    /// Guards against a call that is kept and would come due only after its client timeout.
    fn hurried(&self, ix: CallIx) -> bool {
        self.calls[ix.0].until < self.now + TICK.times(2.0)
    }

    /// Keeps a call with nothing sent until a part of its SLO is gone.
    fn park(&mut self, ix: CallIx, place: Place, to: &mut impl Answers) {
        self.calls[ix.0].place = place;
        let sent = place == Place::Queued && self.origin.gate.room(self.now);
        if self.hurried(ix) && !sent {
            return self.give_up(ix, to);
        }
        let call = &self.calls[ix.0];
        let slo = call.product.slo.times(PATIENCE);
        let due = (self.now + slo).min(self.now + (call.until - self.now).times(PATIENCE));
        self.set_due(ix, due);
    }

    // Guards against a due time that is already past coming round for ever within one event.
    fn set_due(&mut self, ix: CallIx, due: Time) {
        let due = due.max(self.now + TICK.times(0.25));
        let call = &mut self.calls[ix.0];
        call.due = due;
        self.due.insert((due, ix, call.serial));
    }

    fn enter_line(&mut self, ix: CallIx, to: &mut impl Answers) {
        let call = &self.calls[ix.0];
        let last = call.shots.len() + 1 >= call.most;
        if self.aside && (call.write || (last && !call.shots.is_empty())) {
            return self.enter_origin(ix, to);
        }
        match self.line.pick(&mut self.servers, &self.health, call, self.now, &mut self.chance) {
            Some(server) if self.shoot(ix, server, false, to) => {}
            Some(_) => self.give_up(ix, to),
            // Guards against full caches turning all their reads into origin work.
            None if self.aside && self.origin.free(self.now) => self.enter_origin(ix, to),
            None => self.give_up(ix, to),
        }
    }

    fn enter_origin(&mut self, ix: CallIx, to: &mut impl Answers) {
        if self.origin.servers.is_empty() {
            return self.give_up(ix, to);
        }
        let hurried = self.hurried(ix);
        let call = &mut self.calls[ix.0];
        if !call.write && !call.leads && !hurried {
            if matches!(self.coalescing.keep(ix, call), Step::Keep) {
                return self.park(ix, Place::Waiting, to);
            }
            call.leads = true;
            self.coalescing.fetches.insert(call.key, Fetch { leader: ix, waiters: Vec::new() });
        }
        // What would wait too long is ended now; writes go ahead of the queue.
        let ahead = if call.write { 0 } else { self.origin.queue.len() };
        let patience = call.product.slo.times(PATIENCE);
        if !self.origin.gate.room(self.now) && self.origin.wait(ahead) > patience {
            return self.give_up(ix, to);
        }
        self.origin.queue.push(ix);
        self.park(ix, Place::Queued, to);
        self.pump(to);
    }

    /// Which waiting call goes first: writes, then in-share work, then what is billed higher.
    fn rank(&self, ix: CallIx) -> (bool, bool, u64) {
        let call = &self.calls[ix.0];
        (call.write, !call.over, call.product.value.to_bits())
    }

    /// Sends waiting calls to the origin while its limit has room.
    fn pump(&mut self, to: &mut impl Answers) {
        self.origin.gate.pressed |= !self.origin.queue.is_empty() && !self.origin.gate.room(self.now);
        while self.origin.gate.room(self.now) && !self.origin.queue.is_empty() {
            let server = self.origin.servers.iter().copied().min_by_key(|s| self.servers[s.0].out);
            let best = (0..self.origin.queue.len()).rev().max_by_key(|i| self.rank(self.origin.queue[*i]));
            let ix = self.origin.queue.remove(best.unwrap_or(0));
            if !server.is_some_and(|server| self.shoot(ix, server, false, to)) {
                self.give_up(ix, to);
            }
        }
    }

    /// Alone dispatches: rules 1 and 2 by `Shots::allows`, 3 by the list's state, 4 by the line's budget.
    fn shoot(&mut self, ix: CallIx, at: ServerIx, further: bool, to: &mut impl Answers) -> bool {
        let call = &mut self.calls[ix.0];
        let product = call.product;
        let ready = self.servers[at.0].state == State::Ready;
        if !ready || !self.shots.allows(call, &self.servers, at, self.now) {
            return false;
        }
        let server = &mut self.servers[at.0];
        (server.out, server.held) = (server.out + 1, server.held + 1);
        (server.linked, server.used) = (true, self.now);
        server.unheard = server.unheard.or(Some(self.now));
        let counted = !server.origin;
        self.line.out += u32::from(counted);
        let charged = self.shots.budget.charges(call, self.now);
        call.shots.push(Shot { server: at, sent: self.now, fate: Fate::Out, further, charged, counted });
        call.place = Place::Flying;
        to.dispatch(ix, at, call.until);
        if server.origin {
            self.origin.gate.take(self.now);
        } else {
            server.warm -= 1.0;
        }
        if call.shots.len() == 1 {
            self.shots.earn();
        }
        let slo = product.slo.0 as f64;
        let cache = self.health.tail.clamp(FURTHER_FROM * slo, FURTHER_TO * slo);
        let wait = if server.origin { self.origin.aim(product.slo, call.write) } else { cache };
        self.set_due(ix, self.now + Span(wait as i64));
        true
    }

    /// After a shot ended without the final answer: another, or wait for those out, or give up.
    fn again(&mut self, ix: CallIx, to: &mut impl Answers) {
        let call = &self.calls[ix.0];
        let out = call.out() > 0;
        let product = &call.product;
        let may = call.shots.len() < call.most
            && self.shots.affords(call, self.now)
            && (self.shots.may_duplicate || !out)
            && (call.proven_unrun() || product.effect != Effect::NonIdempotent);
        // Guards against fetching twice: a further shot may be at the origin already when the cache says
        // miss.
        let at_origin = |shot: &Shot| shot.fate == Fate::Out && self.servers[shot.server.0].origin;
        let fetching = call.leads || call.shots.iter().any(at_origin);
        if call.place != Place::Flying || out && (!may || !call.missed || fetching) {
            return;
        }
        let hopeless = !call.missed && self.keys.gated(call.key);
        match may && !hopeless && self.now < call.until {
            true => self.coalesce(ix, to),
            false => self.give_up(ix, to),
        }
    }

    fn run_due(&mut self, to: &mut impl Answers) {
        while let Some((due, ix, serial)) = self.due.first().copied().filter(|first| first.0 <= self.now) {
            self.due.pop_first();
            let call = self.calls.get(ix.0).filter(|call| call.serial == serial && call.due == due);
            match call.filter(|call| call.live && !call.ended).map_or(Place::Chain, |call| call.place) {
                Place::Queued => self.give_up(ix, to),
                Place::Waiting if self.calls[ix.0].missed => self.give_up(ix, to),
                Place::Waiting => self.enter_line(ix, to),
                Place::Flying => self.review(ix, to),
                Place::Chain => {}
            }
        }
    }

    /// A shot is late: a further one is made, if earned or if the first cache is silent.
    fn review(&mut self, ix: CallIx, to: &mut impl Answers) {
        let call = &mut self.calls[ix.0];
        let Some(late) = call.shots.last_mut().filter(|shot| shot.fate == Fate::Out) else { return };
        let server = &self.servers[late.server.0];
        if server.origin {
            self.origin.gate.late(self.now);
        }
        let failing = self.health.doubtful(server, self.now);
        // A failing cache's shots are no crowd, nor are those whose answers were lost.
        let lost = (self.now - late.sent).0 as f64 > LOST_AFTER * self.health.tail;
        self.line.out -= u32::from((failing || lost) && std::mem::take(&mut late.counted));
        let at = late.server;
        let call = &self.calls[ix.0];
        if server.origin || call.streaming || call.write && self.aside || call.out() > 1 {
            return;
        }
        let allowed = self.shots.allows(call, &self.servers, at, self.now) && !self.keys.gated(call.key);
        if allowed && (failing || self.shots.further()) {
            // Guards against further shots that miss at the next nearest and load it in a jam.
            let needed = f64::from(self.origin.gate.out) * 2.0 + 1.0;
            let spare = self.origin.free(self.now) && needed <= self.origin.gate.limit;
            let chance = &mut self.chance;
            let near = || self.line.pick(&mut self.servers, &self.health, call, self.now, chance);
            let pick = self.origin.servers.first().copied().filter(|_| spare).or_else(near);
            if pick.is_some_and(|server| self.shoot(ix, server, true, to)) {
                return;
            }
        }
        let wait = self.calls[ix.0].product.slo.times(FURTHER_FROM);
        self.set_due(ix, self.now + wait);
    }

    /// The final answer: rate-limited with a retry time where rule 2 allows the claim, else errored.
    fn give_up(&mut self, ix: CallIx, to: &mut impl Answers) {
        let call = &self.calls[ix.0];
        if call.ended {
            return;
        }
        let product = &call.product;
        if self.shots.may_rate_limit(call) {
            let most = self.max_retry.map(|most| most.min(product.timeout));
            let jitter = 0.5 + 0.5 * self.chance.unit();
            to.rate_limit(ix, most.map(|most| most.times(jitter)));
        } else {
            to.error(ix);
        }
        self.end(ix, false, to);
    }

    /// Closes a call, calls off what is still out and lets go of the reads that waited for its fetch.
    fn end(&mut self, ix: CallIx, fetched: bool, to: &mut impl Answers) {
        let call = &mut self.calls[ix.0];
        call.ended = true;
        if let Some(gate) = self.keys.gate(call.key).filter(|_| std::mem::take(&mut call.gated)) {
            gate.out = gate.out.saturating_sub(1);
        }
        let (leads, key, queued) = (std::mem::take(&mut call.leads), call.key, call.place == Place::Queued);
        if queued {
            self.origin.queue.retain(|other| *other != ix);
        }
        // A read that missed goes to the cache that has just been given its object.
        let home = call.shots.first().map(|shot| shot.server).filter(|_| fetched);
        self.call_off(ix, None, to);
        self.forget_if_done(ix, to);
        let fetch = if leads { self.coalescing.fetches.remove(&key) } else { None };
        for (waiter, serial) in fetch.map(|fetch| fetch.waiters).unwrap_or_default() {
            let Some(call) = self.calls.get(waiter.0) else { continue };
            let waits = call.serial == serial && !call.ended && call.place == Place::Waiting;
            let home = home.filter(|_| waits && call.missed);
            if waits && !home.is_some_and(|home| self.shoot(waiter, home, false, to)) {
                self.coalesce(waiter, to);
            }
        }
    }

    fn call_off(&mut self, ix: CallIx, but: Option<usize>, to: &mut impl Answers) {
        for (i, shot) in self.calls[ix.0].shots.iter().enumerate() {
            if self.shots.may_cancel && shot.fate == Fate::Out && Some(i) != but {
                to.cancel(ix, i);
            }
        }
    }

    fn forget_if_done(&mut self, ix: CallIx, to: &mut impl Answers) {
        let call = &mut self.calls[ix.0];
        if call.live && call.out() == 0 {
            call.live = false;
            call.shots.iter().for_each(|shot| self.servers[shot.server.0].held -= 1);
            to.forget(ix);
        }
    }
}
