//! What a node says about a relayed call in the head of its answer.

use fescuestack_core::ResultCode;
use http_types::Response;

/// Header with the result code.
pub const CODE_HEADER: &str = "fescuestack-code";
/// Header with the outcome, for callers.
pub const OUTCOME_HEADER: &str = "fescuestack-outcome";
/// Header with the load of the node that answers.
pub const LOAD_HEADER: &str = "fescuestack-load";
/// Header with the identity of the request, also on its answer.
pub const REQUEST_HEADER: &str = "fescuestack-request";

/// The head of an answer from a relay port.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayResponseHead<'a> {
    /// The result of the call.
    pub code: ResultCode,
    /// The load of the node that answers, for the balancer to scan.
    pub load: Option<&'a str>,
}

impl RelayResponseHead<'_> {
    /// Reads the headers of the answer to `request`. `None` means that the answer did not come
    /// from a node's relay port or belongs to another request.
    pub fn parse<'a>(response: &'a Response, request: &str) -> Option<RelayResponseHead<'a>> {
        let header = |name: &str| Some(response.header(name)?.last().as_str());
        if header(REQUEST_HEADER)? != request {
            return None;
        }
        let code = ResultCode::from_number(header(CODE_HEADER)?.parse().ok()?)?;
        code.outcome()?;
        Some(RelayResponseHead { code, load: header(LOAD_HEADER) })
    }
}
