//! One instance's schedule, in every order of ends.

use rowanglade_discovery_polling::*;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const NOW: Micros = 100 * SECOND;
/// The shortest grace of the settings known, after which nothing may be sent by an older list.
const GRACE: Micros = 250 * MS;
/// When news counts as known, whether or not it came: after a watch's wait was over, and after it fell
/// silent.
const KNOWN_AFTER_WAIT: Micros = 2 * SECOND;

fn on_request(ask_within: Micros, instances: u32) -> Settings {
    Settings { delivery: Delivery::OnRequest { ask_within }, watch: Watch::LongPoll, instances, number: None }
}

fn pushed(grace: Micros) -> Settings {
    Settings { delivery: Delivery::Pushed { grace }, watch: Watch::LongPoll, instances: 300, number: None }
}

/// A schedule and the time, moved on from one command to the next.
struct Client {
    schedule: Schedule,
    now: Micros,
}

impl Client {
    fn new(settings: Settings) -> Client {
        Client { schedule: Schedule::new(settings, 1, NOW), now: NOW }
    }

    /// The next call, at the time at which it is made; calls given up before it are passed over.
    fn next_call(&mut self) -> Call {
        for _ in 0..100 {
            match self.schedule.poll(self.now) {
                Some(Command::Start(call)) => return call,
                Some(Command::Abandon(_)) => {}
                None => self.now = self.schedule.next_poll().expect("something is due").max(self.now),
            }
        }
        panic!("no call follows");
    }

    fn end(&mut self, call: Call, end: End) {
        self.schedule.ended(self.now, call.id, end);
    }

    /// Opens the watch, and returns the call that waits for news.
    fn watching(settings: Settings) -> (Client, Call) {
        let mut client = Client::new(settings);
        let first = client.next_call();
        client.end(first, End::Answered);
        let held = client.next_call();
        assert!(first.hold == 0 && held.hold > 0, "the first brings what was missed, the next waits");
        (client, held)
    }
}

// After a watch fell silent the next call was made after 5 to 15 s where many instances take turns. By then
// targets that drained had been sent to for seconds: on the fleet day with silent watches 293 times.
#[test]
fn a_silent_watch_is_opened_again_while_the_older_list_may_still_be_followed() {
    for instances in [2, 300, 1024] {
        let (mut client, held) = Client::watching(on_request(10 * SECOND, instances));
        let begun = client.now;
        let known = begun + (held.hold + KNOWN_AFTER_WAIT).max(HEARD_WITHIN) + GRACE;
        let again = client.next_call();
        assert_eq!(again.hold, 0, "it brings what was missed");
        assert!(client.now + SECOND <= known, "{instances}: a second is left for its answer");
    }
}

#[test]
fn a_call_that_is_lost_is_made_again_beside_it() {
    let (mut client, _) = Client::watching(on_request(10 * SECOND, 2));
    let begun = client.now;
    let lost = client.next_call();
    let beside = client.next_call();
    assert!(lost.hold == 0 && beside.hold == 0 && lost.id != beside.id);
    assert!(client.now + 500 * MS <= begun + HEARD_WITHIN + GRACE, "{} ms", (client.now - begun) / MS);
    // Either may be answered, and the other is dropped.
    client.end(lost, End::Answered);
    assert_eq!(client.schedule.poll(client.now), Some(Command::Abandon(beside.id)));
    assert!(client.next_call().hold > 0);
}

#[test]
fn two_calls_at_most_are_in_flight_however_long_discovery_is_silent() {
    let mut client = Client::new(on_request(10 * SECOND, 300));
    let (mut open, mut most, mut calls) = (0i32, 0, Vec::new());
    while client.now < NOW + 60 * SECOND {
        match client.schedule.poll(client.now) {
            Some(Command::Start(_)) => {
                open += 1;
                calls.push(client.now);
            }
            Some(Command::Abandon(_)) => open -= 1,
            None => client.now = client.schedule.next_poll().expect("something is due"),
        }
        most = most.max(open);
    }
    assert_eq!(most, 2);
    for pair in calls.windows(2) {
        let longest = if pair[0] < NOW + 12 * SECOND { LONGEST_CYCLE } else { 10 * SECOND };
        assert!(
            pair[1] - pair[0] <= longest + 100 * MS,
            "silence is never left without a call for long: {pair:?}"
        );
    }
}

// A watch that was reset waited for its instance's turn among all of them, and what drained just then was
// sent to.
#[test]
fn a_watch_that_is_reset_is_opened_again_within_a_cycle() {
    for (instances, within) in [(1, 125 * MS), (8, SECOND), (300, LONGEST_CYCLE), (1024, LONGEST_CYCLE)] {
        for end in [End::Broken, End::Refused] {
            let (mut client, held) = Client::watching(on_request(10 * SECOND, instances));
            let begun = client.now;
            client.end(held, end);
            assert_eq!(client.next_call().hold, 0);
            assert!(client.now <= begun + within, "{instances}: {} ms", (client.now - begun) / MS);
        }
    }
}

#[test]
fn a_failed_call_is_made_again_with_longer_waits_and_within_a_cycle() {
    for (end, instances) in [(End::Refused, 2), (End::Broken, 2), (End::Refused, 1024), (End::Broken, 1024)] {
        let mut client = Client::new(on_request(10 * SECOND, instances));
        let mut call = client.next_call();
        let mut gaps = Vec::new();
        for _ in 0..3 {
            let begun = client.now;
            client.end(call, end);
            assert!(client.schedule.poll(client.now).is_none(), "not again at once");
            call = client.next_call();
            gaps.push(client.now - begun);
        }
        assert!(gaps.iter().all(|gap| (50 * MS..=LONGEST_CYCLE).contains(gap)), "{gaps:?}");
        assert!(gaps[2] > gaps[0] || gaps[0] == LONGEST_CYCLE, "{gaps:?}");
        assert!(instances > 2 || gaps[..2].iter().all(|gap| *gap <= 4 * SECOND), "{gaps:?}");
    }
}

// Where the settings tell nothing of how often to ask, a failed call was made again at once, and again.
#[test]
fn settings_that_do_not_tell_how_often_to_ask_are_no_reason_to_ask_at_once() {
    let mut client = Client::new(on_request(0, 1));
    let call = client.next_call();
    let begun = client.now;
    client.end(call, End::Broken);
    client.next_call();
    assert!(client.now >= begun + 50 * MS && client.now <= begun + 2 * SECOND);
}

#[test]
fn in_a_long_outage_an_instance_asks_no_more_than_the_settings_want() {
    for (ask_within, longest) in
        [(10 * SECOND, 10 * SECOND), (30 * SECOND, 30 * SECOND), (2 * SECOND, LONGEST_CYCLE)]
    {
        let mut client = Client::new(on_request(ask_within, 300));
        let mut gap = 0;
        while client.now < NOW + 300 * SECOND {
            let call = client.next_call();
            let begun = client.now;
            client.end(call, End::Refused);
            assert!(client.schedule.poll(client.now).is_none());
            gap = client.schedule.next_poll().expect("due") - begun;
        }
        assert_eq!(gap, longest);
    }
}

// A long wait leaves little time between its end and the moment at which what a silent watch missed counts as
// known.
#[test]
fn a_watch_waits_for_two_seconds_at_most_and_no_longer_than_the_settings_leave() {
    for (ask_within, longest) in [(0, 2_000), (4_000, 2_000), (1_500, 1_500), (1, 500), (600_000, 2_000)] {
        let mut holds = Vec::new();
        let (mut client, mut held) = Client::watching(on_request(ask_within * MS, 300));
        for _ in 0..50 {
            holds.push(held.hold);
            client.now += held.hold;
            client.end(held, End::Answered);
            held = client.next_call();
        }
        assert!(holds.iter().all(|hold| (longest / 2 * MS..=longest * MS).contains(hold)), "{holds:?}");
        assert!(
            holds.iter().any(|hold| *hold != holds[0]),
            "the watches of all instances do not end together"
        );
    }
}

// Nothing said when to ask for a list that is pushed: no watch was ever open, and every drain was missed.
#[test]
fn a_pushed_list_is_watched_again_within_its_grace_however_calls_end() {
    for (grace, pause) in [(0, 20), (250, 62), (1_000, 250), (60_000, 500)] {
        let grace = grace * MS;
        let mut client = Client::new(pushed(grace));
        let mut call = client.next_call();
        assert_eq!(client.now, NOW, "at once: what the agent has counts from the start");
        for end in [End::Broken, End::Refused].repeat(3) {
            let begun = client.now;
            client.end(call, end);
            call = client.next_call();
            let gap = client.now - begun;
            assert!(gap / MS == pause && gap <= grace.max(80 * MS), "{grace}: {gap}");
        }
        // One without an answer gets others beside it, each within about the grace, and eight at most.
        let begun = client.now;
        let beside = client.next_call();
        assert!(beside.id != call.id && client.now - begun <= grace.max(80 * MS));
        let last = (0..6).map(|_| client.next_call()).last().expect("a call");
        assert!(client.now - begun <= 7 * grace.max(80 * MS));
        client.end(last, End::Answered);
        let held = client.next_call();
        assert!(held.hold > 0);
        for end in [End::Broken, End::Refused] {
            let begun = client.now;
            let mut client = Client { schedule: Schedule::new(pushed(grace), 2, begun), now: begun };
            let first = client.next_call();
            client.end(first, End::Answered);
            let held = client.next_call();
            let begun = client.now;
            client.end(held, end);
            client.next_call();
            assert_eq!(client.now, begun, "a watch that was open is opened again at once");
        }
    }
}

#[test]
fn another_address_is_asked_soon_whatever_the_wait_at_the_old_one() {
    let mut client = Client::new(on_request(10 * SECOND, 300));
    for _ in 0..6 {
        let call = client.next_call();
        client.end(call, End::Refused);
    }
    let moved = client.now;
    client.schedule.moved(moved);
    let call = client.next_call();
    assert!(client.now <= moved + SECOND && call.hold == 0);
    // What is left of the old address's calls counts for nothing.
    client.schedule.ended(client.now, CallId(0), End::Answered);
    assert!(!client.schedule.is_watching());
}

#[test]
fn a_subscription_needs_no_further_calls_until_it_breaks() {
    let settings = Settings { watch: Watch::Subscription, ..on_request(10 * SECOND, 3) };
    let mut client = Client::new(settings);
    let call = client.next_call();
    client.end(call, End::Answered);
    assert_eq!(client.schedule.poll(client.now), None);
    assert_eq!(client.schedule.next_poll(), None);
    client.schedule.subscription_broke(client.now);
    let begun = client.now;
    client.next_call();
    assert!(client.now <= begun + 500 * MS);
}
