//! Tests of the HAR reader.

use rowanglade_capture::har::{entries, parse};

const ENTRY: &str = r#"{"startedDateTime":"2026-12-01T09:00:00.250-05:00","time":12.5,
    "request":{"method":"PUT","url":"http://store/deposit/1/b?x=1","bodySize":300,
    "headers":[{"name":"idempotency-Key","value":"k\"1"}]},"response":{"status":200,"bodySize":-1,
    "content":{"size":12}}}"#;

#[test]
fn entry_fields_are_parsed_and_unknown_values_are_absent() {
    let recorded = parse(ENTRY).expect("an entry").expect("a request");
    assert_eq!(recorded.key.as_deref(), Some("k\"1"));
    assert_eq!((recorded.sent, recorded.received, recorded.took), (300, 12, Some(12_500)));
    assert_eq!((&*recorded.path, recorded.query.as_deref()), ("/deposit/1/b", Some("x=1")));
    let unknown = ENTRY.replace("12.5", "-1");
    assert_eq!(parse(&unknown).expect("an entry").expect("a request").took, None);
    let data = ENTRY.replace("http://store/deposit/1/b?x=1", "data:image/png;base64,AAAA");
    assert!(matches!(parse(&data), Ok(None)));
    assert!(
        parse(&ENTRY.replace("http://store", "")).expect_err("bad").to_string().starts_with("request.url")
    );
    assert!(
        parse(&ENTRY.replace("2026-12-01T", "yesterday"))
            .expect_err("bad")
            .to_string()
            .starts_with("startedDate")
    );
    assert!(parse(&ENTRY.replace("\"status\":200,", "")).expect_err("bad").to_string().contains("status"));
}

#[test]
fn entries_before_a_truncation_are_read() {
    let complete = format!(r#"{{"log":{{"version":"1.2","entries":[{ENTRY},7,{ENTRY}],"pages":[]}}}}"#);
    let count = |text: &str| {
        let mut seen = Vec::new();
        let end = entries(text.as_bytes(), &mut |n, entry| {
            seen.push((n, parse(entry).is_ok()));
            true
        });
        (seen, end.map_err(|e| e.to_string()))
    };
    assert_eq!(count(&complete), (vec![(1, true), (2, false), (3, true)], Ok(())));
    let (seen, end) = count(&complete[..complete.len() - 40]);
    assert_eq!(seen, [(1, true), (2, false)]);
    assert!(end.expect_err("truncated").contains("EOF"));
    assert!(count(r#"{"log":{}}"#).1.expect_err("none").contains("log.entries"));
}
