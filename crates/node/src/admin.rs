//! The admin API for operators: HTTP/1.1 by hyper, one request per connection. It owns no state;
//! requests are passed to the reducer and to `Peers`.
use std::cell::RefCell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, ALLOW, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, AbortHandle};

use crate::accept_failures::{AcceptFailures, AcceptRetry};
use crate::clock::duration;
use crate::effects::EffectExecutor;
use crate::peers::Peers;
use crate::reducer::Reducer;

/// The operations of the admin API.
#[derive(Debug, Clone, Copy)]
enum AdminCall {
    Ready,
    Counters,
    Members,
    LeaveService,
    EnterService,
    Drain,
    Restore,
}

/// Handles requests to the admin API.
struct AdminHandler {
    executor: Rc<EffectExecutor>,
    /// The other nodes; `None` if membership is off.
    peers: Option<Rc<Peers>>,
}

/// A connection to the admin API that is being served.
struct OpenConnection {
    id: u64,
    task: AbortHandle,
}

/// Accepts connections to the admin API. Callers that keep connections open with partial requests
/// can't block it: the number of connections is limited, and at the limit the oldest one, which has
/// had the most time, is closed for the next.
pub async fn accept(executor: Rc<EffectExecutor>, listener: TcpListener, peers: Option<Rc<Peers>>) {
    let handler = Rc::new(AdminHandler { executor, peers });
    let limits = &handler.executor.limits;
    let open: Rc<RefCell<VecDeque<OpenConnection>>> = Rc::default();
    let mut failures = AcceptFailures::default();
    for id in 0u64.. {
        match listener.accept().await {
            Ok((stream, _)) => {
                failures.on_accepted();
                if open.borrow().len() >= limits.admin_connections {
                    if let Some(oldest) = open.borrow_mut().pop_front() {
                        oldest.task.abort();
                    }
                    // Lets the aborted task close its descriptor before the next accept.
                    tokio::task::yield_now().await;
                }
                let (handler, open_connections) = (handler.clone(), open.clone());
                let task = spawn_local(async move {
                    let timeout = duration(handler.executor.limits.admin_request_timeout);
                    let _ = tokio::time::timeout(timeout, serve_connection(handler, stream)).await;
                    open_connections
                        .borrow_mut()
                        .retain(|connection| connection.id != id);
                });
                open.borrow_mut().push_back(OpenConnection {
                    id,
                    task: task.abort_handle(),
                });
            }
            Err(error) => match failures.on_failure(&error) {
                AcceptRetry::Immediate => {
                    tracing::info!("admin API: accept failed for an aborted connection: {error}");
                    tokio::task::yield_now().await;
                }
                AcceptRetry::AfterPause => {
                    tracing::warn!("admin API: accept failed: {error}");
                    tokio::time::sleep(duration(limits.accept_retry_interval)).await;
                }
            },
        }
    }
}

async fn serve_connection(handler: Rc<AdminHandler>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let executor = handler.executor.clone();
    let limits = &executor.limits;
    let service = service_fn(move |request| {
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(handler.handle(request).await) }
    });
    let mut server = http1::Builder::new();
    server
        .keep_alive(false)
        .half_close(true)
        .timer(TokioTimer::new())
        .header_read_timeout(duration(limits.admin_request_timeout))
        .max_buf_size(limits.admin_head_bytes)
        .max_headers(limits.http_header_fields);
    let served = server.serve_connection(TokioIo::new(stream), service).await;
    if let Err(error) = served {
        tracing::warn!("admin API: serving a request failed: {error}");
    }
}

impl AdminCall {
    fn at_path(path: &str) -> Option<AdminCall> {
        match path {
            "/control/ready" => Some(AdminCall::Ready),
            "/control/counters" => Some(AdminCall::Counters),
            "/control/members" => Some(AdminCall::Members),
            "/control/out-of-service" => Some(AdminCall::LeaveService),
            "/control/in-service" => Some(AdminCall::EnterService),
            "/control/drain" => Some(AdminCall::Drain),
            "/control/restore" => Some(AdminCall::Restore),
            _ => None,
        }
    }

    fn method(self) -> Method {
        match self {
            AdminCall::Ready | AdminCall::Counters | AdminCall::Members => Method::GET,
            AdminCall::LeaveService
            | AdminCall::EnterService
            | AdminCall::Drain
            | AdminCall::Restore => Method::POST,
        }
    }
}

impl AdminHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let Some(call) = AdminCall::at_path(request.uri().path()) else {
            return plain_text(StatusCode::NOT_FOUND, "no such call\n");
        };
        if *request.method() != call.method() {
            return method_not_allowed(&call.method());
        }
        // Reads the whole body first, so that nothing is done for a partial request.
        let max_bytes = self.executor.limits.admin_body_bytes;
        let body = Limited::new(request.into_body(), max_bytes).collect().await;
        let Ok(body) = body else {
            return plain_text(
                StatusCode::PAYLOAD_TOO_LARGE,
                "the body is cut short or too long\n",
            );
        };
        self.execute(call, &body.to_bytes())
    }

    fn execute(&self, call: AdminCall, body: &[u8]) -> Response<Full<Bytes>> {
        match call {
            AdminCall::Ready => self.ready(),
            AdminCall::Counters => self.counters(),
            AdminCall::Members => self.members(),
            AdminCall::LeaveService => {
                tracing::info!("admin API: node taken out of service");
                self.executor
                    .report(|reducer, now| reducer.leave_service(now));
                plain_text(StatusCode::OK, "out of service\n")
            }
            AdminCall::EnterService => {
                tracing::info!("admin API: node put back in service");
                self.executor
                    .report(|reducer, now| reducer.enter_service(now));
                plain_text(StatusCode::OK, "in service\n")
            }
            AdminCall::Drain => self.set_drain_override(body, true),
            AdminCall::Restore => self.set_drain_override(body, false),
        }
    }

    fn ready(&self) -> Response<Full<Bytes>> {
        if self.executor.query(Reducer::is_ready) {
            plain_text(StatusCode::OK, "ready\n")
        } else {
            plain_text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
        }
    }

    fn counters(&self) -> Response<Full<Bytes>> {
        let now = self.executor.clock.now();
        json(
            self.executor
                .query(|reducer| serde_json::to_string(&reducer.metrics(now))),
        )
    }

    fn members(&self) -> Response<Full<Bytes>> {
        let Some(peers) = &self.peers else {
            return plain_text(StatusCode::NOT_FOUND, "membership is off\n");
        };
        let server_id = |server| {
            self.executor
                .query(|reducer| reducer.server_id(server).map(str::to_owned))
        };
        json(serde_json::to_string(&peers.view(server_id)))
    }

    /// Drains a server at every node, or revokes that; `body` is the server's id.
    fn set_drain_override(&self, body: &[u8], drain: bool) -> Response<Full<Bytes>> {
        let Some(peers) = &self.peers else {
            return plain_text(
                StatusCode::NOT_FOUND,
                "membership is off, so an order would reach this node alone\n",
            );
        };
        let server = std::str::from_utf8(body)
            .ok()
            .map(str::trim)
            .filter(|server| !server.is_empty());
        let Some(server) = server else {
            return plain_text(
                StatusCode::BAD_REQUEST,
                "the body has to be the server's id\n",
            );
        };
        match peers.set_drain_override(&self.executor, server, drain) {
            Ok(drain_override) => plain_text(
                StatusCode::OK,
                format!("ordered, version {}\n", drain_override.version),
            ),
            Err(reason) => plain_text(StatusCode::CONFLICT, format!("{server}: {reason}\n")),
        }
    }
}

fn method_not_allowed(allowed: &Method) -> Response<Full<Bytes>> {
    let mut response = plain_text(StatusCode::METHOD_NOT_ALLOWED, "another method is needed\n");
    let allowed = HeaderValue::from_static(match *allowed {
        Method::GET => "GET",
        _ => "POST",
    });
    response.headers_mut().insert(ALLOW, allowed);
    response
}

fn plain_text(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

fn json(text: serde_json::Result<String>) -> Response<Full<Bytes>> {
    let mut response = plain_text(StatusCode::OK, text.unwrap_or_default());
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
