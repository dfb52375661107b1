//! Effects of a node's router: the messages, timers and answers that it asks for become events.
use super::*;

/// Carries out what the router of one node asks for.
pub(super) struct Effects<'a> {
    pub(super) field: &'a mut Field,
    pub(super) side: &'a mut Side,
}

impl Effects<'_> {
    /// Writes an attempt, if it is still wanted: as the real node, which looks when its bytes are due.
    pub(super) fn carry(&mut self, server: usize, life: u64, job: Job, fresh: bool) {
        let (field, side) = (&mut *self.field, &mut *self.side);
        let now = field.now;
        let ix = side.indices.get(&job.call).copied();
        let ready = side.told[server].0 == State::Ready;
        let wanted =
            ix.and_then(|ix| side.calls.get_mut(ix)).filter(|open| !open.answered && now < open.until);
        let attempt = wanted
            .and_then(|open| open.attempts.get_mut(job.attempt))
            .filter(|attempt| attempt.out && (ready || !fresh));
        let Some(attempt) = attempt else {
            if field.servers[server].life == life {
                side.idle[server].push_back((life, now));
            }
            let (node, epoch, call, attempt) = (side.me, side.epoch, job.call, job.attempt);
            let outcome = Outcome::TooLate;
            return field.after(Span::ZERO, Event::Reply { node, epoch, call, attempt, server, outcome });
        };
        (attempt.written, attempt.life) = (true, life);
        field.watch.sent(now, job.call, server, side.told[server].1, field.scenario.grace());
        field.report.attempts += 1;
        if server == field.origin() {
            field.report.fetches += 1;
            if let Some(second) = field.report.origin.get_mut((now.0 / 1_000_000) as usize) {
                *second += 1;
            }
        }
        let delay = field.delay();
        field.after(delay, Event::AtServer { job, server, life, fresh });
    }

    pub(super) fn answer(&mut self, ix: CallIx, end: End, deed: Deed, wait: Option<Span>) {
        let Some(open) = self.side.calls.get_mut(ix) else { return };
        self.field.watch.answered(self.field.now, open.call, deed);
        self.field.report.mark(self.field.now, open.call ^ end as u64);
        if std::mem::replace(&mut open.answered, true) {
            return;
        }
        let (client, try_number, delay) = (open.client, open.try_number, self.field.delay());
        self.field.after(delay, Event::Told { client, try_number, end, wait });
    }
}

impl Answers for Effects<'_> {
    fn dispatch(&mut self, call: CallIx, server: ServerIx, until: Time, _by: Time) {
        let (field, side) = (&mut *self.field, &mut *self.side);
        let Some(&at) = side.at.get(server.0) else { return };
        let Some(open) = side.calls.get_mut(call) else { return };
        let now = field.now;
        field.report.mark(now, open.call ^ (at as u64) << 40);
        let origin = at == field.origin();
        let mean = if origin {
            field.scenario.origin.work_ms
        } else {
            field.scenario.products[open.product].work_ms
        };
        let (work, id) = (field.work(mean), field.id());
        let of_cold = open.missed.iter().any(|missed| missed.2);
        let attempt = open.attempts.len();
        let life = field.servers[at].life;
        open.attempts.push(Attempt { server: at, life, job: id, sent: now, out: true, written: false });
        let job = Job {
            id,
            node: side.me,
            call: open.call,
            attempt,
            key: open.key,
            write: open.write,
            work,
            of_cold,
        };
        // A connection that stands is used again; a new one takes a round more.
        let idle = &mut side.idle[at];
        while idle.front().is_some_and(|first| first.0 != life || now - first.1 > KEPT_ALIVE) {
            let (of, _) = idle.pop_front().unwrap_or_default();
            if of == life {
                field.servers[at].connections = field.servers[at].connections.saturating_sub(1);
            }
        }
        let fresh = idle.pop_back().is_none();
        let (node, epoch, number) = (side.me, side.epoch, open.call);
        field.at(until, Event::AttemptDue { node, epoch, call: number, attempt });
        if fresh {
            field.report.handshakes += 1;
            let delay = field.delay();
            field.after(delay, Event::Connect { node, epoch, server: at, job });
        } else {
            self.carry(at, life, job, false);
        }
    }

    fn cancel(&mut self, call: CallIx, attempt: usize) {
        let (field, side) = (&mut *self.field, &mut *self.side);
        let Some(open) = side.calls.get_mut(call) else { return };
        let Some(record) = open.attempts.get_mut(attempt).filter(|attempt| attempt.out) else { return };
        let (server, life, job, written) = (record.server, record.life, record.job, record.written);
        if written {
            let delay = field.delay();
            field.after(delay, Event::CalledOff { server, life, job });
        }
        let outcome = if written { Outcome::Cancelled } else { Outcome::TooLate };
        let (node, epoch, call) = (side.me, side.epoch, open.call);
        field.after(Span::ZERO, Event::Reply { node, epoch, call, attempt, server, outcome });
    }

    fn rate_limit(&mut self, call: CallIx, retry_in: Option<Span>) {
        self.answer(call, End::RateLimited, Deed::RateLimited, retry_in);
    }

    fn error(&mut self, call: CallIx) {
        self.answer(call, End::Errored, Deed::Errored, None);
    }

    fn forget(&mut self, call: CallIx) {
        if let Some(open) = self.side.calls.take(call) {
            self.side.indices.remove(&open.call);
        }
    }

    fn drop_server(&mut self, _server: ServerIx) {}

    fn wake(&mut self, after: Span) {
        let (node, epoch) = (self.side.me, self.side.epoch);
        self.field.after(after.max(LEAST_WAKE), Event::Tick { node, epoch });
    }

    fn close(&mut self, server: ServerIx) {
        let Some(&at) = self.side.at.get(server.0) else { return };
        let life = self.field.servers[at].life;
        let closed = self.side.idle[at].drain(..).filter(|idle| idle.0 == life).count();
        let it = &mut self.field.servers[at];
        it.connections = it.connections.saturating_sub(closed);
    }
}
