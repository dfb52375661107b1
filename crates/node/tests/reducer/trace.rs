//! The format of effects in printed traces.
use super::common::*;

/// Returns an effect in the format of the trace.
pub fn describe(effect: Effect) -> String {
    match effect {
        Effect::Connect {
            upstream, address, ..
        } => {
            format!("connect {} to {}", upstream.0, address.port())
        }
        Effect::Write {
            upstream,
            request,
            time_left: remaining,
            ..
        } => format!(
            "write {}: {}, time_left {}",
            upstream.0,
            request.id,
            remaining.as_ms()
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
            after_silence: silence,
        } if silence == Span::ZERO => {
            format!("close client {}", client.0)
        }
        Effect::CloseClient {
            client,
            after_silence: silence,
        } => format!(
            "close client {} after {} ms of silence",
            client.0,
            silence.as_ms()
        ),
        Effect::EndLinger { client } => format!("end linger of client {}", client.0),
        Effect::BreakOffValue { client } => format!("break off the value of client {}", client.0),
        Effect::DrainClient { client } => format!("drain client {}", client.0),
    }
}
