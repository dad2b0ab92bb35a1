//! HAR files and access logs: what they sum up to, and where an error is.

use insta::assert_snapshot;
use rowanglade::load::summarize;

const LOG: &str = r#"10.0.0.1 - - [01/Dec/2026:09:00:00 -0500] "GET /view/1/a?size=2 HTTP/1.1" 200 2048 "-" "viewer/1 \"x\"" 0.120
10.0.0.2 - kim [01/Dec/2026:09:00:00 -0500] "GET /view/1/a HTTP/1.1" 200 1024 "-" "viewer/1" 0.080

# a comment
10.0.0.3 - - [01/Dec/2026:09:00:01 -0500] "-" 408 -
10.0.0.1 - - [01/Dec/2026:14:00:02 +0000] "PUT /deposit/1/b HTTP/1.1" 503 -
"#;

const HAR: &str = r#"{"log":{"version":"1.2","creator":{},"entries":[
{"startedDateTime":"2026-12-01T09:00:00.250-05:00","time":12.5,
 "request":{"method":"GET","url":"http://api.internal/view/1/a?x=1","bodySize":0},
 "response":{"status":200,"bodySize":-1,"content":{"size":512}}},
{"startedDateTime":"2026-12-01T14:00:01Z","time":-1,
 "request":{"method":"PUT","url":"http://api.internal/deposit/1/b","bodySize":300},
 "response":{"status":500,"bodySize":0}}]}}"#;

fn summary(text: &str) -> String {
    summarize(text.as_bytes()).map_or_else(|e| e.to_string(), |s| s.to_string())
}

#[test]
fn an_access_log_is_summed_up() {
    assert_snapshot!(summary(LOG), @r"
    requests 3  seconds 3  rate 1.00/s
    busiest second 2  dispersion 0.67
    paths 2  requests for a path seen before 1
    method   path                     requests   share%     sent B received B   failed   p50 ms   p99 ms
    GET      /view                           2     66.7          0       1536        0     80.0    120.0
    PUT      /deposit                        1     33.3          0          0        1        -        -
    ");
}

#[test]
fn a_har_file_is_summed_up() {
    assert_snapshot!(summary(HAR), @r"
    requests 2  seconds 2  rate 1.00/s
    busiest second 1  dispersion 0.00
    paths 2  requests for a path seen before 0
    method   path                     requests   share%     sent B received B   failed   p50 ms   p99 ms
    GET      /view                           1     50.0          0        512        0     12.5     12.5
    PUT      /deposit                        1     50.0        300          0        1        -        -
    ");
}

#[test]
fn an_error_names_its_line_or_entry() {
    let errors = [
        summary(&LOG.replace("01/Dec/2026:14", "32/Dec/2026:14")),
        summary(&LOG.replace(" 503 ", " none ")),
        summary(&LOG.replace("\"PUT /deposit/1/b HTTP/1.1\"", "\"PUT\"")),
        summary(&LOG.replace("[01/Dec/2026:14:00:02 +0000]", "[01/Dec")),
        summary(&HAR.replace("2026-12-01T14:00:01Z", "yesterday")),
        summary(&HAR.replace("\"status\":500,", "")),
        summary(&HAR.replace("http://api.internal/deposit", "deposit")),
        summary("{\"log\":{}}"),
        summary("\n"),
    ];
    let short: Vec<String> =
        errors.iter().map(|e| e.chars().take(40).collect::<String>().trim().to_string()).collect();
    assert_snapshot!(short.join("\n"), @r#"
    line 6: time: "32/Dec/2026:14:00:02 +000
    line 6: status: "none" is not one
    line 6: request: "PUT" is not one
    line 6: time: is missing
    entry 2: startedDateTime: failed to pars
    entry 2: missing field `status` at line
    entry 2: request.url: "deposit/1/b" has
    missing field `entries` at line 1 column
    no request in it
    "#);
}
