//! What an admin call asks for: the one place where its path and method are read.

use crate::core::AdminCommand;
use actix_http::header::{ALLOW, HeaderValue};
use actix_http::{Method, Response, StatusCode};

/// What a call is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminCall {
    /// Whether this process serves.
    Healthcheck,
    /// A command for the core.
    Command(AdminCommand),
}

/// Why a call is rejected before anybody handles it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// Nothing goes by this path.
    #[error("unknown path")]
    UnknownPath,
    /// What goes by this path takes only this method.
    #[error("the path takes {0} only")]
    MethodNotAllowed(&'static str),
    /// The target's name is not UTF-8 once it is decoded.
    #[error("the target's name is not UTF-8")]
    InvalidTargetName,
}

impl CallError {
    /// The response to such a call.
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

/// Reads a call's method and path. A target's name is percent-decoded once.
///
/// # Errors
/// The path is unknown, takes another method, or names a target that is not UTF-8.
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
