//! Tests of the parsing of admin calls.

use super::*;

#[test]
fn valid_calls_are_parsed_and_invalid_ones_return_their_error() {
    let maint = |id: &str| Ok(AdminCall::Command(AdminCommand::Maint(id.into())));
    let cases = [
        (Method::GET, "/healthcheck", Ok(AdminCall::Healthcheck)),
        (Method::HEAD, "/healthcheck", Err(CallError::MethodNotAllowed("GET"))),
        (Method::PUT, "/targets/s-1/maint", maint("s-1")),
        (Method::PUT, "/targets/s-1/ready", Ok(AdminCall::Command(AdminCommand::Ready("s-1".into())))),
        // The name is decoded only once: `%2525` becomes `%25`.
        (Method::PUT, "/targets/a%2Fb%2525/maint", maint("a/b%25")),
        (Method::PUT, "/targets/%ff/maint", Err(CallError::InvalidTargetName)),
        (Method::POST, "/targets/s-1/maint", Err(CallError::MethodNotAllowed("PUT"))),
        (Method::PUT, "/targets//maint", Err(CallError::UnknownPath)),
        (Method::PUT, "/targets/s-1/maint/", Err(CallError::UnknownPath)),
        (Method::PUT, "/targets/s-1/drain", Err(CallError::UnknownPath)),
        (Method::GET, "/", Err(CallError::UnknownPath)),
    ];
    for (method, path, expected) in cases {
        assert_eq!(parse(&method, path), expected, "{method} {path}");
    }
}
