//! Coarse timeouts that share one timer.
//!
//! Each timer of `async-io` wakes the reactor when it is set, which costs every exchange two
//! wake-ups for timeouts that rarely expire. Coarse timeouts are checked once per tick instead.

use std::collections::BTreeMap;
use std::future::Future;
use std::pin::{Pin, pin};
use std::sync::{Mutex, OnceLock};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use async_std::task;

use crate::body::lock;

/// Length of a tick in milliseconds. Due times are rounded down to a tick to keep a response that
/// reports a missed deadline from being late itself.
const TICK_MS: u64 = 5;

/// Runs `future` and returns its output, or `None` if it takes longer than about `limit`.
pub async fn within<F: Future>(limit: Duration, future: F) -> Option<F::Output> {
    let mut future = pin!(future);
    let mut sleep = CoarseSleep::new(limit);
    std::future::poll_fn(|cx| {
        if let Poll::Ready(output) = future.as_mut().poll(cx) {
            return Poll::Ready(Some(output));
        }
        Pin::new(&mut sleep).poll(cx).map(|()| None)
    })
    .await
}

/// A future that completes after a duration, with the precision of a tick.
#[derive(Debug)]
pub struct CoarseSleep {
    due_tick: u64,
    /// Id of the registered waker, from the first poll on.
    waiter_id: Option<u64>,
}

impl CoarseSleep {
    /// Creates a sleep that ends `limit` from now.
    pub fn new(limit: Duration) -> CoarseSleep {
        let end = ticker().origin.elapsed().saturating_add(limit);
        CoarseSleep { due_tick: end.as_millis() as u64 / TICK_MS, waiter_id: None }
    }
}

impl Future for CoarseSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let ticker = ticker();
        if self.due_tick <= ticker.tick() {
            return Poll::Ready(());
        }
        let mut state = lock(&ticker.state);
        let id = match self.waiter_id {
            Some(id) => id,
            None => state.next_id(),
        };
        self.waiter_id = Some(id);
        let waker = state.waiters.entry((self.due_tick, id)).or_insert_with(|| cx.waker().clone());
        waker.clone_from(cx.waker());
        if !state.running {
            state.running = true;
            task::spawn(ticker.run());
        }
        Poll::Pending
    }
}

impl Drop for CoarseSleep {
    fn drop(&mut self) {
        if let Some(id) = self.waiter_id {
            lock(&ticker().state).waiters.remove(&(self.due_tick, id));
        }
    }
}

/// Wakes the sleeps that have elapsed.
struct Ticker {
    origin: Instant,
    state: Mutex<TickerState>,
}

#[derive(Default)]
struct TickerState {
    /// Wakers by due tick and id.
    waiters: BTreeMap<(u64, u64), Waker>,
    last_id: u64,
    /// Whether the ticker task is running. It ends when there are no waiters.
    running: bool,
}

impl TickerState {
    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}

impl Ticker {
    fn tick(&self) -> u64 {
        self.origin.elapsed().as_millis() as u64 / TICK_MS
    }

    async fn run(&self) {
        loop {
            task::sleep(Duration::from_millis(TICK_MS)).await;
            let mut state = lock(&self.state);
            let later = state.waiters.split_off(&(self.tick() + 1, 0));
            let due = std::mem::replace(&mut state.waiters, later);
            state.running = !state.waiters.is_empty();
            let running = state.running;
            drop(state);
            due.into_values().for_each(Waker::wake);
            if !running {
                return;
            }
        }
    }
}

fn ticker() -> &'static Ticker {
    static TICKER: OnceLock<Ticker> = OnceLock::new();
    TICKER.get_or_init(|| Ticker { origin: Instant::now(), state: Mutex::default() })
}
