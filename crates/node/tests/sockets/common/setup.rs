//! The common setup of tests: servers that report to the test, and a node that knows them from its
//! start.
use super::*;

/// Builds servers and a node that knows them.
pub struct Setup {
    sender: Sender<String>,
    reports: Receiver<String>,
    known: Vec<(&'static str, SocketAddr)>,
    keys: String,
    descriptors: usize,
}

impl Setup {
    pub fn new() -> Setup {
        let (sender, reports) = channel();
        Setup {
            sender,
            reports,
            known: Vec::new(),
            keys: String::new(),
            descriptors: DESCRIPTORS,
        }
    }

    /// Adds a server that acts by a script.
    pub fn server(
        mut self,
        name: &'static str,
        script: impl FnMut(&str) -> ServerAction + Send + 'static,
    ) -> Setup {
        let addr = server(name, self.sender.clone(), script);
        self.known.push((name, addr));
        self
    }

    /// Adds a server that acts by a script; `read` reads a message and returns the text to report.
    pub fn server_reading(
        mut self,
        name: &'static str,
        read: ReadMessage,
        script: impl FnMut(&str) -> ServerAction + Send + 'static,
    ) -> Setup {
        let addr = server_reading(name, self.sender.clone(), read, script);
        self.known.push((name, addr));
        self
    }

    /// Adds keys to the node's configuration, each with a comma behind it.
    pub fn keys(mut self, keys: &str) -> Setup {
        self.keys += keys;
        self
    }

    /// Sets the limit of the node's file descriptors.
    pub fn descriptors(mut self, descriptors: usize) -> Setup {
        self.descriptors = descriptors;
        self
    }

    /// Starts the node and returns it with the receiver of the servers' reports.
    pub fn start(self) -> (Node, Receiver<String>) {
        let node = Node::start_with_descriptors(&self.known, &self.keys, self.descriptors);
        (node, self.reports)
    }
}
