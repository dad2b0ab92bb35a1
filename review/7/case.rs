//! Case 7: a planned restart while clients write heads slowly, within the 2 s that the pages allow for a head. The
//! initiator ends the connections in the middle of heads, reads the rest and discards it without an answer.
#[path = "../standins-2/common.rs"]
mod common;
use common::*;
use std::io::Write;

const CLIENTS: u64 = 40;
const PIECES: usize = 16;
/// A client takes this long for a head, of the 2 s that it may take.
const WRITING_MS: f64 = 1_800.0;
const FIRST_AT_MS: f64 = -500.0;
const APART_MS: f64 = 60.0;
const KILL_AT_MS: f64 = 3_700.0;
const MARGIN_MS: f64 = 25.0;

struct Outcome {
    id: String,
    began_at: f64,
    sent_at: Option<f64>,
    end: End,
    again: Option<End>,
}

fn client(listen: std::net::SocketAddr, number: u64, begin: f64, record: Record) -> Outcome {
    let id = format!("view-{number}");
    let none = |end: End| Outcome { id: id.clone(), began_at: begin, sent_at: None, end, again: None };
    let Ok(mut stream) = connect(listen) else { return none(End::NotTaken("connect".into())) };
    let first = Ask::get(&format!("first-{number}"), "view", 1_000 + number, (number % 10) as i64, 1_500);
    if stream.write_all(&first.bytes()).is_err() {
        return none(End::NotTaken("first".into()));
    }
    let (_, Some(reader)) = read_answer(stream, 3_000) else { return none(End::NotTaken("first".into())) };
    let mut stream = reader.stream;
    let ask = Ask::get(&id, "view", 100 + number, (number % 10) as i64, 1_500);
    let bytes = ask.bytes();
    sleep_until_ms(begin);
    if has_ended(&stream) {
        record.line(format!("client: its resting connection was closed before {id}"));
        return none(End::NotTaken("closed between requests".into()));
    }
    record.line(format!("client begins {id}"));
    let length = bytes.len().div_ceil(PIECES);
    for (index, piece) in bytes.chunks(length).enumerate() {
        sleep_until_ms(begin + WRITING_MS * index as f64 / (PIECES - 1) as f64);
        if let Err(error) = stream.write_all(piece) {
            record.line(format!("client: {id} could not be written: {error}"));
            return none(End::NotTaken(error.to_string()));
        }
    }
    let sent_at = now_ms();
    record.line(format!("client has written the last byte of {id}"));
    let (end, _) = read_answer(stream, 2_100);
    record.line(format!("client: {id} ends as {end:?}"));
    let again = matches!(end, End::Closed(_)).then(|| exchange(listen, &ask, 2_100));
    if let Some(again) = &again {
        record.line(format!("client: {id} once more on a new connection: {again:?}"));
    }
    Outcome { id, began_at: begin, sent_at: Some(sent_at), end, again }
}

fn main() {
    let record = Record::create();
    let folder = Folder::new();
    let targets: Vec<Target> = (0..10)
        .map(|cell| Target::start(&format!("s-{cell}"), cell, &record, |_| Act::Serve(40, b"kept".to_vec())))
        .collect();
    let discovery = Discovery::start(&record);
    discovery.put(targets.iter().map(Entry::of));
    let plan = Plan::new(&discovery, settings(&kingston_classes(), 10, 1, 1_000));
    let mut daemon = Daemon::start(&plan, &folder.0, "config.json", "log");
    if !wait_up(plan.listen) {
        verdict(&record, ROLE_NOT_RUN, "the initiator is not ready after 30 s");
    }
    let term_at = now_ms() + 1_500.0;
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
        record.line(format!(
            "LOST {}: begun {:.0} ms and written whole {:.0} ms after SIGTERM, {:.0} ms before the process ended, {:?}",
            outcome.id, outcome.began_at - term_at, sent - term_at, ended_at - sent, outcome.end
        ));
    }
    if taken.len() < 20 {
        verdict(&record, ROLE_NOT_RUN, &format!("only {} requests were taken", taken.len()));
    }
    let text = format!("{} requests taken, {} of them never answered", taken.len(), lost.len());
    verdict(&record, if lost.is_empty() { ROLE_HELD } else { ROLE_BROKEN }, &text)
}
