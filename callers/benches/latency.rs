//! Added latency of a call through two nodes, against a call straight to the upstream.
//!
//! Sends for a few seconds at a fixed rate over loopback and prints percentiles in µs of both paths,
//! which alternate within one run.

#[path = "../tests/mesh/mod.rs"]
mod mesh;

use std::time::{Duration, Instant};

use async_std::net::SocketAddr;
use async_std::task;
use fescuestack_http::ClientConnection;
use futures_lite::AsyncReadExt;
use hdrhistogram::Histogram;
use http_types::Method;
use mesh::{Mesh, request};

const RATES: [u64; 2] = [200, 1_000];
const SPAN: Duration = Duration::from_secs(5);
const WORKERS: u64 = 8;

/// Calls in turn at `rate` over one connection and returns the times in µs.
async fn call(address: SocketAddr, rate: u64, worker: u64) -> Vec<u64> {
    let mut connection = ClientConnection::open(address, Duration::from_secs(1)).await.unwrap();
    // Workers take turns, so that calls do not come in bursts.
    task::sleep(Duration::from_micros(1_000_000 * worker / rate / WORKERS)).await;
    let started = Instant::now();
    let mut times = Vec::new();
    for index in 0.. {
        let due = Duration::from_micros(1_000_000 * index / rate);
        if due > SPAN {
            break;
        }
        task::sleep(due.saturating_sub(started.elapsed())).await;
        let sent = Instant::now();
        let mut answer = connection.send(request(Method::Get, "/lookup/x")).await.unwrap();
        let mut body = Vec::new();
        answer.take_body().read_to_end(&mut body).await.unwrap();
        times.push(sent.elapsed().as_micros() as u64);
    }
    times
}

async fn measure(label: &str, address: SocketAddr, rate: u64) {
    let workers: Vec<_> =
        (0..WORKERS).map(|worker| task::spawn(call(address, rate / WORKERS, worker))).collect();
    let mut histogram = Histogram::<u64>::new(3).unwrap();
    for worker in workers {
        for time in worker.await {
            histogram.record(time).unwrap();
        }
    }
    println!(
        "{label:>9} {rate:>5}/s: {:>6} calls, p50 {:>5} p90 {:>5} p99 {:>5} p99.9 {:>5} max {:>6} us",
        histogram.len(),
        histogram.value_at_quantile(0.5),
        histogram.value_at_quantile(0.9),
        histogram.value_at_quantile(0.99),
        histogram.value_at_quantile(0.999),
        histogram.max(),
    );
}

fn main() {
    task::block_on(async {
        let mut mesh = Mesh::start(2, 16).await;
        mesh.install(&[0]);
        for rate in RATES {
            measure("direct", mesh.nodes[0].upstream.address, rate).await;
            measure("one node", mesh.nodes[0].caller, rate).await;
            measure("two nodes", mesh.nodes[1].caller, rate).await;
        }
    });
}
