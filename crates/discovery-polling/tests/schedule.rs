//! The schedule of one initiator, for different outcomes of its requests.

use rowanglade_discovery_polling::*;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const NOW: Micros = 100 * SECOND;
/// The shortest drain grace in known settings; after it no request may be sent according to an outdated list.
const GRACE: Micros = 250 * MS;
/// A change counts as known this long after the end of a watch's wait, whether or not it was received.
const KNOWN_AFTER_WAIT: Micros = 2 * SECOND;

fn polled(max_poll_interval: Micros, initiators: u32) -> PollingConfig {
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

    /// The next request, with the time advanced to when it is sent. Skips commands that cancel requests.
    fn next_request(&mut self) -> PollRequest {
        for _ in 0..100 {
            match self.schedule.poll(self.now) {
                Some(Command::Send(request)) => return request,
                Some(Command::Cancel(_)) => {}
                None => self.now = self.schedule.next_timeout().expect("something is due").max(self.now),
            }
        }
        panic!("no request within 100 steps");
    }

    fn end(&mut self, request: PollRequest, outcome: Outcome) {
        self.schedule.handle_outcome(self.now, request.id, outcome);
    }

    /// Opens the watch, and returns the long poll that waits for a change.
    fn watching(config: PollingConfig) -> (Client, PollRequest) {
        let mut client = Client::new(config);
        let first = client.next_request();
        client.end(first, Outcome::Received);
        let long_poll = client.next_request();
        assert!(first.max_wait == 0 && long_poll.max_wait > 0, "only the second request is a long poll");
        (client, long_poll)
    }
}

// After a watch went silent, the next request was sent only after 5 to 15 s in a fleet of many initiators.
// Targets that drained in the meantime were sent requests for seconds: 293 times on one day of a fleet with
// silent watches.
#[test]
fn a_silent_watch_is_reopened_while_the_outdated_list_may_still_be_used() {
    for initiators in [2, 300, 1024] {
        let (mut client, long_poll) = Client::watching(polled(10 * SECOND, initiators));
        let began_at = client.now;
        let known = began_at + (long_poll.max_wait + KNOWN_AFTER_WAIT).max(LIST_RECEIPT_DEADLINE) + GRACE;
        let again = client.next_request();
        assert_eq!(again.max_wait, 0, "the request does not wait for a change");
        assert!(
            client.now + SECOND <= known,
            "{initiators} initiators: less than a second is left for the response"
        );
    }
}

#[test]
fn a_request_without_a_response_gets_a_hedged_request() {
    let (mut client, _) = Client::watching(polled(10 * SECOND, 2));
    let began_at = client.now;
    let lost = client.next_request();
    let hedged = client.next_request();
    assert!(lost.max_wait == 0 && hedged.max_wait == 0 && lost.id != hedged.id);
    assert!(
        client.now + 500 * MS <= began_at + LIST_RECEIPT_DEADLINE + GRACE,
        "hedged request after {} ms",
        (client.now - began_at) / MS
    );
    // Either request may be answered; the other is cancelled.
    client.end(lost, Outcome::Received);
    assert_eq!(client.schedule.poll(client.now), Some(Command::Cancel(hedged.id)));
    assert!(client.next_request().max_wait > 0);
}

#[test]
fn at_most_two_requests_are_in_flight_while_discovery_is_silent() {
    let mut client = Client::new(polled(10 * SECOND, 300));
    let (mut open, mut max_open, mut requests) = (0i32, 0, Vec::new());
    while client.now < NOW + 60 * SECOND {
        match client.schedule.poll(client.now) {
            Some(Command::Send(_)) => {
                open += 1;
                requests.push(client.now);
            }
            Some(Command::Cancel(_)) => open -= 1,
            None => client.now = client.schedule.next_timeout().expect("something is due"),
        }
        max_open = max_open.max(open);
    }
    assert_eq!(max_open, 2);
    for pair in requests.windows(2) {
        let max_interval = if pair[0] < NOW + 12 * SECOND { MAX_CYCLE } else { 10 * SECOND };
        assert!(pair[1] - pair[0] <= max_interval + 100 * MS, "two requests are too far apart: {pair:?}");
    }
}

// A watch that was reset was reopened only at its initiator's turn among all initiators, and targets that
// drained in the meantime were sent requests.
#[test]
fn a_reset_watch_is_reopened_within_a_cycle() {
    for (initiators, within) in [(1, 125 * MS), (8, SECOND), (300, MAX_CYCLE), (1024, MAX_CYCLE)] {
        for outcome in [Outcome::Failed, Outcome::Rejected] {
            let (mut client, long_poll) = Client::watching(polled(10 * SECOND, initiators));
            let began_at = client.now;
            client.end(long_poll, outcome);
            assert_eq!(client.next_request().max_wait, 0);
            assert!(
                client.now <= began_at + within,
                "{initiators} initiators: reopened after {} ms",
                (client.now - began_at) / MS
            );
        }
    }
}

#[test]
fn a_failed_request_is_retried_at_growing_intervals_within_a_cycle() {
    for (outcome, initiators) in
        [(Outcome::Rejected, 2), (Outcome::Failed, 2), (Outcome::Rejected, 1024), (Outcome::Failed, 1024)]
    {
        let mut client = Client::new(polled(10 * SECOND, initiators));
        let mut request = client.next_request();
        let mut intervals = Vec::new();
        for _ in 0..3 {
            let began_at = client.now;
            client.end(request, outcome);
            assert!(client.schedule.poll(client.now).is_none(), "retried immediately");
            request = client.next_request();
            intervals.push(client.now - began_at);
        }
        assert!(intervals.iter().all(|interval| (50 * MS..=MAX_CYCLE).contains(interval)), "{intervals:?}");
        assert!(intervals[2] > intervals[0] || intervals[0] == MAX_CYCLE, "{intervals:?}");
        assert!(
            initiators > 2 || intervals[..2].iter().all(|interval| *interval <= 4 * SECOND),
            "{intervals:?}"
        );
    }
}

// With settings that gave no poll interval, a failed request was retried immediately, over and over.
#[test]
fn without_a_poll_interval_in_the_settings_a_retry_is_delayed() {
    let mut client = Client::new(polled(0, 1));
    let request = client.next_request();
    let began_at = client.now;
    client.end(request, Outcome::Failed);
    client.next_request();
    assert!(client.now >= began_at + 50 * MS && client.now <= began_at + 2 * SECOND);
}

#[test]
fn in_a_long_outage_an_initiator_polls_at_the_interval_of_the_settings() {
    for (max_poll_interval, max_interval) in
        [(10 * SECOND, 10 * SECOND), (30 * SECOND, 30 * SECOND), (2 * SECOND, MAX_CYCLE)]
    {
        let mut client = Client::new(polled(max_poll_interval, 300));
        let mut interval = 0;
        while client.now < NOW + 300 * SECOND {
            let request = client.next_request();
            let began_at = client.now;
            client.end(request, Outcome::Rejected);
            assert!(client.schedule.poll(client.now).is_none());
            interval = client.schedule.next_timeout().expect("due") - began_at;
        }
        assert_eq!(interval, max_interval);
    }
}

// A change that a silent watch missed counts as known 2 s after the end of the watch's wait. With a long
// wait, little time would be left to detect the silence and to poll again.
#[test]
fn a_long_poll_waits_for_at_most_two_seconds_or_the_poll_interval_of_the_settings() {
    for (max_poll_interval, max_interval) in
        [(0, 2_000), (4_000, 2_000), (1_500, 1_500), (1, 500), (600_000, 2_000)]
    {
        let mut waits = Vec::new();
        let (mut client, mut long_poll) = Client::watching(polled(max_poll_interval * MS, 300));
        for _ in 0..50 {
            waits.push(long_poll.max_wait);
            client.now += long_poll.max_wait;
            client.end(long_poll, Outcome::Received);
            long_poll = client.next_request();
        }
        assert!(
            waits.iter().all(|max_wait| (max_interval / 2 * MS..=max_interval * MS).contains(max_wait)),
            "{waits:?}"
        );
        assert!(
            waits.iter().any(|max_wait| *max_wait != waits[0]),
            "all waits are equal, so watches would end together"
        );
    }
}

// Pushed lists had no retry schedule: no watch was ever opened, and every drain was missed.
#[test]
fn a_pushed_list_is_watched_again_within_its_grace_after_any_outcome() {
    for (drain_grace, delay) in [(0, 20), (250, 62), (1_000, 250), (60_000, 500)] {
        let drain_grace = drain_grace * MS;
        let mut client = Client::new(pushed(drain_grace));
        let mut request = client.next_request();
        assert_eq!(client.now, NOW, "the first request is delayed, though the agent's list counts as known");
        for outcome in [Outcome::Failed, Outcome::Rejected].repeat(3) {
            let began_at = client.now;
            client.end(request, outcome);
            request = client.next_request();
            let interval = client.now - began_at;
            assert!(
                interval / MS == delay && interval <= drain_grace.max(80 * MS),
                "{drain_grace}: {interval}"
            );
        }
        // A request without a response gets hedged requests, each about one grace after the last, up to eight
        // in flight.
        let began_at = client.now;
        let hedged = client.next_request();
        assert!(hedged.id != request.id && client.now - began_at <= drain_grace.max(80 * MS));
        let last = (0..6).map(|_| client.next_request()).last().expect("six more requests");
        assert!(client.now - began_at <= 7 * drain_grace.max(80 * MS));
        client.end(last, Outcome::Received);
        let long_poll = client.next_request();
        assert!(long_poll.max_wait > 0);
        for outcome in [Outcome::Failed, Outcome::Rejected] {
            let began_at = client.now;
            let mut client =
                Client { schedule: Schedule::new(pushed(drain_grace), 2, began_at), now: began_at };
            let first = client.next_request();
            client.end(first, Outcome::Received);
            let long_poll = client.next_request();
            let began_at = client.now;
            client.end(long_poll, outcome);
            client.next_request();
            assert_eq!(client.now, began_at, "the watch is not reopened immediately");
        }
    }
}

#[test]
fn a_new_address_is_polled_soon_whatever_the_retry_delay_at_the_old_one() {
    let mut client = Client::new(polled(10 * SECOND, 300));
    for _ in 0..6 {
        let request = client.next_request();
        client.end(request, Outcome::Rejected);
    }
    let changed_at = client.now;
    client.schedule.handle_address_change(changed_at);
    let request = client.next_request();
    assert!(client.now <= changed_at + SECOND && request.max_wait == 0);
    // Outcomes of requests to the old address are ignored.
    client.schedule.handle_outcome(client.now, RequestId(0), Outcome::Received);
    assert!(!client.schedule.is_watching());
}

// Guards against reloads in quick succession, each of which planned the next request anew: the last of eight initiators
// polled nothing for as long as they went on, and its targets that drained were sent requests.
#[test]
fn reloads_in_quick_succession_do_not_put_off_a_request_that_is_due() {
    const RELOAD_INTERVAL: Micros = 800 * MS;
    for instance_index in 0..8 {
        let config = PollingConfig { instance_index: Some(instance_index), ..polled(10 * SECOND, 8) };
        let (client, _) = Client::watching(config);
        let (mut schedule, first_reload_at) = (client.schedule, client.now);
        let mut received_at = first_reload_at;
        for reload in 0..40 {
            let reloaded_at = first_reload_at + reload * RELOAD_INTERVAL;
            schedule.handle_address_change(reloaded_at);
            let next_reload_at = reloaded_at + RELOAD_INTERVAL;
            while let Some(at) = schedule.next_timeout().filter(|at| *at < next_reload_at) {
                while let Some(command) = schedule.poll(at) {
                    if let Command::Send(request) = command
                        && request.max_wait == 0
                    {
                        // Discovery answers at once.
                        schedule.handle_outcome(at, request.id, Outcome::Received);
                        received_at = at;
                    }
                }
            }
            let since = next_reload_at - received_at;
            assert!(since <= 2 * SECOND, "initiator {instance_index}: {} ms without the list", since / MS);
        }
    }
}

#[test]
fn a_subscription_needs_no_further_requests_until_it_breaks() {
    let config = PollingConfig { watch_mode: WatchMode::Subscription, ..polled(10 * SECOND, 3) };
    let mut client = Client::new(config);
    let request = client.next_request();
    client.end(request, Outcome::Received);
    assert_eq!(client.schedule.poll(client.now), None);
    assert_eq!(client.schedule.next_timeout(), None);
    client.schedule.handle_subscription_broken(client.now);
    let began_at = client.now;
    client.next_request();
    assert!(client.now <= began_at + 500 * MS);
}
