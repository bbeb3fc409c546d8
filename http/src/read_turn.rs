//! Limits how much a connection reads before other tasks run.

use std::io;
use std::task::{Context, Poll};

/// Number of bytes that a connection reads in one turn. While its socket has data, reads complete at
/// once, and the task would otherwise keep its thread from all others and from its own timeout.
const TURN_BYTES: usize = 32 * 1024;

/// Number of bytes that each read counts for at least, since a short read costs a system call too.
const MIN_READ_BYTES: usize = 512;

/// Makes the task of a connection yield after a turn of reads.
#[derive(Debug, Default)]
pub(crate) struct ReadTurn {
    read_bytes: usize,
}

impl ReadTurn {
    /// Calls `read`. At the end of a turn, schedules the task again and returns `Pending` instead.
    pub(crate) fn poll_read(
        &mut self,
        cx: &mut Context<'_>,
        read: impl FnOnce(&mut Context<'_>) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if self.read_bytes >= TURN_BYTES {
            self.read_bytes = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let result = read(cx);
        match result {
            Poll::Ready(Ok(count)) => self.read_bytes += count.max(MIN_READ_BYTES),
            Poll::Ready(Err(_)) => (),
            Poll::Pending => self.read_bytes = 0,
        }
        result
    }
}
