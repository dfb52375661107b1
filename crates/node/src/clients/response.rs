//! Encodes responses in RESP.
use crate::messages::Response;
use crate::resp::encode_bulk_string;

/// Encodes a response; for a streamed one, the bytes that precede its value.
pub fn encode(response: Response) -> Vec<u8> {
    match response {
        Response::Success(value) => {
            let mut bytes = Vec::new();
            encode_bulk_string(&mut bytes, &value);
            bytes
        }
        Response::Streamed { size, .. } => format!("${size}\r\n").into_bytes(),
        Response::RateLimited(None) => b"-BUSY\r\n".to_vec(),
        Response::RateLimited(Some(retry_after)) => {
            format!("-BUSY {}\r\n", retry_after.as_ms().max(0.0).ceil() as u64).into_bytes()
        }
        Response::Error(reason) => format!("-ERR {reason}\r\n").into_bytes(),
        Response::Plain(bytes) => bytes,
    }
}
