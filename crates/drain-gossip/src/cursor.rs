//! Tracks which drains have been received, although reports may be lost or arrive out of order.

use crate::Position;
use crate::constants::MAX_OUT_OF_ORDER_REPORTS;
use std::collections::BTreeMap;

/// The position up to which all drains have been received, and the later reports that are not adjacent to it
/// yet.
#[derive(Debug, Default)]
pub(crate) struct Cursor {
    position: Position,
    /// Maps the start of each out-of-order report to its end.
    out_of_order: BTreeMap<Position, Position>,
}

impl Cursor {
    /// All drains up to this position have been received.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Discards all progress and restarts from `position`.
    pub fn reset(&mut self, position: Position) {
        self.position = position;
        self.out_of_order.clear();
    }

    /// Advances to `position` unless the cursor is already past it.
    pub fn skip_to(&mut self, position: Position) {
        self.position = self.position.max(position);
    }

    /// Records that the drains after `after` up to `through` have been received. A report that is not
    /// adjacent to the position is stored until the ones before it have arrived; beyond
    /// [`MAX_OUT_OF_ORDER_REPORTS`] it is dropped and its drains are queried again.
    pub fn record(&mut self, after: Position, through: Position) {
        if through > after && self.out_of_order.len() < MAX_OUT_OF_ORDER_REPORTS {
            self.out_of_order.insert(after, through);
        }
        self.advance();
    }

    /// Advances over the stored reports that are adjacent to the position.
    fn advance(&mut self) {
        while let Some(entry) = self.out_of_order.first_entry()
            && *entry.key() <= self.position
        {
            let through = entry.remove();
            self.position = self.position.max(through);
        }
    }
}
