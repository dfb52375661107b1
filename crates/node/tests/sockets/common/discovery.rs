//! A stub of the discovery service.
use super::*;

/// Starts a discovery service that takes one watch for each receiver, in their order. A watch sends
/// each message that the test puts into its channel and ends with the channel. The requests of the
/// watches go to `request_sender`.
pub fn discovery(watches: Vec<Receiver<String>>, request_sender: Sender<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for (stream, messages) in listener.incoming().flatten().zip(watches) {
            let request_sender = request_sender.clone();
            std::thread::spawn(move || {
                let mut reader = BufReader::new(stream);
                let _ = request_sender.send(read_request(&mut reader).unwrap_or_default());
                let stream = reader.get_mut();
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                for text in messages.iter() {
                    let _ = stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
                }
            });
        }
        std::thread::park();
    });
    addr
}

/// A discovery service with a given number of watches, and the channels by which a test controls
/// it.
pub struct WatchedDiscovery<const WATCHES: usize> {
    pub addr: SocketAddr,
    /// Senders of the messages of each watch; a watch ends when its sender is dropped.
    pub watches: [Sender<String>; WATCHES],
    /// The requests for watches, in their order.
    pub requests: Receiver<String>,
}

/// Starts a discovery service with `WATCHES` watches.
pub fn watched_discovery<const WATCHES: usize>() -> WatchedDiscovery<WATCHES> {
    let (request_sender, requests) = channel();
    let (mut senders, mut receivers) = (Vec::new(), Vec::new());
    for _ in 0..WATCHES {
        let (sender, receiver) = channel();
        senders.push(sender);
        receivers.push(receiver);
    }
    WatchedDiscovery {
        addr: discovery(receivers, request_sender),
        watches: senders.try_into().expect("as many as were made"),
        requests,
    }
}
