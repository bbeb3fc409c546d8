//! Locks that survive a panic.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks state that is consistent between any two of its changes, so a panic elsewhere leaves it
/// usable.
pub(crate) fn lock<T: ?Sized>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
