//! Every limit of the node: sizes, counts and times. Filled once at start and handed down.
mod machine;
#[cfg(test)]
mod tests;
mod values;

use quartzhub_policy::Span;

pub use machine::Machine;

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
    /// How much longer than what an attempt tells its server may be left at its first byte than at its last; and the part of
    /// what is left that a large value may take to go out beyond that.
    pub told_slack: Span,
    pub large_way: f64,
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
    /// served on, until when all is answered, when those still there are closed, and the end; the end where the process was held
    /// up before it, and the looks that it then has for what came meanwhile; and how often it is looked whether all is.
    pub stop_accept: Span,
    pub stop_quiet: Span,
    pub stop_serve: Span,
    pub stop_answered: Span,
    pub stop_part: Span,
    pub stop_longest: Span,
    pub stop_last: Span,
    pub stop_looks: u32,
    pub stop_look: Span,
    /// How often, and how far apart, a configuration that can't be read at SIGHUP is tried again.
    pub reload_tries: usize,
    pub reload_pause: Span,
    /// From new settings until all clients go by them.
    pub settings_settle: Span,
    /// After operators send clients away, or SIGTERM hands them over: until the front knows, from when on they are closed
    /// in the shortest pause, and from when on nothing more is read from them; and until the rest of half a command must have
    /// come.
    pub leave_front: Span,
    pub leave_firm: Span,
    pub leave_part: Span,
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
