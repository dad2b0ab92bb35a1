//! What a call asks: the one place where its words are read.

use crate::core::AdminCommand;
use actix_http::header::{ALLOW, HeaderValue};
use actix_http::{Method, Response, StatusCode};

/// What a call is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Asked {
    Healthcheck,
    Operation(AdminCommand),
}

/// Why a call is answered no before anybody is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum No {
    /// Nothing goes by this path.
    Path,
    /// What goes by this path is asked with this method.
    Method(&'static str),
    /// The id is no text.
    Id,
}

impl No {
    pub fn response(self) -> Response<()> {
        let code = match self {
            No::Path => StatusCode::NOT_FOUND,
            No::Method(_) => StatusCode::METHOD_NOT_ALLOWED,
            No::Id => StatusCode::BAD_REQUEST,
        };
        let mut response = Response::with_body(code, ());
        if let No::Method(allowed) = self {
            response.headers_mut().insert(ALLOW, HeaderValue::from_static(allowed));
        }
        response
    }
}

/// Reads a call's method and path. Ids are percent-decoded once.
pub fn read(method: &Method, path: &str) -> Result<Asked, No> {
    let only =
        |allowed: &Method, name, asked| if method == allowed { Ok(asked) } else { Err(No::Method(name)) };
    let parts: Vec<&str> = path.split('/').skip(1).collect();
    match parts[..] {
        ["healthcheck"] => only(&Method::GET, "GET", Asked::Healthcheck),
        ["targets", id, what @ ("maint" | "ready")] if !id.is_empty() => {
            let id = percent_encoding::percent_decode_str(id).decode_utf8().map_err(|_| No::Id)?.into_owned();
            let call = if what == "maint" { AdminCommand::Maint(id) } else { AdminCommand::Ready(id) };
            only(&Method::PUT, "PUT", Asked::Operation(call))
        }
        _ => Err(No::Path),
    }
}

#[cfg(test)]
mod tests;
