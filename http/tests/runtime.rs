//! Timers and sockets for `hyper`.

use std::future::poll_fn;
use std::pin::Pin;
use std::time::{Duration, Instant};

use async_std::io::ReadExt;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use fescuestack_http::{HyperStream, HyperTimer, within};
use hyper::rt::{Timer, Write};

/// Exceeds the buffers of both sockets.
const UPLOAD_BYTES: usize = 64 * 1024 * 1024;

/// Guards against a timer that is ready only once. `hyper` polls its keep-alive timer whenever a
/// connection is busy, and sent no more pings after the first idle period.
#[test]
fn timer_stays_elapsed() {
    task::block_on(async {
        let mut sleep = HyperTimer.sleep(Duration::from_millis(1));
        for _ in 0..3 {
            let elapsed = within(Duration::from_secs(1), sleep.as_mut()).await;
            assert!(elapsed.is_some(), "the timer has not elapsed");
        }
    });
}

/// Guards against treating a peer as dead while it receives an upload slowly, and as alive while it
/// receives nothing.
#[test]
fn resumed_writes_count_as_activity() {
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound port");
        let client = TcpStream::connect(address).await.expect("a connection");
        let (mut server, _) = listener.accept().await.expect("a connection");
        let mut stream = HyperStream::new(client);
        let activity = stream.activity();
        let upload = task::spawn(async move {
            let bytes = vec![0; 64 * 1024];
            let mut written = 0;
            while written < UPLOAD_BYTES {
                let write = poll_fn(|cx| Pin::new(&mut stream).poll_write(cx, &bytes));
                let Ok(count) = write.await else { return };
                written += count;
            }
        });
        task::sleep(Duration::from_millis(300)).await;
        let before = activity.count();
        task::sleep(Duration::from_millis(300)).await;
        assert_eq!(activity.count(), before, "the peer has read nothing");
        let started = Instant::now();
        let mut buffer = vec![0; 1024 * 1024];
        while activity.count() == before && started.elapsed() < Duration::from_secs(5) {
            server.read(&mut buffer).await.expect("an open connection");
        }
        assert!(activity.count() > before, "the peer has read");
        assert!(within(Duration::ZERO, upload).await.is_none(), "the upload is still running");
    });
}
