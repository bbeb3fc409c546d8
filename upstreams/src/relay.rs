//! Headers of a relay response that describe the relayed call.

use fescuestack_core::ResultCode;
use http_types::Response;

/// Header with the result code.
pub const CODE_HEADER: &str = "fescuestack-code";
/// Header with the outcome, read by callers.
pub const OUTCOME_HEADER: &str = "fescuestack-outcome";
/// Header with the load of the responding node.
pub const LOAD_HEADER: &str = "fescuestack-load";
/// Header with the request identifier, on the request and on its response.
pub const REQUEST_HEADER: &str = "fescuestack-request";

/// The head of a response from a relay port.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayResponseHead<'a> {
    /// The result code of the call.
    pub code: ResultCode,
    /// The load of the responding node, still to be parsed by the load balancer.
    pub load: Option<&'a str>,
}

impl RelayResponseHead<'_> {
    /// Parses the headers of the response to `request`. Returns `None` if the response did not
    /// come from a node's relay port or belongs to another request.
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
