//! Case 6: a planned restart while clients write bodies at the slowest rate that the pages allow. A request whose last
//! byte arrives in the last 100 ms before the initiator ends by itself is taken, forwarded, and never answered.
#[path = "../standins-2/common.rs"]
mod common;
use common::*;
use std::io::Write;

const CLIENTS: u64 = 48;
/// A body of under 64 KiB, written at a little over 64 kB a second.
const BODY: usize = 60_000;
const PIECES: usize = 30;
const WRITING_MS: f64 = 925.0;
/// The clients begin one after another, the first this long after SIGTERM.
const FIRST_AT_MS: f64 = 1_500.0;
const APART_MS: f64 = 24.0;
/// The longest deadline, counted as 3 s, and 0.7 s: SIGKILL comes no sooner.
const KILL_AT_MS: f64 = 3_700.0;
/// What is written this shortly before the end of the process is not judged.
const MARGIN_MS: f64 = 25.0;

struct Outcome {
    id: String,
    /// When the last byte was written; `None`: it was not, or the initiator had closed before.
    sent_at: Option<f64>,
    end: End,
    /// How the same request ended on a new connection, where the first ended without an answer.
    again: Option<End>,
}

fn client(plan_listen: std::net::SocketAddr, number: u64, begin: f64, record: Record) -> Outcome {
    let id = format!("deposit-{number}");
    let none = |end: End| Outcome { id: id.clone(), sent_at: None, end, again: None };
    // A connection that has carried a request before, as clients keep them.
    let stream = match connect(plan_listen) {
        Ok(mut stream) => {
            let first = Ask::get(&format!("first-{number}"), "view", 1_000 + number, (number % 10) as i64, 1_500);
            if let Err(error) = stream.write_all(&first.bytes()) {
                return none(End::NotTaken(error.to_string()));
            }
            stream
        }
        Err(error) => return none(End::NotTaken(error.to_string())),
    };
    let (_, Some(reader)) = read_answer(stream, 3_000) else { return none(End::NotTaken("first".into())) };
    let mut stream = reader.stream;
    let ask = Ask::put(&id, "deposit", 100 + number, (number % 10) as i64, 3_000, vec![b'x'; BODY]);
    sleep_until_ms(begin);
    record.line(format!("client begins {id}"));
    if let Err(error) = stream.write_all(ask.head().as_bytes()) {
        return none(End::NotTaken(error.to_string()));
    }
    for (index, piece) in ask.body.chunks(BODY / PIECES).enumerate() {
        sleep_until_ms(begin + WRITING_MS * (index + 1) as f64 / PIECES as f64);
        if has_ended(&stream) {
            record.line(format!("client sees the end of its connection inside {id}"));
            return none(End::NotTaken("closed inside the request".into()));
        }
        if let Err(error) = stream.write_all(piece) {
            return none(End::NotTaken(error.to_string()));
        }
    }
    let sent_at = now_ms();
    record.line(format!("client has written the last byte of {id}"));
    let (end, _) = read_answer(stream, 3_600);
    record.line(format!("client: {id} ends as {end:?}, {:.0} ms after its last byte", now_ms() - sent_at));
    let again = matches!(end, End::Closed(_)).then(|| exchange(plan_listen, &ask, 3_600));
    if let Some(again) = &again {
        record.line(format!("client: {id} once more on a new connection: {again:?}"));
    }
    Outcome { id, sent_at: Some(sent_at), end, again }
}

fn main() {
    let record = Record::create();
    let folder = Folder::new();
    let targets: Vec<Target> = (0..10)
        .map(|cell| Target::start(&format!("s-{cell}"), cell, &record, |_| Act::Serve(150, b"kept".to_vec())))
        .collect();
    let discovery = Discovery::start(&record);
    discovery.put(targets.iter().map(Entry::of));
    let plan = Plan::new(&discovery, settings(&kingston_classes(), 10, 1, 1_000));
    let mut daemon = Daemon::start(&plan, &folder.0, "config.json", "log");
    if !wait_up(plan.listen) {
        verdict(&record, ROLE_NOT_RUN, "the initiator is not ready after 30 s");
    }
    let term_at = now_ms() + 1_000.0;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (listen, record) = (plan.listen, record.clone());
            let begin = term_at + FIRST_AT_MS + APART_MS * number as f64;
            std::thread::spawn(move || client(listen, number, begin, record))
        })
        .collect();
    sleep_until_ms(term_at);
    let mut ended_at = f64::MAX;
    if trouble() {
        record.line("platform sends SIGTERM");
        daemon.signal("TERM");
        let status = daemon.wait((KILL_AT_MS - (now_ms() - term_at)) as u64);
        ended_at = now_ms();
        record.line(format!("the initiator has ended by itself: {status:?}, {:.0} ms after SIGTERM", ended_at - term_at));
        if status.is_none() {
            record.line("platform sends SIGKILL");
            daemon.kill();
        }
    }
    let outcomes: Vec<Outcome> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    daemon.kill();
    let taken: Vec<&Outcome> = outcomes.iter().filter(|o| o.sent_at.is_some_and(|at| at < ended_at - MARGIN_MS)).collect();
    let lost: Vec<&&Outcome> = taken
        .iter()
        .filter(|o| matches!(o.end, End::Closed(_) | End::Nothing) && !matches!(o.again, Some(End::Answer(..))))
        .collect();
    for outcome in &lost {
        let sent = outcome.sent_at.unwrap();
        let ran = targets.iter().flat_map(Target::runs).any(|run| run.id == outcome.id);
        record.line(format!(
            "LOST {}: last byte {:.0} ms after SIGTERM and {:.0} ms before the process ended, {:?}, run at a target: {ran}",
            outcome.id, sent - term_at, ended_at - sent, outcome.end
        ));
    }
    if taken.len() < 20 {
        verdict(&record, ROLE_NOT_RUN, &format!("only {} requests were taken", taken.len()));
    }
    let text = format!("{} requests taken, {} of them never answered", taken.len(), lost.len());
    verdict(&record, if lost.is_empty() { ROLE_HELD } else { ROLE_BROKEN }, &text)
}
