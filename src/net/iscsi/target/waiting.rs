//! Messages that wait until a session is open.

use crate::core::{AttemptResult, TargetMessage};
use crate::interface::{LoadReport, Outcome};
use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::time::Instant;

/// Messages that wait until a session is open.
#[derive(Default)]
pub(super) struct WaitingMessages(VecDeque<TargetMessage>);

impl WaitingMessages {
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    pub(super) fn push(&mut self, message: TargetMessage) {
        self.0.push_back(message);
    }

    pub(super) fn into_messages(self) -> impl Iterator<Item = TargetMessage> {
        self.0.into_iter()
    }

    /// Resolves with the index of the first message that is cancelled or times out. Cancel safe.
    pub(super) async fn expired(&mut self) -> usize {
        let earliest = self.earliest_deadline();
        let timed_out = async {
            match earliest {
                Some((deadline, index)) => {
                    tokio::time::sleep_until(deadline).await;
                    index
                }
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            index = timed_out => index,
            index = std::future::poll_fn(|cx| self.poll_cancelled(cx)) => index,
        }
    }

    fn earliest_deadline(&self) -> Option<(Instant, usize)> {
        let deadline = |message: &TargetMessage| match message {
            TargetMessage::Attempt(attempt) => Some(attempt.until),
            TargetMessage::Probe(probe) => Some(probe.until),
            TargetMessage::SetSuspended(_) => None,
        };
        let deadlines =
            self.0.iter().enumerate().filter_map(|(index, message)| Some((deadline(message)?, index)));
        deadlines.min()
    }

    fn poll_cancelled(&mut self, cx: &mut Context<'_>) -> Poll<usize> {
        let cancelled = self.0.iter_mut().position(|message| match message {
            TargetMessage::Attempt(attempt) => Pin::new(&mut attempt.cancel).poll(cx).is_ready(),
            _ => false,
        });
        cancelled.map_or(Poll::Pending, Poll::Ready)
    }

    /// Removes the message at an index, and reports it as not sent.
    pub(super) fn report_expired(&mut self, index: usize) {
        if let Some(message) = self.0.remove(index) {
            report_unsent(message, Outcome::NotSent);
        }
    }
}

/// Reports a message that was never sent.
pub(super) fn report_unsent(message: TargetMessage, outcome: Outcome) {
    match message {
        TargetMessage::Attempt(attempt) => attempt.report.finish(AttemptResult::without_response(outcome)),
        TargetMessage::Probe(probe) => probe.report.finish(outcome, LoadReport::default()),
        TargetMessage::SetSuspended(_) => {}
    }
}
