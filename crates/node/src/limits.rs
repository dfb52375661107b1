//! Every limit of the node: sizes, counts and times. Filled once at start and handed down.
use quartzhub_policy::{Settings, Span};

#[derive(Debug, Clone)]
pub struct Limits {
    /// Connections from clients and to servers at once, together; how many of them only clients get, so that
    /// one more can be told something; and how many only servers.
    pub sockets: usize,
    pub for_clients: usize,
    pub for_servers: usize,
    /// Clients that have made API calls, kept while idle: well under the third of all descriptors that clients
    /// hold at the most.
    pub clients_kept: usize,
    /// Idle connections kept to one server.
    pub idle_upstreams: usize,
    /// Connections to servers beyond which none is kept idle.
    pub upstreams_kept: usize,
    /// API calls open at once, in all and on one client's connection.
    pub calls: usize,
    pub calls_per_client: usize,
    /// Bytes: a value; one up to which it is kept whole and checked before any of it is passed on; any other word of
    /// a command; and the words of a command.
    pub value: usize,
    pub whole: usize,
    pub word: usize,
    pub words: usize,
    /// Of a RESP reply: bytes of a line that is no value and of the word on how it went, items of an array, and
    /// how deep arrays nest.
    pub reply_line: usize,
    pub reply_word: usize,
    pub reply_items: usize,
    pub reply_depth: usize,
    /// Fields in the head of an HTTP answer, and heads of 1xx answers ahead of it.
    pub http_fields: usize,
    pub http_interim: usize,
    /// Bytes: the head of an HTTP answer, and one line of discovery's news.
    pub http_head: usize,
    pub list_line: usize,
    /// Servers that discovery may name in the node's life.
    pub servers: usize,
    /// Bytes of values and unwritten answers held, and of what clients have sent in part, in all; beyond it new API
    /// calls are turned away, and large commands wait.
    pub held: usize,
    /// Bytes under which an answer is never too long to be held.
    pub short_answer: usize,
    /// Bytes of buffer that a connection with nothing in it keeps.
    pub buffer_kept: usize,
    /// Bytes of a value on its way from a server to a client that the node keeps at the most, and how long either
    /// may stand still meanwhile.
    pub window: usize,
    pub stands_still: Span,
    /// How long a client with a large command waits for room.
    pub room_wait: Span,
    /// Bytes asked of a socket in one read.
    pub read: usize,
    /// Until a connection to a server must be up.
    pub connect: Span,
    /// After which an idle connection to a server is closed: before the server does. And how long one should have
    /// been idle before it is used again: a server's stray bytes have come by then.
    pub upstream_idle: Span,
    pub upstream_rest: Span,
    /// From some of an answer to the next, while it is not whole.
    pub answer_whole: Span,
    /// After which a client's connection is closed: with no API call open, with none ever made, with half a command
    /// sent, the same where it is the first and counted from its coming, with half a large one that still comes,
    /// and with an answer that it does not take.
    pub client_idle: Span,
    pub client_silent: Span,
    pub half_command: Span,
    pub half_first: Span,
    pub large_command: Span,
    pub untaken_answer: Span,
    /// From when on an idle client is the first to make room: one that has made API calls, and one that has not.
    pub client_spare: Span,
    pub client_new: Span,
    /// Commands of one client taken up before the others have their turn; and commands that can't be done after
    /// which it is closed.
    pub commands_a_turn: usize,
    pub faults_per_client: usize,
    /// How long, and how many bytes, are read from a client that was told what is wrong, before it is closed.
    pub drain: Span,
    pub drain_bytes: usize,
    /// The same of one that is sent away.
    pub linger: Span,
    /// Longest wait that a client may name.
    pub client_wait: Span,
    /// Until what lies unread at a client that is to be closed must be at hand.
    pub last_read: Span,
    /// Part of the client's wait kept in hand for the way there and back.
    pub way: Span,
    /// After its client timeout, when an API call that has no answer yet is ended here.
    pub overdue: Span,
    /// Lateness of the module's timer from which the node takes itself to have stood still, and how long
    /// after that what it reads is taken to have waited as long.
    pub stalled: Span,
    pub stall_read: Span,
    /// How often, and how long, it is tried to listen on an address that is still in use.
    pub listen_pause: Span,
    pub listen_longest: Span,
    /// The wait after an accept that failed for want of descriptors.
    pub accept_pause: Span,
    /// Without a whole line on a watch after which it is asked for again: more than the time between two signs of life,
    /// less than the time after which all counts as told. And the waits before that.
    pub watch_silence: Span,
    /// The same for a watch just asked for: the agent answers at once, and what a watch missed counts as told 6 s after it
    /// fell silent, also if the next one is silent too; and for each third one in a row, as an agent may be slow.
    pub watch_open: Span,
    pub watch_slow: Span,
    pub watch_first: Span,
    pub watch_longest: Span,
    /// After SIGTERM: how long to accept at least, and how long without a new connection; until when clients are
    /// served on, until when all is answered, when those still there are closed, and the end; and how often it is looked
    /// whether all is.
    pub stop_accept: Span,
    pub stop_quiet: Span,
    pub stop_serve: Span,
    pub stop_answered: Span,
    pub stop_part: Span,
    pub stop_longest: Span,
    pub stop_look: Span,
    /// After operators send clients away, or SIGTERM hands them over: until the front knows, and from when on they
    /// are closed in the shortest pause; and until the rest of half a command must have come.
    pub leave_front: Span,
    pub leave_firm: Span,
    pub last_half: Span,
    /// For the first news of discovery, before clients that another process serves too are taken.
    pub first_news: Span,
    /// For the first word of another node, and with it operators' orders, before clients are taken.
    pub first_orders: Span,
    /// Operators' calls at once; the time for one, and bytes of its head and its body.
    pub ops_calls: usize,
    pub ops_call: Span,
    pub ops_head: usize,
    pub ops_body: usize,
    /// Products whose answers are counted in the node's life.
    pub products: usize,
    /// Log lines a second, and saved up.
    pub log_rate: f64,
    pub log_burst: f64,
    /// At the end, for the last lines to be written.
    pub log_last: Span,
}

/// What the machine gives the process.
#[derive(Debug, Clone, Copy, PartialEq, serde::Deserialize)]
#[serde(default)]
pub struct Machine {
    pub memory_mb: f64,
    pub sockets: usize,
}

impl Default for Machine {
    fn default() -> Machine {
        Machine { memory_mb: 192.0, sockets: 1024 }
    }
}

/// Descriptors for the listener, discovery, the event queue, signals, standard streams and what libraries open.
const DESCRIPTORS_KEPT: usize = 24;
/// Operators' calls at once: a few tools, and callers that hold a connection with half a call.
const OPS_CALLS: usize = 16;
/// Part of the longest client timeout that planned restarts leave after SIGTERM at the most; 700 ms more, and SIGKILL comes.
const STOP_GIVEN: Span = Span::ms(3_000);
/// Bytes that an open API call takes at the most, its value apart.
const CALL_BYTES: f64 = 4096.0;

impl Default for Limits {
    fn default() -> Limits {
        Limits::new(Machine::default(), &Settings::default())
    }
}

impl Limits {
    pub fn new(machine: Machine, settings: &Settings) -> Limits {
        let sockets = machine.sockets.saturating_sub(DESCRIPTORS_KEPT).max(8);
        let memory = machine.memory_mb.clamp(16.0, 65536.0) * 1e6;
        let timeouts = settings.products().iter().map(|product| product.timeout).max();
        let longest = timeouts.unwrap_or(Span::ms(1000));
        let given = longest.min(STOP_GIVEN);
        let keepalive = settings.span("caps.keepalive", Span::ms(15_000));
        let held = settings.number("caps.most_held", 40_000.0).max(1.0) as usize;
        Limits {
            sockets,
            for_clients: (sockets / 16).max(2),
            for_servers: sockets / 4,
            clients_kept: machine.sockets / 4,
            idle_upstreams: 64,
            upstreams_kept: sockets,
            calls: held.min((memory / 8.0 / CALL_BYTES) as usize),
            calls_per_client: 128,
            value: 4 * 1024 * 1024,
            whole: 64 * 1024,
            word: 1024,
            words: 16,
            reply_line: 1024,
            reply_word: 32,
            reply_items: 64,
            reply_depth: 3,
            http_fields: 64,
            http_interim: 8,
            http_head: 16 * 1024,
            list_line: 1024 * 1024,
            servers: 16 * 1024,
            held: (memory / 3.0) as usize,
            short_answer: 64,
            buffer_kept: 4 * 1024,
            // A quarter of the memory, where half of the sockets have clients that take slowly.
            window: ((memory / 2.0) as usize / sockets).clamp(8 * 1024, 128 * 1024),
            stands_still: Span::ms(5_000),
            room_wait: Span::ms(1_500),
            read: 16 * 1024,
            connect: settings.span("caps.connect_timeout", Span::ms(250)).max(Span::ms(1)),
            upstream_idle: keepalive.times(0.8),
            upstream_rest: Span::ms(2),
            answer_whole: settings.span("caps.connect_timeout", Span::ms(250)).max(Span::ms(50)),
            client_idle: Span::ms(5_000),
            client_silent: Span::ms(2_500),
            half_command: Span::ms(2_500),
            half_first: Span::ms(2_900),
            large_command: Span::ms(15_000),
            untaken_answer: Span::ms(5_000),
            client_spare: Span::ms(2_000),
            client_new: Span::ms(20),
            commands_a_turn: 16,
            faults_per_client: 16,
            drain: Span::ms(1_000),
            drain_bytes: 64 * 1024 * 1024,
            linger: Span::ms(200),
            client_wait: Span::ms(3_600_000),
            last_read: Span::ms(100),
            way: Span::ms(3),
            overdue: Span::ms(10),
            stalled: Span::ms(20),
            stall_read: Span::ms(5),
            listen_pause: Span::ms(20),
            listen_longest: Span::ms(10_000),
            accept_pause: Span::ms(20),
            watch_silence: Span::ms(3_000),
            watch_open: Span::ms(1_000),
            watch_slow: Span::ms(2_500),
            watch_first: Span::ms(50),
            watch_longest: Span::ms(700),
            stop_accept: Span::ms(500),
            stop_quiet: Span::ms(150),
            // Planned restarts give the longest client timeout and 700 ms; 3 s at the most, however long the timeout is.
            stop_serve: given + Span::ms(430),
            stop_answered: given + Span::ms(540),
            // What is overdue has been answered, and there is time for the last answers to be taken.
            stop_part: given + Span::ms(560),
            stop_longest: given + Span::ms(620),
            stop_look: Span::ms(5),
            leave_front: Span::ms(350),
            leave_firm: Span::ms(1_500),
            last_half: Span::ms(500),
            first_news: Span::ms(1_500),
            first_orders: Span::ms(400),
            ops_calls: OPS_CALLS,
            ops_call: Span::ms(5_000),
            ops_head: 8 * 1024,
            ops_body: 4 * 1024,
            products: 1024,
            log_rate: 20.0,
            log_burst: 100.0,
            log_last: Span::ms(100),
        }
    }

    /// With the times that settings tell, where others are live than at the start.
    pub fn retuned(&self, settings: &Settings) -> Limits {
        let new = Limits::new(Machine::default(), settings);
        Limits {
            connect: new.connect,
            upstream_idle: new.upstream_idle,
            answer_whole: new.answer_whole,
            stop_serve: new.stop_serve,
            stop_answered: new.stop_answered,
            stop_part: new.stop_part,
            stop_longest: new.stop_longest,
            ..self.clone()
        }
    }

    /// For a process that now and then serves beside the one before or after it, on one machine's limits: neither may
    /// take more than half of the memory, or keep upstreams that it does not need now beyond a quarter of the sockets.
    /// Clients' sockets need no share, as one client is at one of the two.
    pub fn shared(mut self) -> Limits {
        (self.held, self.window) = (self.held / 2, (self.window / 2).max(8 * 1024));
        self.upstreams_kept = self.sockets / 4;
        self
    }

    /// Sets descriptors aside for operators' calls.
    pub fn with_ops(mut self) -> Limits {
        self.sockets = self.sockets.saturating_sub(self.ops_calls).max(8);
        self
    }

    /// Bytes that a client's connection may hold unread: one whole command.
    pub fn command(&self) -> usize {
        self.value + self.words * (self.word.min(256)) + 4096
    }

    /// Bytes that a connection to a server may hold: one whole reply, or the beginning of a larger one.
    pub fn reply(&self) -> usize {
        self.whole + self.http_head + 4096
    }
}
