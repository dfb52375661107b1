//! Effects as the printed traces have them.
use super::common::*;

/// An effect as the trace has it.
pub fn describe(effect: Effect) -> String {
    match effect {
        Effect::Connect { upstream, to, .. } => {
            format!("connect {} to {}", upstream.0, to.port())
        }
        Effect::Write {
            upstream,
            request,
            time_left: wait,
            ..
        } => format!(
            "write {}: {}, wait {}",
            upstream.0,
            request.id,
            wait.as_ms()
        ),
        Effect::CloseUpstream { upstream } => format!("close upstream {}", upstream.0),
        Effect::Respond { client, response } => match response {
            Response::Success(value) => {
                format!("answer {}: {}", client.0, String::from_utf8_lossy(&value))
            }
            Response::Plain(_) => format!("answer {}: plain", client.0),
            response => format!("answer {}: {response:?}", client.0),
        },
        Effect::CloseClient {
            client,
            after_silence: quiet,
        } if quiet == Span::ZERO => {
            format!("close client {}", client.0)
        }
        Effect::CloseClient {
            client,
            after_silence: quiet,
        } => format!(
            "close client {} after {} ms of silence",
            client.0,
            quiet.as_ms()
        ),
        Effect::AbortClient { client } => format!("cut client {}", client.0),
        Effect::DrainClient { client } => format!("read no more of client {}", client.0),
    }
}
