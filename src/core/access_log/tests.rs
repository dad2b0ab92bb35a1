//! Tests of the access log: its lines, rotation and back-pressure.

use super::*;
use crate::core::RequestOrigin;
use bytes::Bytes;
use std::path::PathBuf;

fn request(id: &str) -> Request {
    Request {
        origin: RequestOrigin {
            front: Protocol::Http,
            client: Some([127, 0, 0, 1].into()),
            connection: None,
        },
        id: id.into(),
        class: "deposit".into(),
        plan: Some("full".into()),
        write: true,
        volume: 7,
        object: 8,
        locator: String::new(),
        idempotency_key: Some("k\"1".into()),
        units: 2.0,
        shard: None,
        initiators: 1,
        length: 0,
        body: Bytes::from_static(b"four"),
        body_rest: None,
        time_left: Duration::from_millis(400),
    }
}

fn log_path(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("rowanglade-log-{}-{name}", std::process::id()));
    let _ = std::fs::remove_file(&path);
    path
}

fn read_lines(path: &Path) -> Vec<String> {
    let text = std::fs::read_to_string(path).expect("a file");
    let line = |l: &str| {
        let request = rowanglade_capture::own_log::parse(l.as_bytes()).expect("a line").expect("a request");
        let known = request.logged.expect("known");
        format!("{} {} {:?} {:?}", known.class, request.status, request.key.as_deref(), known.shard)
    };
    let lines: Vec<String> = text.lines().map(line).collect();
    std::fs::remove_file(path).expect("removed");
    lines
}

// What the daemon writes must be readable for the replay's log parser.
#[tokio::test]
async fn each_line_records_the_outcome_and_can_be_parsed_again() {
    let path = log_path("ends");
    let log = AccessLog::open(&path, 10).expect("opened");
    log.begin(&request("a")).finish(&Response::Served(Bytes::from_static(b"x").into()));
    log.begin(&request("b")).finish(&Response::Rejected { retry_after: Duration::from_millis(5) });
    log.begin(&request("c")).finish(&Response::Failed);
    drop(log.begin(&request("d")));
    log.wait_until_written(Duration::from_secs(5)).await;
    let key = "Some(\"k\\\"1\") None";
    assert_eq!(read_lines(&path), [200, 503, 500, 0].map(|status| format!("deposit {status} {key}")));
    assert_eq!(log.lost_lines(), (0, 0));
}

#[tokio::test]
async fn after_reopen_lines_go_to_a_new_file() {
    let (path, moved) = (log_path("moved"), log_path("moved-away"));
    let log = AccessLog::open(&path, 10).expect("opened");
    log.begin(&request("a")).finish(&Response::Failed);
    log.wait_until_written(Duration::from_secs(5)).await;
    std::fs::rename(&path, &moved).expect("moved");
    log.reopen();
    log.begin(&request("b")).finish(&Response::Failed);
    log.wait_until_written(Duration::from_secs(5)).await;
    assert_eq!((read_lines(&moved).len(), read_lines(&path).len()), (1, 1));
}

// A disk that is slow or full must not delay requests, and the lost lines must be counted.
#[tokio::test]
async fn lines_lost_to_a_full_queue_or_disk_are_counted() {
    let (queue, _stuck) = sync_channel(1);
    let log = AccessLog { queue, shared: Arc::default() };
    for id in ["a", "b", "c"] {
        log.begin(&request(id)).finish(&Response::Failed);
    }
    assert_eq!(log.lost_lines(), (2, 0));
    let full = AccessLog::open(Path::new("/dev/full"), 10).expect("opened");
    full.begin(&request("a")).finish(&Response::Failed);
    full.wait_until_written(Duration::from_secs(5)).await;
    assert_eq!(full.lost_lines(), (0, 1));
}
