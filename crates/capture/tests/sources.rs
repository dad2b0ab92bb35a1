//! Reading and importing files of recorded requests: valid, invalid, compressed and truncated ones.

use insta::assert_snapshot;
use rowanglade_capture::read::{self, Options, ReadError, Stats, Tolerance};
use rowanglade_capture::{Cut, Format, Import, Mapping, Record, Repeat, Summary, TraceReader, import};
use std::io::Write;
use std::path::{Path, PathBuf};

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

fn read(bytes: &[u8], bad_share: f64) -> (Summary, Result<Stats, ReadError>) {
    let mut summary = Summary::default();
    let options = Options { format: None, tolerance: Tolerance { bad_share }, progress: &mut |_| {} };
    let stats = read::read("f", bytes, bytes.len() as u64, options, &mut |recorded| {
        summary.add(&recorded);
        true
    });
    (summary, stats)
}

#[test]
fn access_log_is_summarized() {
    let (summary, stats) = read(LOG.as_bytes(), 0.0);
    let stats = stats.expect("read");
    assert_eq!((stats.format, stats.skipped), (Format::AccessLog, 3));
    assert_snapshot!(summary.to_string(), @r"
    requests 3  seconds 3  rate 1.00/s
    busiest second 2  dispersion 0.67
    paths 2  requests for a path seen before 1
    method   path                     requests   share%     sent B received B   failed   p50 ms   p99 ms
    GET      /view                           2     66.7          0       1536        0     80.4    120.3
    PUT      /deposit                        1     33.3          0          0        1        -        -
    ");
}

#[test]
fn har_file_after_a_byte_order_mark_is_summarized() {
    let marked = [b"\xef\xbb\xbf\n ".as_slice(), HAR.as_bytes()].concat();
    let (summary, stats) = read(&marked, 0.0);
    assert_eq!(stats.expect("read").format, Format::Har);
    assert_snapshot!(summary.to_string(), @r"
    requests 2  seconds 2  rate 1.00/s
    busiest second 1  dispersion 0.00
    paths 2  requests for a path seen before 0
    method   path                     requests   share%     sent B received B   failed   p50 ms   p99 ms
    GET      /view                           1     50.0          0        512        0     12.5     12.5
    PUT      /deposit                        1     50.0        300          0        1        -        -
    ");
}

#[test]
fn bad_lines_are_counted_with_their_location_and_skipped() {
    let long = "x".repeat(1 << 20);
    let text =
        [LOG.as_bytes(), b"10.0.0.9 caf\xe9\n", long.as_bytes(), b"\n10.0.0.1 - - [01/De\n", LOG.as_bytes()];
    let (summary, stats) = read(&text.concat(), 0.5);
    let stats = stats.expect("within the share");
    assert_eq!((summary.requests(), stats.read, stats.bad), (6, 6, 3));
    let samples: Vec<String> = stats.samples.iter().map(|b| format!("{}: {}", b.place, b.reason)).collect();
    assert_snapshot!(samples.join("\n"), @r"
    line 7: not valid UTF-8
    line 8: 1048577 bytes exceed the maximum line length of 65536
    line 9: time: the field is missing
    ");
}

#[test]
fn read_fails_if_bad_lines_exceed_the_tolerance() {
    let text = "nonsense\n".repeat(100) + &LOG.repeat(300);
    assert!(read(text.as_bytes(), 0.11).1.is_ok());
    let error = read(text.as_bytes(), 0.05).1.expect_err("too many").to_string();
    assert_eq!(
        error,
        "f: 100 of 1000 entries cannot be read, more than the tolerated 5%; the first one: line 1: identity: the field is missing"
    );
}

#[test]
fn compression_is_detected_and_truncated_files_are_reported() {
    let text = LOG.repeat(2_000);
    let mut gzip = flate2::write::GzEncoder::new(Vec::new(), flate2::Compression::default());
    gzip.write_all(text.as_bytes()).expect("written");
    let gzip = gzip.finish().expect("finished");
    let zstd = zstd::stream::encode_all(text.as_bytes(), 3).expect("packed");
    for compressed in [gzip.as_slice(), zstd.as_slice()] {
        let (summary, stats) = read(compressed, 0.0);
        let stats = stats.expect("read");
        assert_eq!((summary.requests(), stats.truncated), (6_000, None));
        let (summary, stats) = read(&compressed[..compressed.len() - 9], 0.01);
        let truncated = stats.expect("one bad entry").truncated.expect("truncated");
        assert!(truncated.starts_with("line ") && summary.requests() <= 6_000, "{truncated}");
    }
    let (summary, stats) = read(&HAR.as_bytes()[..HAR.len() - 3], 0.5);
    let stats = stats.expect("within the share");
    assert!(summary.requests() == 2 && stats.truncated.is_some_and(|t| t.contains("after entry 2")));
}

fn folder() -> PathBuf {
    let name = std::thread::current().name().unwrap_or("test").to_string();
    let dir = std::env::temp_dir().join(format!("rowanglade-sources-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    dir
}

fn imported(dir: &Path, texts: &[&[u8]]) -> (rowanglade_capture::Imported, Vec<Record>) {
    let files: Vec<PathBuf> = (0..texts.len()).map(|i| dir.join(format!("{i}.log"))).collect();
    for (file, text) in files.iter().zip(texts) {
        std::fs::write(file, text).expect("written");
    }
    let to = dir.join("out.trace");
    let options =
        Import { files: &files, format: None, tolerance: Tolerance::default(), window: 5_000_000, to: &to };
    let mapping = Mapping::standard().expect("usable");
    let imported = import(&mapping, &options, &mut |_, _| {}).expect("imported");
    let records = TraceReader::open(&to).expect("a trace").map(|r| r.expect("a valid record")).collect();
    std::fs::remove_dir_all(dir).expect("removed");
    (imported, records)
}

#[test]
fn logs_are_imported_in_order_of_time() {
    let line = |s: u32, class: &str, piece: &str| {
        let method = if class == "deposit" { "PUT" } else { "GET" };
        format!(
            "1.1.1.1 - - [01/Dec/2026:09:00:{s:02} +0000] \"{method} /{class}/v/{piece} HTTP/1.1\" 200 9\n"
        )
    };
    let first =
        line(3, "view", "a") + &line(1, "view", "b") + &line(3, "export", "c") + &line(20, "view", "d");
    let second = line(2, "deposit", "e") + &line(21, "deposit", "e") + &line(21, "view", "/f") + "oops\n";
    let second = second + &line(22, "view", "x").repeat(20);
    let (imported, records) = imported(&folder(), &[first.as_bytes(), second.as_bytes()]);
    // The requests of a second are spread over it; a request that is 18 s late gets the earliest time that is
    // still possible.
    let at: Vec<(u64, u16)> = records.iter().map(|r| (r.at / 1_000, r.class)).take(6).collect();
    assert_eq!(at, [(0, 0), (1_666, 0), (2_000, 2), (2_333, 1), (19_000, 0), (20_000, 1)]);
    assert_eq!(imported.late.0, 1);
    assert_snapshot!(imported.to_string().lines().filter(|l| !l.contains(".log")).map(str::trim).collect::<Vec<_>>().join("\n"), @r"
    line 4: identity: the field is missing
    unmatched: 1 of GET /view/v//f
    out of order beyond the window: 1, by at most 1.0 s
    26 requests over 21.475 s: deposit 2, export 1, view 23
    ");
    assert_eq!(records[3].key, records[5].key);
}

#[test]
fn requests_of_the_same_millisecond_keep_their_order_and_classes() {
    let entry = |class: &str, at: &str, piece: u32| {
        let method = if class == "deposit" { "PUT" } else { "GET" };
        format!(
            r#"{{"startedDateTime":"2026-12-01T09:00:{at}Z","time":3,"request":{{"method":"{method}",
            "url":"http://s/{class}/v/{piece}"}},"response":{{"status":200,"bodySize":5}}}}"#
        )
    };
    let burst = [("view", 1), ("deposit", 2), ("export", 3), ("view", 4)].map(|(c, p)| entry(c, "05.002", p));
    // HAR entries are ordered by page, not by time.
    let text = format!("{{\"log\":{{\"entries\":[{},{}]}}}}", burst.join(","), entry("view", "04.900", 5));
    let (_, records) = imported(&folder(), &[text.as_bytes()]);
    let seen: Vec<(u64, u16)> = records.iter().map(|r| (r.at, r.class)).collect();
    assert_eq!(seen, [(0, 0), (102_000, 0), (102_000, 1), (102_000, 2), (102_000, 0)]);
}

#[test]
fn cut_by_share_keeps_all_requests_of_a_volume() {
    let dir = folder();
    let text: String = (0..2_000)
        .map(|i| {
            format!(
                "1.1.1.1 - - [01/Dec/2026:09:00:{:02} +0000] \"GET /view/v{}/{i} HTTP/1.1\" 200 9\n",
                i / 50,
                i % 40
            )
        })
        .collect();
    std::fs::create_dir_all(&dir).expect("a folder");
    let (_, records) = imported(&dir, &[text.as_bytes()]);
    let mapping = Mapping::standard().expect("usable");
    let header = rowanglade_capture::Header {
        base_us: 0,
        sources: Vec::new(),
        classes: mapping.classes().to_vec(),
        plans: mapping.plans().to_vec(),
        anonymised: false,
    };
    assert!(matches!(header.classes[1].repeat, Repeat::Keyed { span_ms: 3_000 }));
    let cut = Cut { share: Some(0.5), from: Some(10_000_000), ..Cut::default() };
    let kept: Vec<Record> =
        records.iter().filter(|r| cut.keeps(&header, r)).map(|r| cut.record(r.clone())).collect();
    let volumes: std::collections::BTreeSet<u64> = kept.iter().map(|r| r.volume).collect();
    assert!((10..=30).contains(&volumes.len()), "{}", volumes.len());
    assert!(kept[0].at < 100_000);
    let per_volume = |v: &u64| kept.iter().filter(|r| r.volume == *v).count();
    assert!(volumes.iter().all(|v| (36..=38).contains(&per_volume(v))), "a volume lost some of its requests");
    assert!(Cut { classes: vec!["viwe".into()], ..Cut::default() }.check(&header).is_err());
    assert!(Cut { from: Some(5), until: Some(5), ..Cut::default() }.check(&header).is_err());
}
