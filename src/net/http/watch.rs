//! When the list is asked for again: without sockets or clock, so that every order of ends can be tried.
//!
//! A watch that has fallen silent is broken, and what it misses counts as told soon after its wait is over. So the
//! next call is made at once; a wait in turn, as after a failure, would take longer than the rule on drains leaves. It
//! is made once: where discovery is down or overbooked, calls end with a refusal or a reset, not in silence, and
//! asking again at once would only add to its queue.

use std::time::Duration;

/// How long a watch waits for news. Longer ones cost discovery less, and tell later that it has fallen silent.
pub const HOLD: Duration = Duration::from_secs(10);
/// A watch that does not wait: it brings what was missed.
pub const AT_ONCE: Duration = Duration::from_millis(1);
/// An answer later than this past its wait does not come any more: its news counts as told 2 s past the wait, and
/// nothing may be sent by the old list from a second later on. Half of that is left for the next call.
const PATIENCE: Duration = Duration::from_millis(1_500);
/// The same for a call that does not wait. Calls are served one after another, and giving up early on a busy
/// discovery would only add to its queue. What a silent one misses counts as told after 6 s.
const PATIENCE_AT_ONCE: Duration = Duration::from_millis(5_000);

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Told,
    /// No answer within its patience.
    Silent,
    /// A refusal, a reset, or an answer that cannot be read.
    Failed,
}

/// What follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// A call that waits so long for news.
    Call(Duration),
    /// Nothing: the core says when.
    Stop,
}

/// How long a call may take in all.
pub fn patience(hold: Duration) -> Duration {
    if hold > AT_ONCE { hold + PATIENCE } else { PATIENCE_AT_ONCE }
}

/// A run of calls, from the core's word on.
#[derive(Debug, Default)]
pub struct Watch {
    /// The last call was silent, and this one is the second.
    again: bool,
}

impl Watch {
    /// The first call only sets the watch up and brings what was missed; it does not wait, so that the core soon
    /// knows that it is told again.
    pub fn first(&self) -> Duration {
        AT_ONCE
    }

    pub fn next(&mut self, end: End) -> Next {
        let again = std::mem::replace(&mut self.again, end == End::Silent);
        match end {
            End::Told => Next::Call(HOLD),
            End::Silent if !again => Next::Call(AT_ONCE),
            End::Silent | End::Failed => {
                self.again = false;
                Next::Stop
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// What the platform counts: from when a watch's news is told, whether or not it came, and how long the old list
    /// may be followed from then on.
    const TOLD_AFTER_WAIT: Duration = Duration::from_secs(2);
    const TOLD_AFTER_SILENCE: Duration = Duration::from_secs(6);
    const GRACE: Duration = Duration::from_secs(1);

    // After a watch fell silent the next call was made after 5 to 15 s where many instances take turns. By then boxes
    // that drained had been sent to for seconds: on the fleet day with silent watches 293 times.
    #[test]
    fn a_silent_watch_is_opened_anew_while_the_old_list_may_still_be_followed() {
        for hold in [HOLD, AT_ONCE] {
            let mut watch = Watch::default();
            let until = (hold + TOLD_AFTER_WAIT).max(TOLD_AFTER_SILENCE) + GRACE;
            assert_eq!(watch.next(End::Told), Next::Call(HOLD));
            assert_eq!(watch.next(End::Silent), Next::Call(AT_ONCE));
            assert!(patience(hold) + GRACE <= until, "a second at least is left for its answer");
        }
    }

    #[test]
    fn silence_is_met_once_at_once_and_then_as_a_failure() {
        let mut watch = Watch::default();
        assert_eq!(watch.next(End::Silent), Next::Call(AT_ONCE));
        assert_eq!(watch.next(End::Silent), Next::Stop);
        assert_eq!(watch.next(End::Silent), Next::Call(AT_ONCE), "a new run, on the core's word");
        assert_eq!(watch.next(End::Told), Next::Call(HOLD));
        assert_eq!(watch.next(End::Silent), Next::Call(AT_ONCE), "another watch");
    }

    #[test]
    fn where_discovery_is_down_the_core_says_when_to_ask() {
        let mut watch = Watch::default();
        assert_eq!(watch.next(End::Failed), Next::Stop);
        assert_eq!(watch.next(End::Silent), Next::Call(AT_ONCE));
        assert_eq!(watch.next(End::Failed), Next::Stop);
    }
}
