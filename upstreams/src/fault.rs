//! Error type of an exchange, which carries a result code.

use std::io;

use fescuestack_core::ResultCode;
use fescuestack_http::{LossCause, SendError};
use snafu::Snafu;

use crate::PeerKind;

/// The error of a failed exchange.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{code}: {reason}"))]
pub struct ExchangeError {
    /// The result code. A code of 2xx means that no byte of the request was sent.
    pub code: ResultCode,
    /// What failed on the connection.
    pub reason: String,
}

impl ExchangeError {
    pub(crate) fn new(code: ResultCode, reason: impl ToString) -> ExchangeError {
        ExchangeError { code, reason: reason.to_string() }
    }

    pub(crate) fn from_send_error(error: SendError, peer: PeerKind) -> ExchangeError {
        let code = match error {
            SendError::NotSent { .. } => ResultCode::ConnectFailed,
            SendError::Lost { cause } => match (cause, peer) {
                (LossCause::InvalidResponse(_) | LossCause::UnmatchedResponse, _) => {
                    ResultCode::AnswerTruncated
                }
                (LossCause::HeadTruncated, PeerKind::Upstream) => ResultCode::AnswerTruncated,
                (_, peer) => peer.connection_lost_code(),
            },
        };
        ExchangeError::new(code, error)
    }

    /// Creates the error for a response whose body could not be read because of `error`.
    pub fn from_body_error(error: &io::Error) -> ExchangeError {
        let code = match error.kind() {
            io::ErrorKind::TimedOut => ResultCode::PatienceOver,
            _ => ResultCode::AnswerTruncated,
        };
        ExchangeError::new(code, format_args!("cannot read the response body: {error}"))
    }
}
