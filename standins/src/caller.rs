//! HTTP client of the load generator. It verifies each answer and detects truncated and mismatched
//! ones.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use fescuestack_http::ClientConnection;
use http_types::{Method, Request, Response, StatusCode, Url};
use serde::Serialize;

use crate::arrivals::LoadClass;
use crate::exchange::{AnswerBody, KEY_HEADER, REQUEST_HEADER};
use crate::ledger::request_id;

/// Outcome of an attempt, as seen by the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AnswerVerdict {
    /// A complete answer to this request.
    Done {
        /// Time that the upstream held the request, in microseconds.
        held_us: u64,
    },
    /// The answer states that the request was not run.
    NotRun,
    /// The answer states that the request may have run.
    Unknown,
    /// The body of the answer is incomplete.
    Truncated,
    /// The answer reports success, but its body is malformed or belongs to another request.
    Foreign,
    /// The connection could not be opened, or it closed without an answer.
    Broken,
    /// No answer arrived within the caller's patience.
    GaveUp,
}

/// Result of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallAnswer {
    /// Outcome of the attempt.
    pub verdict: AnswerVerdict,
    /// Result code of the node, if the answer has one.
    pub code: Option<u16>,
}

impl CallAnswer {
    const BROKEN: CallAnswer = CallAnswer { verdict: AnswerVerdict::Broken, code: None };
    const TRUNCATED: CallAnswer = CallAnswer { verdict: AnswerVerdict::Truncated, code: None };
}

/// Idle time after which a connection is not reused, because the peer may have closed it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout for opening a connection. The patience of the caller ends longer waits anyway.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(30);

/// HTTP client with a pool of idle connections for each address.
#[derive(Debug, Default)]
pub struct LoadClient {
    idle_connections: Mutex<HashMap<SocketAddr, Vec<ClientConnection>>>,
}

impl LoadClient {
    /// Creates a client without open connections.
    pub fn new() -> LoadClient {
        LoadClient::default()
    }

    /// Sends an attempt and waits for its answer. Dropping the future closes the connection, which
    /// cancels the request.
    pub async fn call(
        &self,
        address: SocketAddr,
        class: &LoadClass,
        number: u64,
        key: &str,
        attempt: &str,
    ) -> CallAnswer {
        let Some(request) = build_request(class, number, key, attempt) else {
            return CallAnswer::BROKEN;
        };
        let Some(mut connection) = self.connect(address).await else { return CallAnswer::BROKEN };
        let Ok(mut response) = connection.send(request).await else { return CallAnswer::BROKEN };
        let Ok(body) = response.body_bytes().await else { return CallAnswer::TRUNCATED };
        self.store_idle(address, connection);
        let code = header_value(&response, "fescuestack-code").and_then(|code| code.parse().ok());
        CallAnswer { verdict: classify_answer(&response, &body, attempt), code }
    }

    async fn connect(&self, address: SocketAddr) -> Option<ClientConnection> {
        while let Some(connection) = self.take_idle(address) {
            if connection.idle_time() < IDLE_TIMEOUT && connection.is_reusable() {
                return Some(connection);
            }
        }
        ClientConnection::open(address, CONNECT_TIMEOUT).await.ok()
    }

    fn take_idle(&self, address: SocketAddr) -> Option<ClientConnection> {
        let mut idle = self.idle_connections.lock().unwrap_or_else(PoisonError::into_inner);
        idle.get_mut(&address)?.pop()
    }

    fn store_idle(&self, address: SocketAddr, connection: ClientConnection) {
        let mut idle = self.idle_connections.lock().unwrap_or_else(PoisonError::into_inner);
        idle.entry(address).or_default().push(connection);
    }
}

fn build_request(class: &LoadClass, number: u64, key: &str, attempt: &str) -> Option<Request> {
    let path = class.path.replace("{n}", &number.to_string());
    let url = Url::parse(&format!("http://{}{path}", class.service)).ok()?;
    let mut request = Request::new(class.method.parse::<Method>().ok()?, url);
    request.insert_header(REQUEST_HEADER, attempt);
    if class.has_key {
        request.insert_header(KEY_HEADER, key);
    }
    if !class.caller_class.is_empty() {
        request.insert_header("fescuestack-caller", class.caller_class.as_str());
    }
    if class.is_poison {
        request.insert_header("poison", "1");
    }
    request.set_body(vec![b'b'; class.body_bytes]);
    Some(request)
}

fn header_value<'a>(response: &'a Response, name: &str) -> Option<&'a str> {
    response.header(name).map(|values| values.last().as_str())
}

/// Classifies a complete answer. Answers of upstreams that are called directly have no outcome header
/// and are classified by their status.
fn classify_answer(response: &Response, body: &[u8], attempt: &str) -> AnswerVerdict {
    match header_value(response, "fescuestack-outcome") {
        Some("not-run") => AnswerVerdict::NotRun,
        Some("unknown") => AnswerVerdict::Unknown,
        Some(_) => classify_body(body, attempt),
        None => match response.status() {
            StatusCode::Ok => classify_body(body, attempt),
            StatusCode::ServiceUnavailable => AnswerVerdict::NotRun,
            _ => AnswerVerdict::Unknown,
        },
    }
}

/// Checks that the body is the answer of a stand-in to any attempt of this request. A recorded answer
/// may belong to an earlier attempt.
fn classify_body(body: &[u8], attempt: &str) -> AnswerVerdict {
    match serde_json::from_slice::<AnswerBody>(body) {
        Ok(answer) if request_id(&answer.request) == request_id(attempt) => {
            AnswerVerdict::Done { held_us: answer.held_us }
        }
        _ => AnswerVerdict::Foreign,
    }
}
