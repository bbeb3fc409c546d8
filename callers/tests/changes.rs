//! Calls while nodes leave, versions change, keys are sent again and load exceeds capacity.

mod mesh;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use async_std::net::SocketAddr;
use async_std::task::{self, JoinHandle};
use fescuestack_core::TargetLiveness;
use futures_lite::io::{AsyncRead, BufReader};
use http_types::{Body, Method};
use mesh::{Mesh, TestAnswer, get, request, send, submit};

/// Calls with paths of their own from several callers, until told to stop.
fn load(
    caller: SocketAddr,
    worker: usize,
    stop: Arc<AtomicBool>,
) -> JoinHandle<Vec<(String, String)>> {
    task::spawn(async move {
        let mut results = Vec::new();
        for index in 0.. {
            if stop.load(Ordering::SeqCst) {
                break;
            }
            let (method, kind) = match index % 2 {
                0 => (Method::Get, "lookup"),
                _ => (Method::Post, "submit"),
            };
            let path = format!("/{kind}/slow/20/{worker}-{index}");
            let answer = send(caller, request(method, &path)).await;
            results.push((path, answer.code));
        }
        results
    })
}

/// Guards against calls that are cut off, refused or run twice because a node shuts down.
#[test]
fn drain_under_load() {
    task::block_on(async {
        let mut mesh = Mesh::start(3, 8).await;
        let stop = Arc::new(AtomicBool::new(false));
        let callers = [mesh.nodes[1].caller, mesh.nodes[2].caller];
        let workers: Vec<_> =
            (0..8).map(|worker| load(callers[worker % 2], worker, stop.clone())).collect();
        task::sleep(Duration::from_millis(300)).await;
        let leaving = mesh.nodes[0].service.clone();
        leaving.begin_drain();
        // Membership tells the others a little later.
        task::sleep(Duration::from_millis(100)).await;
        for node in &mesh.nodes[1..] {
            node.service.set_liveness("a", TargetLiveness::Leaving);
        }
        let refused = get(mesh.nodes[0].caller, "/lookup/x").await;
        assert_eq!((refused.code.as_str(), refused.outcome.as_str()), ("206", "not-run"));
        assert_eq!(get(mesh.nodes[0].local, "/lookup/x").await.code, "100");
        let started = Instant::now();
        assert_eq!(leaving.drained().await, 0);
        // Connections that other nodes hold must be too old for non-idempotent requests by then.
        assert!(started.elapsed() >= Duration::from_secs(1), "{:?}", started.elapsed());
        mesh.nodes[0].die().await;
        mesh.nodes[0].upstream.die().await;
        let runs = mesh.nodes[0].upstream.log.runs.lock().unwrap().len();
        task::sleep(Duration::from_millis(200)).await;
        stop.store(true, Ordering::SeqCst);
        let mut count = 0;
        for worker in workers {
            for (path, code) in worker.await {
                assert_eq!(code, "100", "{path}");
                assert_eq!(mesh.runs_of(&path), 1, "{path}");
                count += 1;
            }
        }
        assert!(count > 0 && runs > 0, "{count} calls, {runs} at the leaving node");
        let refused = send(mesh.nodes[1].caller, request(Method::Post, "/submit/x")).await;
        assert_eq!(refused.code, "100");
    });
}

/// A body that arrives in pieces with pauses.
fn slow_body(pieces: usize) -> Body {
    let stream = futures_lite::stream::unfold(pieces, |left| async move {
        task::sleep(Duration::from_millis(10)).await;
        (left > 0).then(|| (Ok::<_, std::io::Error>(vec![1u8; 10_000]), left - 1))
    });
    let reader: Box<dyn AsyncRead + Send + Sync + Unpin> =
        Box::new(PieceReader { stream: Box::pin(stream), piece: Vec::new() });
    Body::from_reader(BufReader::new(reader), Some(pieces * 10_000))
}

struct PieceReader<S> {
    stream: std::pin::Pin<Box<S>>,
    piece: Vec<u8>,
}

impl<S> AsyncRead for PieceReader<S>
where
    S: futures_lite::Stream<Item = std::io::Result<Vec<u8>>>,
{
    fn poll_read(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
        out: &mut [u8],
    ) -> std::task::Poll<std::io::Result<usize>> {
        if self.piece.is_empty() {
            match std::task::ready!(self.stream.as_mut().poll_next(cx)) {
                Some(piece) => self.piece = piece?,
                None => return std::task::Poll::Ready(Ok(0)),
            }
        }
        let count = out.len().min(self.piece.len());
        out[..count].copy_from_slice(&self.piece[..count]);
        self.piece.drain(..count);
        std::task::Poll::Ready(Ok(count))
    }
}

/// Guards against an upload that is cut off when its target leaves the configuration.
#[test]
fn upload_survives_a_new_version() {
    task::block_on(async {
        let mut mesh = Mesh::start(3, 4).await;
        mesh.install(&[0]);
        let mut upload = request(Method::Post, "/upload/count");
        upload.set_body(slow_body(60));
        let call = task::spawn(send(mesh.nodes[1].caller, upload));
        let log = mesh.nodes[0].upstream.log.clone();
        mesh::eventually("the upload runs", || log.runs_of("/upload/count") == 1).await;
        mesh.install(&[2]);
        assert_eq!(get(mesh.nodes[1].caller, "/lookup/x").await.code, "100");
        assert_eq!(mesh.nodes[2].upstream.log.runs_of("/lookup/x"), 1);
        let answer = call.await;
        assert_eq!((answer.code.as_str(), answer.body.unwrap().as_str()), ("100", "600000"));
    });
}

/// Guards against a small upload that is dispatched although it ended early, and against one that
/// is answered "not run" although it was dispatched in part.
#[test]
fn cut_upload_is_not_run() {
    task::block_on(async {
        use async_std::io::{ReadExt, WriteExt};
        let mesh = Mesh::start(2, 4).await;
        let head = "POST /submit/part HTTP/1.1\r\nhost: shop\r\ncontent-length: 10\r\n\r\nabc";
        let caller = mesh.nodes[0].caller;
        let mut stream = async_std::net::TcpStream::connect(caller).await.unwrap();
        stream.write_all(head.as_bytes()).await.unwrap();
        stream.shutdown(std::net::Shutdown::Write).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.unwrap();
        assert!(answer.starts_with("HTTP/1.1 400") && answer.contains("\"code\":214"), "{answer}");
        assert_eq!(mesh.runs_of("/submit/part"), 0);
    });
}

/// Guards against a second run of a request whose key is sent again through another node.
#[test]
fn key_runs_once() {
    task::block_on(async {
        let mesh = Mesh::start(3, 4).await;
        let early = send(mesh.nodes[0].caller, submit("/submit/early", "k0", "x")).await;
        assert_eq!((early.code.as_str(), early.outcome.as_str()), ("306", "unknown"));
        assert!(early.retry_after.is_some());
        assert_eq!(mesh.runs_of("/submit/early"), 0);
        task::sleep(mesh::KEEP_TIME).await;

        let slow = "/submit/slow/200/x";
        let first = task::spawn(send(mesh.nodes[0].caller, submit(slow, "k1", "body")));
        mesh::eventually("the run", || mesh.runs_of(slow) == 1).await;
        let meanwhile = send(mesh.nodes[1].caller, submit(slow, "k1", "body")).await;
        assert_eq!((meanwhile.code.as_str(), meanwhile.outcome.as_str()), ("307", "unknown"));
        let first: TestAnswer = first.await;
        assert_eq!(first.code, "100");
        let again = send(mesh.nodes[2].caller, submit(slow, "k1", "body")).await;
        assert_eq!((again.code.as_str(), again.outcome.as_str()), ("101", "done"));
        assert_eq!(again.body.unwrap(), first.body.unwrap());
        let other = send(mesh.nodes[1].caller, submit(slow, "k1", "other")).await;
        assert_eq!(other.code, "210");
        assert_eq!(mesh.runs_of(slow), 1);

        let hang = "/submit/hang";
        let left = task::spawn(send(mesh.nodes[0].caller, submit(hang, "k2", "")));
        mesh::eventually("the run", || mesh.runs_of(hang) == 1).await;
        left.cancel().await;
        task::sleep(Duration::from_millis(100)).await;
        let unknown = send(mesh.nodes[1].caller, submit(hang, "k2", "")).await;
        assert_eq!((unknown.code.as_str(), unknown.outcome.as_str()), ("302", "unknown"));
        assert_eq!(mesh.runs_of(hang), 1);
    });
}

/// Guards against a second run after a change of targets moved a key to another owner.
#[test]
fn moved_key_runs_once() {
    task::block_on(async {
        let mut mesh = Mesh::start(3, 4).await;
        mesh.install(&[0, 1]);
        get(mesh.nodes[2].caller, "/lookup/x").await;
        task::sleep(mesh::KEEP_TIME).await;
        let keys: Vec<String> = (0..12).map(|index| format!("key-{index}")).collect();
        for key in &keys {
            let answer =
                send(mesh.nodes[0].caller, submit(&format!("/submit/{key}"), key, "x")).await;
            assert_eq!(answer.code, "100", "{key}");
        }
        mesh.install(&[0, 1, 2]);
        let mut codes: HashMap<String, usize> = HashMap::new();
        for key in &keys {
            let answer =
                send(mesh.nodes[1].caller, submit(&format!("/submit/{key}"), key, "x")).await;
            assert!(answer.code == "101" || answer.outcome == "unknown", "{key}: {}", answer.code);
            assert_eq!(mesh.runs_of(&format!("/submit/{key}")), 1, "{key}");
            *codes.entry(answer.code).or_default() += 1;
        }
        assert!(codes.contains_key("101"), "{codes:?}");
    });
}

/// A call of a load with its path, its answer, and whether that came before the load ended.
struct OfferedCall {
    path: String,
    answer: TestAnswer,
    in_span: bool,
}

/// Runs `rate` calls per second for `span`.
async fn offer(caller: SocketAddr, label: &str, rate: u64, span: Duration) -> Vec<OfferedCall> {
    let started = Instant::now();
    let mut calls = Vec::new();
    while started.elapsed() < span {
        let due = started.elapsed().as_micros() as u64 * rate / 1_000_000;
        while (calls.len() as u64) < due {
            let path = format!("/submit/slow/20/{label}-{}", calls.len());
            calls.push(task::spawn(async move {
                let answer = send(caller, request(Method::Post, &path)).await;
                OfferedCall { path, answer, in_span: started.elapsed() <= span }
            }));
        }
        task::sleep(Duration::from_millis(2)).await;
    }
    let mut answers = Vec::new();
    for call in calls {
        answers.push(call.await);
    }
    answers
}

/// Guards against a goodput that falls when the load exceeds the capacity, against refusals that
/// are not true or come late, and against more running calls than slots.
#[test]
fn overload_keeps_goodput() {
    task::block_on(async {
        let mut mesh = Mesh::start(2, 4).await;
        mesh.install(&[0]);
        let caller = mesh.nodes[1].caller;
        // 4 slots and 20 ms give 200 calls/s at the most.
        let span = Duration::from_secs(3);
        let done = |calls: &[OfferedCall]| {
            calls.iter().filter(|call| call.in_span && call.answer.code == "100").count()
        };
        let peak = done(&offer(caller, "peak", 200, span).await);
        let answers = offer(caller, "over", 600, span).await;
        let goodput = done(&answers);
        for OfferedCall { path, answer, .. } in &answers {
            let runs = mesh.runs_of(path);
            match answer.code.as_str() {
                "100" => assert_eq!(runs, 1, "{path}"),
                "201" | "202" | "215" => {
                    assert_eq!((runs, answer.outcome.as_str()), (0, "not-run"), "{path}");
                    assert!(answer.code == "202" || answer.retry_after.is_some());
                }
                code => panic!("{path}: {code}"),
            }
        }
        let most = mesh.nodes[0].upstream.log.most.load(Ordering::SeqCst);
        assert!(most <= 4, "{most} at the same time");
        println!("peak {peak}, offered {}, goodput {goodput}", answers.len());
        assert!(goodput * 10 >= peak * 9, "goodput {goodput}, peak {peak}");
    });
}
