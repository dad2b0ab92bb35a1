//! How far the drains are known, over reports that may be lost or come out of order.

use crate::Position;
use crate::constants::MAX_OUT_OF_ORDER_REPORTS;
use std::collections::BTreeMap;

/// The position up to which all drains are known, and the reports behind it that do not join on to it yet.
#[derive(Debug, Default)]
pub(crate) struct Cursor {
    position: Position,
    /// Where each report that came out of order begins and ends.
    out_of_order: BTreeMap<Position, Position>,
}

impl Cursor {
    /// All drains up to here are known.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Starts again from `position`.
    pub fn reset(&mut self, position: Position) {
        self.position = position;
        self.out_of_order.clear();
    }

    /// Moves on to `position` if that is ahead.
    pub fn skip_to(&mut self, position: Position) {
        self.position = self.position.max(position);
    }

    /// Counts the drains behind `after` up to `through` as known. A report that does not join on is remembered
    /// until the ones before it have come; beyond the bound it is forgotten and queried for again.
    pub fn record(&mut self, after: Position, through: Position) {
        if through > after && self.out_of_order.len() < MAX_OUT_OF_ORDER_REPORTS {
            self.out_of_order.insert(after, through);
        }
        self.advance();
    }

    /// Moves over the reports that join on to the position.
    fn advance(&mut self) {
        while let Some(entry) = self.out_of_order.first_entry()
            && *entry.key() <= self.position
        {
            let through = entry.remove();
            self.position = self.position.max(through);
        }
    }
}
