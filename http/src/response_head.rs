//! The rule for what is a valid response, shared by all readers of responses.

use http::StatusCode;

/// Returns the status with this code, unless HTTP assigns it no class of responses.
pub(crate) fn response_status(code: u16) -> Option<StatusCode> {
    StatusCode::from_u16(code).ok().filter(|status| status.as_u16() < 600)
}
