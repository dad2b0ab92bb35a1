//! Encodes responses to clients.

use super::REJECTION_REASON;
use crate::core::{Response, ResponseBody};
use actix_http::header::{HeaderValue, RETRY_AFTER};
use actix_http::{Response as HttpResponse, StatusCode};
use bytes::Bytes;
use std::time::Duration;

/// Encodes the final response to a client: 200 with the content, 503 if the request had no effect, or 500.
pub fn encode_response(response: Response) -> HttpResponse<ResponseBody> {
    match response {
        Response::Served(content) => HttpResponse::with_body(StatusCode::OK, content),
        Response::Rejected { retry_after } => rejected(retry_after),
        Response::SiteUnavailable { site, retry_after } => {
            let mut response = rejected(retry_after);
            if let Ok(reason) = HeaderValue::from_str(&format!("site {site} is lost")) {
                response.headers_mut().insert(REJECTION_REASON, reason);
            }
            response
        }
        Response::Failed => empty_response(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// A response by which the initiator promises that the request had no effect. Without a time to wait it has
/// no Retry-After.
fn rejected(retry_after: Duration) -> HttpResponse<ResponseBody> {
    let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
    if !retry_after.is_zero() {
        let seconds = format!("{:.3}", retry_after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

/// A response with this status and without a body.
pub fn empty_response(code: StatusCode) -> HttpResponse<ResponseBody> {
    HttpResponse::with_body(code, Bytes::new().into())
}
