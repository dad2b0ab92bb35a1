//! Parses admin calls: their method and path.

use crate::core::AdminCommand;
use actix_http::header::{ALLOW, HeaderValue};
use actix_http::{Method, Response, StatusCode};

/// A parsed admin call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminCall {
    /// A health check of this process.
    Healthcheck,
    /// A command for the core.
    Command(AdminCommand),
}

/// Why an admin call is rejected before it is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// No admin call has this path.
    #[error("unknown path")]
    UnknownPath,
    /// The path allows this method only.
    #[error("method not allowed, the path allows {0} only")]
    MethodNotAllowed(&'static str),
    /// The target's name is not UTF-8 after percent-decoding.
    #[error("target name is not UTF-8 after percent-decoding")]
    InvalidTargetName,
}

impl CallError {
    /// The response for this error: 404, 405 with an `Allow` header, or 400.
    pub fn response(self) -> Response<()> {
        let code = match self {
            CallError::UnknownPath => StatusCode::NOT_FOUND,
            CallError::MethodNotAllowed(_) => StatusCode::METHOD_NOT_ALLOWED,
            CallError::InvalidTargetName => StatusCode::BAD_REQUEST,
        };
        let mut response = Response::with_body(code, ());
        if let CallError::MethodNotAllowed(allowed) = self {
            response.headers_mut().insert(ALLOW, HeaderValue::from_static(allowed));
        }
        response
    }
}

/// Parses a call's method and path. The target's name is percent-decoded once.
///
/// # Errors
/// The path is unknown or does not allow the method, or the target's name is not UTF-8.
pub fn parse(method: &Method, path: &str) -> Result<AdminCall, CallError> {
    let parts: Vec<&str> = path.split('/').skip(1).collect();
    match parts[..] {
        ["healthcheck"] => {
            require(method, &Method::GET, "GET")?;
            Ok(AdminCall::Healthcheck)
        }
        ["targets", name, action @ ("maint" | "ready")] if !name.is_empty() => {
            let name = decode_target_name(name)?;
            require(method, &Method::PUT, "PUT")?;
            Ok(AdminCall::Command(match action {
                "maint" => AdminCommand::Maint(name),
                _ => AdminCommand::Ready(name),
            }))
        }
        _ => Err(CallError::UnknownPath),
    }
}

fn require(method: &Method, allowed: &Method, name: &'static str) -> Result<(), CallError> {
    if method == allowed { Ok(()) } else { Err(CallError::MethodNotAllowed(name)) }
}

fn decode_target_name(name: &str) -> Result<String, CallError> {
    let decoded = percent_encoding::percent_decode_str(name).decode_utf8();
    decoded.map(|name| name.into_owned()).map_err(|_| CallError::InvalidTargetName)
}

#[cfg(test)]
mod tests;
