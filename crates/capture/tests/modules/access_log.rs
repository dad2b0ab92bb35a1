//! Tests of the access log reader.

use rowanglade_capture::access_log::Parser;
use rowanglade_capture::{EntryError, RecordedRequest};

fn parse_line(line: &str) -> Result<RecordedRequest<'_>, EntryError> {
    Parser::default().parse(line.as_bytes()).map(|o| o.expect("a request"))
}

const PUT: &str = r#"2001:db8::7 - - [25/Oct/2026:01:30:00 +0100] "PUT /deposit/1/b HTTP/1.1" 503 -"#;

#[test]
fn ipv6_addresses_escaped_quotes_and_response_times_are_parsed() {
    let put = parse_line(PUT).expect("a line");
    assert_eq!(put.client, Some("2001:db8::7".parse().expect("an address")));
    assert_eq!((put.took, put.status, put.received), (None, 503, 0));
    let agent = PUT.to_string() + r#" "http://x/\"q\" [y]" "viewer \"1\" \\" 0.25"#;
    assert_eq!(parse_line(&agent).expect("a line").took, Some(250_000));
    assert_eq!(parse_line(&(PUT.to_string() + " 1500")).expect("a line").took, Some(1_500));
    let bracketed = PUT.replace("2001:db8::7", "[2001:db8::7]");
    assert!(matches!(parse_line(&bracketed).map(|o| o.client.is_some()), Ok(true)));
}

// When clocks go back at 02:00 +0100, the same local time occurs twice. Times that ignore the offset would be
// out of order by an hour.
#[test]
fn times_with_different_offsets_are_in_order() {
    let mut parser = Parser::default();
    let mut at = |offset: &str| {
        let line = PUT.replace("+0100", offset);
        parser.parse(line.as_bytes()).expect("a line").expect("a request").at
    };
    assert_eq!(at("+0000") - at("+0100"), 3_600_000_000);
    assert_eq!(at("+0100") - at("+0100"), 0);
}

#[test]
fn errors_name_the_field_of_an_invalid_line() {
    let bad = |from: &str, to: &str| parse_line(&PUT.replace(from, to)).expect_err("bad").to_string();
    assert!(bad("25/Oct", "32/Oct").starts_with("time: \"32/Oct"));
    assert!(bad(" 503 ", " 7 ").starts_with("status"));
    assert!(bad(" 503 -", "").starts_with("status: the field is missing"));
    assert!(bad("\"PUT /deposit/1/b HTTP/1.1\"", "\"PUT\"").starts_with("request"));
    assert!(bad("HTTP/1.1\"", "HTTP/1.1").starts_with("request: the field is missing"));
    assert!(Parser::default().parse(b"caf\xe9 - -").expect_err("bad").to_string().contains("UTF-8"));
}
