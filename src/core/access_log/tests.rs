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

fn file(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("rowanglade-log-{}-{name}", std::process::id()));
    let _ = std::fs::remove_file(&path);
    path
}

fn read(path: &Path) -> Vec<String> {
    let text = std::fs::read_to_string(path).expect("a file");
    let line = |l: &str| {
        let offer = rowanglade_capture::own_log::parse(l.as_bytes()).expect("a line").expect("a request");
        let known = offer.known.expect("known");
        format!("{} {} {:?} {:?}", known.class, offer.status, offer.key.as_deref(), known.shard)
    };
    let lines: Vec<String> = text.lines().map(line).collect();
    std::fs::remove_file(path).expect("removed");
    lines
}

// The reader of the replay reads what the daemon writes.
#[tokio::test]
async fn lines_tell_how_requests_ended_and_are_read_again() {
    let path = file("ends");
    let log = AccessLog::open(&path, 10).expect("opened");
    log.begin(&request("a")).finish(&Response::Served(Bytes::from_static(b"x").into()));
    log.begin(&request("b")).finish(&Response::Rejected { retry_after: Duration::from_millis(5) });
    log.begin(&request("c")).finish(&Response::Failed);
    drop(log.begin(&request("d")));
    log.settle(Duration::from_secs(5)).await;
    let key = "Some(\"k\\\"1\") None";
    assert_eq!(read(&path), [200, 503, 500, 0].map(|status| format!("deposit {status} {key}")));
    assert_eq!(log.lost(), (0, 0));
}

#[tokio::test]
async fn a_log_moved_away_is_opened_anew() {
    let (path, moved) = (file("moved"), file("moved-away"));
    let log = AccessLog::open(&path, 10).expect("opened");
    log.begin(&request("a")).finish(&Response::Failed);
    log.settle(Duration::from_secs(5)).await;
    std::fs::rename(&path, &moved).expect("moved");
    log.reopen();
    log.begin(&request("b")).finish(&Response::Failed);
    log.settle(Duration::from_secs(5)).await;
    assert_eq!((read(&moved).len(), read(&path).len()), (1, 1));
}

// A disk that is behind, or full, must neither hold a request up nor go unnoticed.
#[tokio::test]
async fn what_the_queue_or_the_disk_does_not_take_is_counted() {
    let (queue, _stuck) = sync_channel(1);
    let log = AccessLog { queue, shared: Arc::default() };
    for id in ["a", "b", "c"] {
        log.begin(&request(id)).finish(&Response::Failed);
    }
    assert_eq!(log.lost(), (2, 0));
    let full = AccessLog::open(Path::new("/dev/full"), 10).expect("opened");
    full.begin(&request("a")).finish(&Response::Failed);
    full.settle(Duration::from_secs(5)).await;
    assert_eq!(full.lost(), (0, 1));
}
