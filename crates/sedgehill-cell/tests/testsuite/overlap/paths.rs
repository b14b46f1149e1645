//! Paths between boxes, workers and the store, each way by itself, and what is under way on them.

use sedgehill_core::units::{Moment, TimeSpan};

/// What becomes of what is sent one way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Way {
    /// It arrives at once.
    #[default]
    Open,
    /// It never arrives.
    Lost,
    /// It arrives so much later, after what is sent when the way is open again.
    Late(TimeSpan),
}

impl Way {
    fn arrival(self, now: Moment) -> Option<Moment> {
        match self {
            Way::Open => Some(now),
            Way::Lost => None,
            Way::Late(by) => Some(now.after(by)),
        }
    }
}

/// Both ways between two places.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Path {
    /// For what is asked.
    pub there: Way,
    /// For answers.
    pub back: Way,
}

/// What is under way, in the order of sending.
#[derive(Debug)]
pub struct Mail<T> {
    items: Vec<(Moment, T)>,
}

impl<T> Default for Mail<T> {
    fn default() -> Mail<T> {
        Mail { items: Vec::new() }
    }
}

impl<T> Mail<T> {
    /// Sends something.
    pub fn send(&mut self, way: Way, item: T, now: Moment) {
        if let Some(at) = way.arrival(now) {
            self.items.push((at, item));
        }
    }

    /// What has arrived by now.
    pub fn arrived(&mut self, now: Moment) -> Vec<T> {
        let (arrived, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.items).into_iter().partition(|(at, _)| *at <= now);
        self.items = rest;
        arrived.into_iter().map(|(_, item)| item).collect()
    }
}
