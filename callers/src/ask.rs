//! Questions to earlier owners of an idempotency key.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use fescuestack_core::{KeyAnswer, KeyQuestion, NodeName};
use fescuestack_http::{BufferedBody, buffer_body};
use fescuestack_upstreams::{ExchangeLimits, PeerKind, PoolSettings, PoolTable};
use futures_lite::future;
use http_types::{Body, Method, Request, Url};

use crate::headers::ASK_HEADER;

/// Longest wait for the answer of an earlier owner.
const ASK_LIMIT: Duration = Duration::from_secs(1);

/// Longest answer, in bytes: a recorded body of 16 KB takes up to 4 characters a byte as JSON.
const ANSWER_LIMIT_BYTES: usize = 128 * 1024;

/// Connections for questions to each node.
const ASK_CONNECTIONS: usize = 2;

/// The client for questions, with connections of its own: the questions must not wait behind calls.
#[derive(Debug)]
pub(crate) struct KeyAsker {
    pools: PoolTable,
}

impl KeyAsker {
    pub(crate) fn new(settings: PoolSettings) -> KeyAsker {
        KeyAsker { pools: PoolTable::new(PeerKind::Node, settings) }
    }

    pub(crate) fn sweep(&self) {
        self.pools.evict_idle();
    }

    /// Asks all owners at the same time. `None` stands for one that did not answer.
    pub(crate) async fn ask(
        &self,
        service: &str,
        question: &KeyQuestion,
        owners: Vec<(NodeName, Option<SocketAddr>)>,
        deadline: Instant,
    ) -> Vec<(NodeName, Option<KeyAnswer>)> {
        let deadline = deadline.min(Instant::now() + ASK_LIMIT);
        let mut answers = Vec::with_capacity(owners.len());
        let mut pending: Vec<_> = owners
            .into_iter()
            .map(|(owner, relay)| {
                Box::pin(async move {
                    let answer = match relay {
                        Some(relay) => self.ask_one(service, question, relay, deadline).await,
                        None => None,
                    };
                    (owner, answer)
                })
            })
            .collect();
        future::poll_fn(|cx| {
            pending.retain_mut(|asking| match asking.as_mut().poll(cx) {
                std::task::Poll::Ready(answer) => {
                    answers.push(answer);
                    false
                }
                std::task::Poll::Pending => true,
            });
            if pending.is_empty() { std::task::Poll::Ready(()) } else { std::task::Poll::Pending }
        })
        .await;
        answers
    }

    async fn ask_one(
        &self,
        service: &str,
        question: &KeyQuestion,
        relay: SocketAddr,
        deadline: Instant,
    ) -> Option<KeyAnswer> {
        let url = Url::parse(&format!("http://{service}/")).ok()?;
        let mut request = Request::new(Method::Post, url);
        request.insert_header(ASK_HEADER, "1");
        request.set_body(Body::from_bytes(serde_json::to_vec(question).ok()?));
        let pool = self.pools.get_or_create(relay, ASK_CONNECTIONS);
        let limits = ExchangeLimits { deadline, idempotent: true };
        let mut answer = pool.exchange(request, limits).await.ok()?;
        match buffer_body(answer.take_body(), ANSWER_LIMIT_BYTES).await.ok()? {
            BufferedBody::Complete(bytes) => serde_json::from_slice(&bytes).ok(),
            BufferedBody::Partial(..) => None,
        }
    }
}
