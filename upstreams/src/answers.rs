//! Tells which request an answer of an upstream belongs to.
//!
//! An upstream may send a copy of an answer at any later time. An answer that names its request is
//! distinguished from copies if no other request with the same id is sent on its connection. One that
//! names none is accepted only where no earlier request was sent.

use fescuestack_http::ResponseMatch;
use fescuestack_routing::{ConnectionHistory, RequestMark};
use http::HeaderMap;
use http_types::{Method, Request, Response};

use crate::REQUEST_HEADER;

/// A request on a connection to an upstream.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SentRequest {
    mark: Option<RequestMark>,
    is_head: bool,
}

/// The requests that were sent on a connection to an upstream.
#[derive(Debug, Default)]
pub(crate) struct AnswerHistory {
    sent: ConnectionHistory,
}

impl SentRequest {
    pub(crate) fn new(request: &Request) -> SentRequest {
        let id = request.header(REQUEST_HEADER).map(|values| values.last().as_str());
        let mark = id.map(|id| RequestMark::new(id.as_bytes()));
        SentRequest { mark, is_head: request.method() == Method::Head }
    }
}

impl AnswerHistory {
    /// Whether the answer to `request` can be told from those to the requests before.
    pub(crate) fn allows(&self, request: SentRequest) -> bool {
        self.sent.is_kept() && request.mark.is_some_and(|mark| !self.sent.contains(mark))
    }

    /// Records that a request is sent.
    pub(crate) fn record_sent(&mut self, request: SentRequest) {
        self.sent.record_sent(request.mark);
    }

    /// Finds the request of an answer by its headers. `request` is the last one that was sent.
    pub(crate) fn compare(&self, headers: &HeaderMap, request: SentRequest) -> ResponseMatch {
        let mut values = headers.get_all(REQUEST_HEADER).iter();
        let Some(value) = values.next() else {
            let is_first = self.sent.requests() <= 1;
            return if is_first { ResponseMatch::Current } else { ResponseMatch::Unclear };
        };
        if values.any(|other| other != value) {
            return ResponseMatch::Unclear;
        }
        let mark = RequestMark::new(value.as_bytes());
        if request.mark == Some(mark) {
            ResponseMatch::Current
        } else if self.sent.contains(mark) {
            ResponseMatch::Earlier
        } else {
            ResponseMatch::Unclear
        }
    }

    /// Whether the connection can carry further requests after this answer. A copy of an answer to HEAD
    /// can't be skipped, since it declares content that it does not have.
    pub(crate) fn is_kept(&self, request: SentRequest, answer: &Response) -> bool {
        !request.is_head && answer.header(REQUEST_HEADER).is_some() && self.sent.is_kept()
    }
}
