//! The tables' own steps: how attempts, upstreams and clients begin and end, and what the module asks of them.
use super::*;

impl World {
    /// How long what is read now may have lain unread. Guards against a wait that counts from the reading
    /// although the node's process had stood still since the client sent the API call.
    pub(super) fn waited(&self) -> Span {
        let late = self.now - self.tick;
        if late > self.limits.stalled {
            late
        } else if self.now - self.stall.0 < self.limits.stall_read {
            self.stall.1
        } else {
            Span::ZERO
        }
    }

    pub(super) fn id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// A place in the client's order of answers.
    pub(super) fn turn(&mut self, id: ClientId) -> Option<u64> {
        let now = self.now;
        let client = self.clients.get_mut(&id)?;
        client.last = now;
        client.turns.push_back(None);
        Some(client.first + client.turns.len() as u64 - 1)
    }

    /// Gives one command its answer; it goes out once those before it have.
    pub(super) fn answer(&mut self, id: ClientId, turn: u64, said: Said) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let behind = turn.checked_sub(client.first).map(|behind| behind as usize);
        let Some(place) = behind.and_then(|behind| client.turns.get_mut(behind)) else { return };
        // Guards against a client that takes no answers, or many at once, filling the memory.
        let fits = self.held + said.size() <= self.limits.held || said.size() < self.limits.short_answer;
        let said = if fits { said } else { Said::Errored("no room for the answer") };
        self.held += said.size();
        client.held += said.size();
        *place = Some(said);
        client.last = self.now;
        while let Some(said) = client.turns.front_mut().and_then(Option::take) {
            client.turns.pop_front();
            client.first += 1;
            self.effects.push_back(Effect::Answer { client: id, said });
        }
        let closing = client.closing || self.service.idle(self.now, &self.limits) != Idle::Kept;
        if client.turns.is_empty() && closing {
            self.close_client(id);
        }
    }

    /// The one final answer of an API call.
    pub(super) fn final_answer(&mut self, ix: CallIx, said: Said) {
        let Some(call) = self.calls.get_mut(ix).filter(|call| !call.answered) else { return };
        call.answered = true;
        self.ids.remove(&call.words.id);
        let (client, turn) = (call.client, call.turn);
        // One that is passed on counts once it has been.
        if !matches!(said, Said::Passed { .. }) {
            self.counted.count(call.counted, &said);
        }
        if let Some(client) = self.clients.get_mut(&client) {
            client.open.retain(|open| *open != ix);
        }
        self.answer(client, turn, said);
    }

    pub(super) fn close_client(&mut self, id: ClientId) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.closing = true;
            let quiet = match self.service.idle(self.now, &self.limits) {
                Idle::Closed(quiet) => quiet,
                Idle::Kept => Span::ZERO,
            };
            self.effects.push_back(Effect::CloseClient { client: id, quiet });
        }
    }

    /// Clients are to leave: those that are idle do so now, or when they are due to.
    pub(super) fn move_clients(&mut self) {
        for after in [self.limits.leave_front, self.limits.leave_firm] {
            self.due.insert((self.now + after, Due::Service));
        }
        self.close_idle_clients();
    }

    pub(super) fn close_idle_clients(&mut self) {
        if self.service.idle(self.now, &self.limits) == Idle::Kept {
            return;
        }
        let idle = self.clients.iter().filter(|(_, client)| client.turns.is_empty());
        let idle: Vec<_> = idle.map(|(id, _)| *id).collect();
        idle.into_iter().for_each(|id| self.close_client(id));
    }

    pub(super) fn end_attempt(&mut self, call: CallIx, attempt: usize, outcome: Outcome) {
        let Some(record) = self.calls.get_mut(call).and_then(|call| call.attempts.get_mut(attempt)) else {
            return;
        };
        record.upstream = None;
        self.ended.push_back((call, attempt, outcome));
    }

    pub(super) fn set_due(&mut self, id: UpstreamId, at: Time) {
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            self.due.remove(&(upstream.due, Due::Upstream(id)));
            upstream.due = at;
            self.due.insert((at, Due::Upstream(id)));
        }
    }

    /// A value that was being passed on has no end. Guards against a client that would wait for it or take the next
    /// answer for its rest; one that was told nothing yet gets an error.
    pub(super) fn passing_failed(&mut self, id: UpstreamId, client: ClientId, counted: Option<usize>) {
        self.counted.count(counted, &Said::Errored(""));
        let Some(record) = self.clients.get_mut(&client) else { return };
        record.passing.retain(|upstream| *upstream != id);
        let waits =
            |said: &Option<Said>| matches!(said, Some(Said::Passed { upstream, .. }) if *upstream == id);
        match record.turns.iter().position(waits) {
            Some(turn) => record.turns[turn] = Some(Said::Errored("failed")),
            None => self.effects.push_back(Effect::CutClient { client }),
        }
    }

    /// Takes an upstream out of all tables; its socket is closed by an effect or is gone already.
    pub(super) fn drop_upstream(&mut self, id: UpstreamId) -> Option<Upstream> {
        let upstream = self.upstreams.remove(&id)?;
        self.passing -= usize::from(matches!(upstream.used, Use::Passing { .. }));
        self.due.remove(&(upstream.due, Due::Upstream(id)));
        if upstream.used == Use::Idle {
            self.servers[upstream.server.0].idle.retain(|idle| *idle != id);
        }
        Some(upstream)
    }

    pub(super) fn close_upstream(&mut self, id: UpstreamId) -> Option<Upstream> {
        let upstream = self.drop_upstream(id)?;
        self.effects.push_back(Effect::CloseUpstream { upstream: id });
        Some(upstream)
    }

    pub(super) fn close_idle(&mut self, server: ServerIx) {
        for id in std::mem::take(&mut self.servers[server.0].idle) {
            self.close_upstream(id);
        }
    }

    /// An upstream has no more to carry.
    pub(super) fn rest(&mut self, id: UpstreamId) {
        let upstreams = self.upstreams.len();
        let Some(upstream) = self.upstreams.get_mut(&id) else { return };
        upstream.used = Use::Idle;
        let server = &mut self.servers[upstream.server.0];
        let enough =
            server.idle.len() >= self.limits.idle_upstreams || upstreams > self.limits.upstreams_kept;
        if server.state != State::Ready || enough {
            self.close_upstream(id);
            return;
        }
        server.idle.push(id);
        let due = self.now + self.limits.upstream_idle;
        self.set_due(id, due);
    }

    pub(super) fn sockets(&self) -> usize {
        self.clients.len() + self.upstreams.len()
    }

    /// Closes a client that is idle and need not be kept, if there is one: one without an API call before others.
    /// Guards against silent clients that take the places of those that are at work.
    pub(super) fn close_spare_client(&mut self) -> bool {
        let (now, limits) = (self.now, &self.limits);
        let spare = |client: &Client| {
            let after = if client.asked { limits.client_spare } else { limits.client_new };
            client.idle() && now - client.last >= after
        };
        let spares = self.clients.iter().filter(|(_, client)| spare(client));
        let best = spares.min_by_key(|(id, client)| (client.asked, client.last, **id)).map(|(id, _)| *id);
        best.map(|id| self.close_client(id)).is_some()
    }

    /// Closes the client idle longest where more have made API calls than are worth keeping. Guards against clients
    /// that ask once and keep their connections: together they may hold only so many, and could ask no more.
    pub(super) fn thin_out_clients(&mut self) {
        if self.clients.len() <= self.limits.clients_kept {
            return;
        }
        let asked = self.clients.iter().filter(|(_, client)| client.asked && !client.closing);
        let idle = |client: &Client| client.idle() && self.now - client.last >= self.limits.client_new;
        let (mut count, mut idlest) = (0, None);
        for (id, client) in asked {
            count += 1;
            if idle(client) && idlest.is_none_or(|best| (client.last, *id) < best) {
                idlest = Some((client.last, *id));
            }
        }
        if let Some((_, id)) = idlest.filter(|_| count > self.limits.clients_kept) {
            self.close_client(id);
        }
    }

    /// Closes the client that has been idle longest, if one is.
    pub(super) fn close_idlest_client(&mut self) -> bool {
        let idle = self.clients.iter().filter(|(_, client)| client.idle());
        let idlest = idle.min_by_key(|(id, client)| (client.last, **id)).map(|(id, _)| *id);
        idlest.map(|id| self.close_client(id)).is_some()
    }

    /// The same of upstreams.
    pub(super) fn close_idlest_upstream(&mut self) -> bool {
        let idle = self.upstreams.iter().filter(|(_, upstream)| upstream.used == Use::Idle);
        let idlest = idle.min_by_key(|(id, upstream)| (upstream.due, **id)).map(|(id, _)| *id);
        idlest.and_then(|id| self.close_upstream(id)).is_some()
    }

    /// Gives an attempt the newest idle upstream to its server that has rested, else the oldest, else a new one. Guards
    /// against stray bytes behind an answer that are still on their way when the next attempt is written.
    pub(super) fn launch(&mut self, call: CallIx, attempt: usize, server: ServerIx) {
        let rested = self.now + self.limits.upstream_idle - self.limits.upstream_rest;
        let idle = &self.servers[server.0].idle;
        let fits = |id: &UpstreamId| self.upstreams.get(id).is_some_and(|upstream| upstream.due <= rested);
        if idle.is_empty() {
            return self.open(call, attempt);
        }
        let place = idle.iter().rposition(fits).unwrap_or(0);
        let id = self.servers[server.0].idle.remove(place);
        self.carry(id, call, attempt, false);
    }

    pub(super) fn open(&mut self, ix: CallIx, attempt: usize) {
        let Some(record) = self.calls.get(ix).and_then(|call| call.attempts.get(attempt)) else { return };
        let (server, until) = (record.server, record.until.min(record.by));
        let Some(to) = self.servers[server.0].addr else {
            return self.end_attempt(ix, attempt, Outcome::Unreachable);
        };
        // Guards against running out of descriptors: the connection idle longest makes room; if there is
        // none, the attempt is not made, and no server is blamed.
        let crowded = self.sockets() + self.limits.for_clients >= self.limits.sockets;
        let room = |world: &mut World| {
            world.close_spare_client() || world.close_idlest_upstream() || world.close_idlest_client()
        };
        if crowded && !room(self) {
            return self.end_attempt(ix, attempt, Outcome::TooLate);
        }
        let upstream = UpstreamId(self.id());
        let due = until.min(self.now + self.limits.connect);
        self.upstreams.insert(upstream, Upstream { server, used: Use::Connecting(ix, attempt), due });
        self.due.insert((due, Due::Upstream(upstream)));
        if let Some(record) = self.calls.get_mut(ix).and_then(|call| call.attempts.get_mut(attempt)) {
            record.upstream = Some(upstream);
        }
        self.effects.push_back(Effect::Connect { upstream, to, origin: self.servers[server.0].origin });
    }

    /// Writes an attempt on an upstream that is up: only here do bytes go to a server. A connect may have taken its
    /// time, so whether the attempt is still wanted is looked at now.
    pub(super) fn carry(&mut self, id: UpstreamId, ix: CallIx, attempt: usize, fresh: bool) {
        let wanted = self.calls.get(ix).filter(|call| !call.answered);
        let record = wanted.and_then(|call| call.attempts.get(attempt).map(|attempt| (call, attempt)));
        let fits = record
            .filter(|(_, attempt)| self.now < attempt.until.min(attempt.by))
            .filter(|(_, attempt)| self.servers[attempt.server.0].state == State::Ready);
        let Some((call, record)) = fits else {
            self.rest(id);
            return self.end_attempt(ix, attempt, Outcome::TooLate);
        };
        let (until, by, words) = (record.until, record.by, call.words.clone());
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream.used = Use::Carrying { call: ix, attempt, written: false, fresh, begun: false };
        }
        if let Some(record) = self.calls.get_mut(ix).and_then(|call| call.attempts.get_mut(attempt)) {
            record.upstream = Some(id);
        }
        // Guards against a repeat whose last byte is out only when its window has closed.
        self.set_due(id, until.min(by));
        self.effects.push_back(Effect::Write { upstream: id, words, wait: until - self.now });
    }

    /// No server is to blame that this attempt is not made any more: it could take effect twice.
    fn too_late(&self, call: CallIx, attempt: usize) -> bool {
        let record = self.calls.get(call).and_then(|call| call.attempts.get(attempt));
        record.is_some_and(|attempt| attempt.by <= self.now)
    }

    /// An upstream's present use has lasted too long.
    pub(super) fn upstream_due(&mut self, id: UpstreamId, at: Time) {
        if self.upstreams.get(&id).is_none_or(|upstream| upstream.due != at) {
            return;
        }
        let Some(upstream) = self.close_upstream(id) else { return };
        match upstream.used {
            Use::Idle | Use::Closing | Use::Passing { .. } => {}
            Use::Connecting(call, attempt) | Use::Carrying { call, attempt, written: false, .. }
                if self.too_late(call, attempt) =>
            {
                self.end_attempt(call, attempt, Outcome::TooLate);
            }
            Use::Connecting(call, attempt) => self.end_attempt(call, attempt, Outcome::Unreachable),
            Use::Carrying { call, attempt, begun: true, .. } => {
                self.end_attempt(call, attempt, Outcome::Broken)
            }
            Use::Carrying { call, attempt, written: true, .. } => {
                self.end_attempt(call, attempt, Outcome::TimedOut)
            }
            Use::Carrying { call, attempt, .. } => self.end_attempt(call, attempt, Outcome::Unreachable),
        }
    }
}

/// What the module asks for.
impl Answers for World {
    fn dispatch(&mut self, call: CallIx, server: ServerIx, until: Time, by: Time) {
        let now = self.now;
        let Some(record) = self.calls.get_mut(call) else { return };
        record.attempts.push(Attempt {
            server,
            started: now,
            until: until.min(record.until),
            by,
            upstream: None,
        });
        let attempt = record.attempts.len() - 1;
        self.launch(call, attempt, server);
    }

    fn cancel(&mut self, call: CallIx, attempt: usize) {
        let record = self.calls.get(call).and_then(|call| call.attempts.get(attempt));
        let Some(id) = record.and_then(|attempt| attempt.upstream) else { return };
        let Some(upstream) = self.close_upstream(id) else { return };
        let written = matches!(upstream.used, Use::Carrying { written: true, .. });
        self.end_attempt(call, attempt, if written { Outcome::Cancelled } else { Outcome::TooLate });
    }

    fn rate_limit(&mut self, call: CallIx, retry_in: Option<Span>) {
        self.final_answer(call, Said::RateLimited(retry_in));
    }

    fn error(&mut self, call: CallIx) {
        self.final_answer(call, Said::Errored("failed"));
    }

    fn forget(&mut self, call: CallIx) {
        if let Some(record) = self.calls.take(call) {
            self.held = self.held.saturating_sub(record.words.value.as_ref().map_or(0, Bytes::len));
            self.due.remove(&(record.until + self.limits.overdue, Due::Call(call)));
            if let Some(client) = self.clients.get_mut(&record.client) {
                client.open.retain(|open| *open != call);
            }
        }
    }

    /// Guards against a table that grows with every server there ever was, and against an upstream to one that has
    /// gone being taken for one to the next under its index.
    fn drop_server(&mut self, server: ServerIx) {
        let to = self.upstreams.iter().filter(|(_, upstream)| upstream.server == server);
        let to: Vec<_> = to.map(|(id, _)| *id).collect();
        for id in to {
            // What one passes on ends with it.
            if let Some(Upstream { used: Use::Passing { client, counted }, .. }) = self.close_upstream(id) {
                self.passing_failed(id, client, counted);
            }
        }
        if let Some(record) = self.servers.get_mut(server.0) {
            *record = Server::default();
        }
        let used = self.servers.iter().rposition(|server| server.addr.is_some());
        self.servers.truncate(used.map_or(0, |last| last + 1));
        shrink(&mut self.clients);
        shrink(&mut self.upstreams);
        self.dropped.push(server);
    }

    fn wake(&mut self, after: Span) {
        self.tick = self.now + after;
        self.due.insert((self.tick, Due::Tick));
    }

    fn close(&mut self, server: ServerIx) {
        if server.0 < self.servers.len() {
            self.close_idle(server);
        }
    }
}
