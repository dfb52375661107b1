//! Attempts at servers: connected, queued, done, and their replies.
use super::*;

impl<R: Router, F: Fn(usize, u64) -> R> World<R, F> {
    pub(super) fn connect(&mut self, node: usize, epoch: u64, server: usize, job: Job) {
        let field = &mut self.field;
        let delay = field.delay();
        let most = field.scenario.caches.connections;
        let it = &mut field.servers[server];
        if it.health == Health::Down || !it.origin && it.connections >= most {
            field.report.refused += 1;
            let (call, attempt, outcome) = (job.call, job.attempt, Outcome::Unreachable);
            return field.after(delay, Event::Reply { node, epoch, call, attempt, server, outcome });
        }
        it.connections += 1;
        let life = it.life;
        field.after(delay, Event::Connected { node, epoch, server, life, job });
    }

    pub(super) fn at_server(&mut self, job: Job, server: usize, life: u64, fresh: bool) {
        let field = &mut self.field;
        let delay = field.delay();
        let (node, call, attempt) = (job.node, job.call, job.attempt);
        let reply = |outcome| Event::Reply { node, epoch: u64::MAX, call, attempt, server, outcome };
        let it = &mut field.servers[server];
        if it.health == Health::Down || it.life != life {
            // The connection was to an earlier life; what it had been sent may have run there.
            return field.after(delay, reply(Outcome::Reset));
        }
        if it.health == Health::Hung {
            return it.queue.push_back(job);
        }
        if !field.demand(&job, server) {
            return field.after(delay, reply(Outcome::Reset));
        }
        let it = &mut field.servers[server];
        if it.is_full() {
            field.report.went(field.now, Went::Full);
            return field.after(delay, reply(Outcome::Full));
        }
        let mut job = job;
        if fresh {
            job.work = job.work + Span::from_ms(field.scenario.caches.handshake_ms);
        }
        field.servers[server].queue.push_back(job);
        field.begin_work(server);
    }

    pub(super) fn done(&mut self, job: Job, server: usize, life: u64, miss: bool) {
        let it = &mut self.field.servers[server];
        let at = it.running.iter().position(|other| other.id == job.id).filter(|_| it.life == life);
        let Some(at) = at else { return };
        it.running.swap_remove(at);
        if it.health == Health::Hung {
            // The work is done and nobody is told.
            return;
        }
        let (cold, origin) = (it.is_cold(self.field.now), it.origin);
        let outcome = if miss { Outcome::Miss } else { Outcome::Fulfilled };
        if !origin {
            *(if miss { &mut self.field.report.misses } else { &mut self.field.report.hits }) += 1;
        }
        let side = &mut self.nodes[job.node].side;
        let open = side.indices.get(&job.call).copied().and_then(|ix| side.calls.get_mut(ix));
        let wanted = open.as_ref().is_some_and(|open| !open.answered);
        let went = match (origin, job.write, miss, wanted) {
            (false, _, true, _) => Went::Miss,
            (false, _, false, true) => Went::Hit,
            (false, _, false, false) => Went::HitUnwanted,
            (true, true, _, true) => Went::Wrote,
            (true, false, _, true) => Went::Fetched,
            (true, _, _, false) => Went::OriginUnwanted,
        };
        self.field.report.went(self.field.now, went);
        if let Some(open) = open {
            if miss {
                open.missed.push((server, life, cold));
            } else if origin && !job.write {
                // The value is stored where the API call missed.
                for (server, life, _) in open.missed.clone() {
                    let delay = self.field.delay();
                    self.field.after(delay, Event::Stored { server, life, key: job.key });
                }
            }
        }
        if origin && job.write {
            self.field.servers.iter_mut().for_each(|server| server.kept.remove(job.key));
        }
        let delay = self.field.delay();
        let (node, call, attempt) = (job.node, job.call, job.attempt);
        self.field.after(delay, Event::Reply { node, epoch: u64::MAX, call, attempt, server, outcome });
        self.field.begin_work(server);
    }

    /// An attempt has ended for its node: its connection may carry another.
    pub(super) fn reply(&mut self, node: usize, call: u64, attempt: usize, server: usize, outcome: Outcome) {
        let now = self.field.now;
        let side = &mut self.nodes[node].side;
        if !side.up {
            return;
        }
        let Some(&ix) = side.indices.get(&call) else { return };
        let Some(open) = side.calls.get_mut(ix) else { return };
        let Some(record) = open.attempts.get_mut(attempt).filter(|attempt| attempt.out) else { return };
        record.out = false;
        let (sent, life) = (record.sent, record.life);
        self.field.report.mark(now, call ^ (outcome as u64) << 8);
        let kept = matches!(outcome, Outcome::Fulfilled | Outcome::Miss | Outcome::Full);
        if kept && side.told[server].0 == State::Ready {
            side.idle[server].push_back((life, now));
        } else if kept && self.field.servers[server].life == life {
            let it = &mut self.field.servers[server];
            it.connections = it.connections.saturating_sub(1);
        }
        let late = now >= open.until;
        if outcome == Outcome::Fulfilled && !open.answered && !late {
            self.with_router(node, |_, effects, _| effects.answer(ix, End::Fulfilled, Deed::Fulfilled, None));
        }
        let call_ended = self.nodes[node].side.calls.get(ix).is_none_or(|open| open.answered);
        let ending = Ending { attempt, outcome, took: now - sent, call_ended };
        self.with_router(node, |router, effects, now| router.outcome(now, ix, ending, effects));
    }

    pub(super) fn attempt_due(&mut self, node: usize, epoch: u64, call: u64, attempt: usize) {
        let side = &self.nodes[node].side;
        if side.epoch != epoch {
            return;
        }
        let open = side.indices.get(&call).and_then(|ix| side.calls.get(*ix));
        let Some(record) = open.and_then(|open| open.attempts.get(attempt)).filter(|attempt| attempt.out)
        else {
            return;
        };
        let (server, life, job, written) = (record.server, record.life, record.job, record.written);
        if written {
            let delay = self.field.delay();
            self.field.after(delay, Event::CalledOff { server, life, job });
        }
        self.reply(
            node,
            call,
            attempt,
            server,
            if written { Outcome::TimedOut } else { Outcome::Unreachable },
        );
    }
}
