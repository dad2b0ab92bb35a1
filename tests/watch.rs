//! When discovery is asked again, in every order of ends.

use rowanglade::net::http::watch::{Call, End, Next, Watch};
use std::time::Duration;

/// What the platform counts: from when a watch's news is told, whether or not it came, and the shortest time for which the
/// old list may be followed from then on, of the settings known.
const TOLD_AFTER_WAIT: Duration = Duration::from_secs(2);
const TOLD_AFTER_SILENCE: Duration = Duration::from_secs(6);
const GRACE: Duration = Duration::from_millis(250);

fn watch() -> Watch {
    Watch::asked(Some(Duration::from_secs(10)))
}

fn call(next: Next) -> Call {
    let Next::Call(call) = next else { panic!("no call follows") };
    call
}

/// A watch that is alive, and its present call.
fn alive() -> (Watch, Call) {
    let mut watch = watch();
    let held = call(watch.next(End::Told));
    (watch, held)
}

// After a watch fell silent the next call was made after 5 to 15 s where many instances take turns. By then targets
// that drained had been sent to for seconds: on the fleet day with silent watches 293 times.
#[test]
fn a_silent_watch_is_opened_anew_while_the_old_list_may_still_be_followed() {
    let (mut watch, held) = alive();
    let until = (held.hold + TOLD_AFTER_WAIT).max(TOLD_AFTER_SILENCE) + GRACE;
    let anew = call(watch.next(End::Silent));
    assert!(anew.hold < Duration::from_millis(10), "it brings what was missed");
    // The call that opens it may fall silent as well: another is made beside it, and half a second is left for that.
    let beside = held.patience + anew.beside;
    assert_eq!(anew.most, 2, "another call, and no more");
    assert!(beside + Duration::from_millis(500) <= until, "{beside:?} of {until:?}");
    let first = self::watch().first();
    assert!(first.patience + GRACE <= TOLD_AFTER_SILENCE + GRACE - Duration::from_secs(1));
}

#[test]
fn silence_is_met_once_at_once_and_then_as_a_failure() {
    let mut watch = watch();
    assert_eq!(call(watch.next(End::Silent)).most, 2);
    assert_eq!(watch.next(End::Silent), Next::Stop);
    assert_eq!(call(watch.next(End::Silent)).most, 2, "a new run, on the core's word");
    call(watch.next(End::Told));
    assert_eq!(call(watch.next(End::Silent)).most, 2, "another watch");
}

// A watch that was reset waited for its instance's turn among all of them, and what drained just then was sent to.
#[test]
fn a_watch_that_is_reset_is_opened_anew_at_once_and_once() {
    let (mut watch, _) = alive();
    assert!(call(watch.next(End::Broken)).hold < Duration::from_millis(10));
    assert_eq!(watch.next(End::Broken), Next::Stop);
    let (mut watch, _) = alive();
    call(watch.next(End::Broken));
    assert_eq!(call(watch.next(End::Told)).hold, Duration::from_secs(10));
}

#[test]
fn where_discovery_is_down_or_overbooked_the_core_says_when_to_ask() {
    for end in [End::Broken, End::Refused] {
        let mut watch = watch();
        assert_eq!(watch.next(end), Next::Stop);
        call(watch.next(End::Silent));
        assert_eq!(watch.next(end), Next::Stop);
    }
    let (mut watch, _) = alive();
    assert_eq!(watch.next(End::Refused), Next::Stop, "another call would only add to its queue");
}

#[test]
fn a_watch_waits_as_long_as_the_settings_leave_between_two_calls() {
    let hold = |within: Option<u64>| {
        call(Watch::asked(within.map(Duration::from_millis)).next(End::Told)).hold.as_millis()
    };
    assert_eq!([None, Some(4_000), Some(1), Some(600_000)].map(hold), [10_000, 4_000, 1_000, 60_000]);
}

// Nothing said when to ask for a list that is pushed: no watch was ever open, and every drain was missed.
#[test]
fn a_pushed_list_is_watched_again_within_its_grace_however_calls_end() {
    for (grace, pace) in [(0, 20), (250, 62), (1_000, 250), (60_000, 500)] {
        let grace = Duration::from_millis(grace);
        let mut watch = Watch::pushed(grace);
        assert!(watch.is_pushed());
        let first = watch.first();
        for end in [End::Silent, End::Broken, End::Refused].repeat(3) {
            let Next::After(pause, next) = watch.next(end) else { panic!("{end:?} ends the watch") };
            assert_eq!((pause.as_millis(), next), (pace, first));
            // At the latest so long after the agent is back it is asked, and one that is slow is waited for.
            assert!(pause <= first.beside && first.beside <= grace.max(Duration::from_millis(80)));
            assert!(
                first.most > 1 && first.patience >= 2 * first.beside && first.patience < TOLD_AFTER_SILENCE
            );
        }
        let held = call(watch.next(End::Told));
        assert_eq!(call(watch.next(End::Told)), held);
        for end in [End::Silent, End::Broken, End::Refused] {
            assert_eq!(call(watch.next(end)), first, "a watch that was alive is opened anew at once");
            assert!(matches!(watch.next(end), Next::After(..)), "and then in its pace");
            call(watch.next(End::Told));
        }
        assert!(held.patience < held.hold + TOLD_AFTER_WAIT - Duration::from_millis(500));
    }
}
