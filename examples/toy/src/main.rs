//! A toy deployment to try the node with: three cache servers, their origin and discovery, all in
//! memory and on loopback; and a client that sends one command to the node. The servers log their
//! requests to standard output.
mod cache;
mod client;
mod discovery;
mod http;
mod listener;
mod origin;
mod state;

use std::io;

use clap::{Arg, Command};

use listener::serve;
use state::SharedState;

/// Address on which the node listens for clients.
const NODE: &str = "127.0.0.1:7000";
/// Address on which discovery listens.
const DISCOVERY: &str = "127.0.0.1:7100";
/// Addresses on which the cache servers listen.
const CACHES: [&str; 3] = ["127.0.0.1:7101", "127.0.0.1:7102", "127.0.0.1:7103"];
/// Address on which the origin listens.
const ORIGIN: &str = "127.0.0.1:7109";

fn main() -> io::Result<()> {
    let words = Arg::new("words")
        .num_args(1..)
        .required(true)
        .help("the command and its arguments, such as OBJ.GET borehole-7 id1 c=read,d=500");
    let app = Command::new("quartzhub-toy")
        .about("A toy deployment for trying out the node")
        .subcommand_required(true)
        .subcommand(
            Command::new("fleet").about("Starts three cache servers, their origin and discovery"),
        )
        .subcommand(
            Command::new("ask")
                .about("Sends one command to the node and prints the response")
                .arg(words),
        );
    match app.get_matches().remove_subcommand() {
        Some((name, mut matches)) if name == "ask" => {
            let words = matches.remove_many::<String>("words");
            client::send_command(words.into_iter().flatten().collect())
        }
        _ => run_fleet(),
    }
}

fn run_fleet() -> io::Result<()> {
    let state = SharedState::default();
    for (index, addr) in CACHES.iter().enumerate() {
        let state = state.clone();
        serve(addr, move |stream| cache::serve(index, stream, &state))?;
    }
    serve(ORIGIN, move |stream| origin::serve(stream, &state))?;
    serve(DISCOVERY, discovery::serve)?;
    println!(
        "caches on {}, origin on {ORIGIN}, discovery on {DISCOVERY}",
        CACHES.join(", ")
    );
    loop {
        std::thread::park();
    }
}
