//! Clients: they ask, give up and ask again.
use super::*;

impl<R: Router, F: Fn(usize, u64) -> R> World<R, F> {
    pub(super) fn arrive(&mut self) {
        let field = &mut self.field;
        let gap: f64 = Exp1.sample(&mut field.chance);
        let rate = field.scenario.traffic.rate * field.burst;
        let next = field.now + Span::from_ms(gap / rate * 1000.0);
        if next < field.end {
            field.at(next, Event::Arrive);
        }
        field.drifted =
            (field.scenario.keys.drift * field.scenario.keys.count as f64 * field.now.ms() / 1000.0) as u64;
        let draw = field.chance.unit();
        let product = field.shares.iter().position(|upto| draw < *upto).unwrap_or(field.shares.len() - 1);
        let key = field.key();
        let (id, asked) = (field.id(), field.now);
        let client =
            Client { product, key, asked, try_number: 0, tried: asked, node: 0, call: None, answered: false };
        field.clients.insert(id, client);
        field.report.begun += 1;
        self.send_try(id);
    }

    /// A client makes its next try, at a node by chance.
    pub(super) fn send_try(&mut self, id: u64) {
        let nodes = self.nodes.len();
        let field = &mut self.field;
        let node = ((field.chance.unit() * nodes as f64) as usize).min(nodes - 1);
        let patience = field.between(field.scenario.clients.patience);
        let Some(client) = field.clients.get_mut(&id) else { return };
        client.tried = field.now;
        (client.try_number, client.node, client.call, client.answered) =
            (client.try_number + 1, node, None, false);
        let (try_number, timeout) = (client.try_number, field.products[client.product].timeout);
        field.report.tries += 1;
        field.report.went(field.now, if try_number == 1 { Went::First } else { Went::Again });
        let delay = field.delay();
        field.after(delay, Event::AtNode { client: id, try_number });
        field.after(timeout.times(patience), Event::GivesUp { client: id, try_number });
    }

    pub(super) fn at_node(&mut self, id: u64, try_number: u32) {
        let now = self.field.now;
        let Some(client) = self.field.clients.get(&id).filter(|client| client.try_number == try_number)
        else {
            return;
        };
        let (node, product, key) = (client.node, client.product, client.key);
        if !self.nodes[node].side.up {
            // Refused at once: nothing was taken.
            let delay = self.field.delay();
            return self
                .field
                .after(delay, Event::Told { client: id, try_number, end: End::RateLimited, wait: None });
        }
        let rules = self.field.products[product];
        let write = self.field.scenario.products[product].write;
        let left = rules.timeout;
        let left = Span((left.0 - Span::ms(3).0).max(0));
        let (call, until) = (self.field.id(), now + left);
        if let Some(client) = self.field.clients.get_mut(&id) {
            client.call = Some(call);
        }
        self.field.watch.taken(now, call, node, rules, until + Span::ms(3));
        self.field.at(until + Span::ms(3) + SLACK, Event::CallDue { call });
        let open = Open {
            call,
            client: id,
            try_number,
            product,
            key,
            write,
            until,
            answered: false,
            attempts: Vec::new(),
            missed: Vec::new(),
        };
        let side = &mut self.nodes[node].side;
        let ix = side.calls.put(open);
        side.indices.insert(call, ix);
        let text = format!("{key:x}");
        let ask = Ask { product, tenant: usize::MAX, key: Some(&text), write, repeat: try_number > 1, left };
        self.with_router(node, |router, effects, now| router.call(now, ix, ask, effects));
    }

    /// A try has had its time: the client closes, and may ask again.
    pub(super) fn gives_up(&mut self, id: u64, try_number: u32) {
        let Some(client) = self.field.clients.get(&id).filter(|client| client.try_number == try_number)
        else {
            return;
        };
        if client.answered {
            return;
        }
        let (node, call) = (client.node, client.call);
        let early = self.field.now - client.tried < self.field.products[client.product].timeout;
        if let Some(call) = call {
            // One that stayed to its client timeout was owed an answer.
            if early {
                self.field.watch.left(self.field.now, call);
            }
            let side = &mut self.nodes[node].side;
            if let Some(&ix) = side.indices.get(&call).filter(|_| side.up) {
                let owed =
                    side.calls.get_mut(ix).is_some_and(|open| !std::mem::replace(&mut open.answered, true));
                if owed {
                    self.with_router(node, |router, effects, now| router.withdrawn(now, ix, effects));
                }
            }
        }
        self.next_try(id, End::GaveUp, None);
    }

    pub(super) fn told(&mut self, id: u64, try_number: u32, end: End, wait: Option<Span>) {
        let Some(client) = self.field.clients.get_mut(&id).filter(|client| client.try_number == try_number)
        else {
            return;
        };
        if std::mem::replace(&mut client.answered, true) {
            return;
        }
        if end != End::Fulfilled {
            let away = if try_number == 1 { Went::FirstAway } else { Went::AgainAway };
            self.field.report.went(self.field.now, away);
            return self.next_try(id, end, wait);
        }
        let Some(client) = self.field.clients.remove(&id) else { return };
        let took = self.field.now - client.asked;
        let rules = self.field.products[client.product];
        let in_slo = took <= rules.slo;
        let part = if in_slo { 1.0 } else { rules.late_value };
        let (product, asked, worth) = (client.product, client.asked, rules.value);
        self.field.report.end(Ended { product, asked, took, end, in_slo, worth, part });
    }

    /// Asks again where clients do, or ends without a value.
    pub(super) fn next_try(&mut self, id: u64, end: End, wait: Option<Span>) {
        let field = &mut self.field;
        let Some(client) = field.clients.get_mut(&id) else { return };
        let effect = field.products[client.product].effect;
        let harmless = effect != quartzhub_policy::Effect::NonIdempotent || end == End::RateLimited;
        if harmless && (client.try_number as usize) <= field.scenario.clients.retries && field.now < field.end
        {
            client.answered = true;
            let mean = wait.map_or(field.scenario.clients.wait_ms, Span::as_ms);
            let wait = Span::from_ms(mean * (0.5 + field.chance.unit()));
            return field.after(wait, Event::Retries { client: id });
        }
        if let Some(client) = field.clients.remove(&id) {
            let (took, worth) = (field.now - client.asked, field.products[client.product].value);
            let (product, asked) = (client.product, client.asked);
            field.report.end(Ended { product, asked, took, end, in_slo: false, worth, part: 0.0 });
        }
    }
}
