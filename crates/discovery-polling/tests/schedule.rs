//! One initiator's schedule, in every order of outcomes.

use rowanglade_discovery_polling::*;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const NOW: Micros = 100 * SECOND;
/// The shortest grace of the settings known, after which nothing may be sent by an older list.
const GRACE: Micros = 250 * MS;
/// When news counts as known, whether or not it came: after a watch's wait was over, and after it fell
/// silent.
const KNOWN_AFTER_WAIT: Micros = 2 * SECOND;

fn on_request(max_poll_interval: Micros, initiators: u32) -> PollingConfig {
    PollingConfig {
        delivery: Delivery::Polled { max_poll_interval },
        watch_mode: WatchMode::LongPoll,
        initiators,
        instance_index: None,
    }
}

fn pushed(drain_grace: Micros) -> PollingConfig {
    PollingConfig {
        delivery: Delivery::Pushed { drain_grace },
        watch_mode: WatchMode::LongPoll,
        initiators: 300,
        instance_index: None,
    }
}

/// A schedule and the time, moved on from one command to the next.
struct Client {
    schedule: Schedule,
    now: Micros,
}

impl Client {
    fn new(config: PollingConfig) -> Client {
        Client { schedule: Schedule::new(config, 1, NOW), now: NOW }
    }

    /// The next call, at the time at which it is made; requests cancelled before it are passed over.
    fn next_request(&mut self) -> PollRequest {
        for _ in 0..100 {
            match self.schedule.poll(self.now) {
                Some(Command::Send(call)) => return call,
                Some(Command::Cancel(_)) => {}
                None => self.now = self.schedule.next_timeout().expect("something is due").max(self.now),
            }
        }
        panic!("no call follows");
    }

    fn end(&mut self, call: PollRequest, outcome: Outcome) {
        self.schedule.handle_outcome(self.now, call.id, outcome);
    }

    /// Opens the watch, and returns the call that waits for news.
    fn watching(config: PollingConfig) -> (Client, PollRequest) {
        let mut client = Client::new(config);
        let first = client.next_request();
        client.end(first, Outcome::Received);
        let held = client.next_request();
        assert!(first.max_wait == 0 && held.max_wait > 0, "the first brings what was missed, the next waits");
        (client, held)
    }
}

// After a watch fell silent the next call was made after 5 to 15 s where many initiators take turns. By then
// targets that drained had been sent to for seconds: on the fleet day with silent watches 293 times.
#[test]
fn a_silent_watch_is_opened_again_while_the_older_list_may_still_be_followed() {
    for initiators in [2, 300, 1024] {
        let (mut client, held) = Client::watching(on_request(10 * SECOND, initiators));
        let begun = client.now;
        let known = begun + (held.max_wait + KNOWN_AFTER_WAIT).max(LIST_RECEIPT_DEADLINE) + GRACE;
        let again = client.next_request();
        assert_eq!(again.max_wait, 0, "it brings what was missed");
        assert!(client.now + SECOND <= known, "{initiators}: a second is left for its answer");
    }
}

#[test]
fn a_call_that_is_lost_is_made_again_beside_it() {
    let (mut client, _) = Client::watching(on_request(10 * SECOND, 2));
    let begun = client.now;
    let lost = client.next_request();
    let beside = client.next_request();
    assert!(lost.max_wait == 0 && beside.max_wait == 0 && lost.id != beside.id);
    assert!(
        client.now + 500 * MS <= begun + LIST_RECEIPT_DEADLINE + GRACE,
        "{} ms",
        (client.now - begun) / MS
    );
    // Either may be answered, and the other is dropped.
    client.end(lost, Outcome::Received);
    assert_eq!(client.schedule.poll(client.now), Some(Command::Cancel(beside.id)));
    assert!(client.next_request().max_wait > 0);
}

#[test]
fn two_calls_at_most_are_in_flight_however_long_discovery_is_silent() {
    let mut client = Client::new(on_request(10 * SECOND, 300));
    let (mut open, mut most, mut calls) = (0i32, 0, Vec::new());
    while client.now < NOW + 60 * SECOND {
        match client.schedule.poll(client.now) {
            Some(Command::Send(_)) => {
                open += 1;
                calls.push(client.now);
            }
            Some(Command::Cancel(_)) => open -= 1,
            None => client.now = client.schedule.next_timeout().expect("something is due"),
        }
        most = most.max(open);
    }
    assert_eq!(most, 2);
    for pair in calls.windows(2) {
        let longest = if pair[0] < NOW + 12 * SECOND { MAX_CYCLE } else { 10 * SECOND };
        assert!(
            pair[1] - pair[0] <= longest + 100 * MS,
            "silence is never left without a call for long: {pair:?}"
        );
    }
}

// A watch that was reset waited for its initiator's turn among all of them, and what drained just then was
// sent to.
#[test]
fn a_watch_that_is_reset_is_opened_again_within_a_cycle() {
    for (initiators, within) in [(1, 125 * MS), (8, SECOND), (300, MAX_CYCLE), (1024, MAX_CYCLE)] {
        for outcome in [Outcome::Failed, Outcome::Rejected] {
            let (mut client, held) = Client::watching(on_request(10 * SECOND, initiators));
            let begun = client.now;
            client.end(held, outcome);
            assert_eq!(client.next_request().max_wait, 0);
            assert!(client.now <= begun + within, "{initiators}: {} ms", (client.now - begun) / MS);
        }
    }
}

#[test]
fn a_failed_call_is_made_again_with_longer_waits_and_within_a_cycle() {
    for (outcome, initiators) in
        [(Outcome::Rejected, 2), (Outcome::Failed, 2), (Outcome::Rejected, 1024), (Outcome::Failed, 1024)]
    {
        let mut client = Client::new(on_request(10 * SECOND, initiators));
        let mut call = client.next_request();
        let mut gaps = Vec::new();
        for _ in 0..3 {
            let begun = client.now;
            client.end(call, outcome);
            assert!(client.schedule.poll(client.now).is_none(), "not again at once");
            call = client.next_request();
            gaps.push(client.now - begun);
        }
        assert!(gaps.iter().all(|gap| (50 * MS..=MAX_CYCLE).contains(gap)), "{gaps:?}");
        assert!(gaps[2] > gaps[0] || gaps[0] == MAX_CYCLE, "{gaps:?}");
        assert!(initiators > 2 || gaps[..2].iter().all(|gap| *gap <= 4 * SECOND), "{gaps:?}");
    }
}

// Where the settings say nothing of how often to ask, a failed call was made again at once, and again.
#[test]
fn settings_that_do_not_tell_how_often_to_ask_are_no_reason_to_ask_at_once() {
    let mut client = Client::new(on_request(0, 1));
    let call = client.next_request();
    let begun = client.now;
    client.end(call, Outcome::Failed);
    client.next_request();
    assert!(client.now >= begun + 50 * MS && client.now <= begun + 2 * SECOND);
}

#[test]
fn in_a_long_outage_an_instance_asks_no_more_than_the_settings_want() {
    for (max_poll_interval, longest) in
        [(10 * SECOND, 10 * SECOND), (30 * SECOND, 30 * SECOND), (2 * SECOND, MAX_CYCLE)]
    {
        let mut client = Client::new(on_request(max_poll_interval, 300));
        let mut gap = 0;
        while client.now < NOW + 300 * SECOND {
            let call = client.next_request();
            let begun = client.now;
            client.end(call, Outcome::Rejected);
            assert!(client.schedule.poll(client.now).is_none());
            gap = client.schedule.next_timeout().expect("due") - begun;
        }
        assert_eq!(gap, longest);
    }
}

// A long wait leaves little time between its end and the moment at which what a silent watch missed counts as
// known.
#[test]
fn a_watch_waits_for_two_seconds_at_most_and_no_longer_than_the_settings_leave() {
    for (max_poll_interval, longest) in
        [(0, 2_000), (4_000, 2_000), (1_500, 1_500), (1, 500), (600_000, 2_000)]
    {
        let mut holds = Vec::new();
        let (mut client, mut held) = Client::watching(on_request(max_poll_interval * MS, 300));
        for _ in 0..50 {
            holds.push(held.max_wait);
            client.now += held.max_wait;
            client.end(held, Outcome::Received);
            held = client.next_request();
        }
        assert!(
            holds.iter().all(|max_wait| (longest / 2 * MS..=longest * MS).contains(max_wait)),
            "{holds:?}"
        );
        assert!(
            holds.iter().any(|max_wait| *max_wait != holds[0]),
            "the watches of all instances do not end together"
        );
    }
}

// Nothing said when to ask for a list that is pushed: no watch was ever open, and every drain was missed.
#[test]
fn a_pushed_list_is_watched_again_within_its_grace_however_calls_end() {
    for (drain_grace, pause) in [(0, 20), (250, 62), (1_000, 250), (60_000, 500)] {
        let drain_grace = drain_grace * MS;
        let mut client = Client::new(pushed(drain_grace));
        let mut call = client.next_request();
        assert_eq!(client.now, NOW, "at once: what the agent has counts from the start");
        for outcome in [Outcome::Failed, Outcome::Rejected].repeat(3) {
            let begun = client.now;
            client.end(call, outcome);
            call = client.next_request();
            let gap = client.now - begun;
            assert!(gap / MS == pause && gap <= drain_grace.max(80 * MS), "{drain_grace}: {gap}");
        }
        // One without an answer gets others beside it, each within about the grace, and eight at most.
        let begun = client.now;
        let beside = client.next_request();
        assert!(beside.id != call.id && client.now - begun <= drain_grace.max(80 * MS));
        let last = (0..6).map(|_| client.next_request()).last().expect("a call");
        assert!(client.now - begun <= 7 * drain_grace.max(80 * MS));
        client.end(last, Outcome::Received);
        let held = client.next_request();
        assert!(held.max_wait > 0);
        for outcome in [Outcome::Failed, Outcome::Rejected] {
            let begun = client.now;
            let mut client = Client { schedule: Schedule::new(pushed(drain_grace), 2, begun), now: begun };
            let first = client.next_request();
            client.end(first, Outcome::Received);
            let held = client.next_request();
            let begun = client.now;
            client.end(held, outcome);
            client.next_request();
            assert_eq!(client.now, begun, "a watch that was open is opened again at once");
        }
    }
}

#[test]
fn another_address_is_asked_soon_whatever_the_wait_at_the_old_one() {
    let mut client = Client::new(on_request(10 * SECOND, 300));
    for _ in 0..6 {
        let call = client.next_request();
        client.end(call, Outcome::Rejected);
    }
    let changed_at = client.now;
    client.schedule.handle_address_change(changed_at);
    let call = client.next_request();
    assert!(client.now <= changed_at + SECOND && call.max_wait == 0);
    // What is left of the old address's calls counts for nothing.
    client.schedule.handle_outcome(client.now, RequestId(0), Outcome::Received);
    assert!(!client.schedule.is_watching());
}

#[test]
fn a_subscription_needs_no_further_calls_until_it_breaks() {
    let config = PollingConfig { watch_mode: WatchMode::Subscription, ..on_request(10 * SECOND, 3) };
    let mut client = Client::new(config);
    let call = client.next_request();
    client.end(call, Outcome::Received);
    assert_eq!(client.schedule.poll(client.now), None);
    assert_eq!(client.schedule.next_timeout(), None);
    client.schedule.handle_subscription_broken(client.now);
    let begun = client.now;
    client.next_request();
    assert!(client.now <= begun + 500 * MS);
}
