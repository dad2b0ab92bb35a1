//! Tests of how an operators' call is parsed.

use super::*;

#[test]
fn calls_are_read_and_others_are_told_why_not() {
    let maint = |id: &str| Ok(Asked::Operation(AdminCommand::Maint(id.into())));
    let cases = [
        (Method::GET, "/healthcheck", Ok(Asked::Healthcheck)),
        (Method::HEAD, "/healthcheck", Err(No::Method("GET"))),
        (Method::PUT, "/targets/s-1/maint", maint("s-1")),
        (Method::PUT, "/targets/s-1/ready", Ok(Asked::Operation(AdminCommand::Ready("s-1".into())))),
        // Once: what is decoded is not read again.
        (Method::PUT, "/targets/a%2Fb%2525/maint", maint("a/b%25")),
        (Method::PUT, "/targets/%ff/maint", Err(No::Id)),
        (Method::POST, "/targets/s-1/maint", Err(No::Method("PUT"))),
        (Method::PUT, "/targets//maint", Err(No::Path)),
        (Method::PUT, "/targets/s-1/maint/", Err(No::Path)),
        (Method::PUT, "/targets/s-1/drain", Err(No::Path)),
        (Method::GET, "/", Err(No::Path)),
    ];
    for (method, path, asked) in cases {
        assert_eq!(read(&method, path), asked, "{method} {path}");
    }
}
