//! Paths between boxes, workers and the store, with separate faults of each direction, and the messages on them.

use sedgehill_core::units::{Moment, TimeSpan};

/// How messages in one direction of a path are delivered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Delivery {
    /// Messages arrive at once.
    #[default]
    Immediate,
    /// Messages never arrive.
    Lost,
    /// Messages arrive later by this time, and so after those that are sent when delivery is immediate again.
    Delayed(TimeSpan),
}

impl Delivery {
    fn arrival(self, now: Moment) -> Option<Moment> {
        match self {
            Delivery::Immediate => Some(now),
            Delivery::Lost => None,
            Delivery::Delayed(by) => Some(now.after(by)),
        }
    }
}

/// Both directions between a box and a worker or the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Path {
    /// The direction of calls.
    pub request: Delivery,
    /// The direction of answers.
    pub reply: Delivery,
}

/// Messages on their way, in the order in which they were sent.
#[derive(Debug)]
pub struct Channel<T> {
    items: Vec<(Moment, T)>,
}

impl<T> Default for Channel<T> {
    fn default() -> Channel<T> {
        Channel { items: Vec::new() }
    }
}

impl<T> Channel<T> {
    /// Sends a message, which is dropped if delivery is `Lost`.
    pub fn send(&mut self, delivery: Delivery, item: T, now: Moment) {
        if let Some(at) = delivery.arrival(now) {
            self.items.push((at, item));
        }
    }

    /// Removes and returns the messages that have arrived by now.
    pub fn take_arrived(&mut self, now: Moment) -> Vec<T> {
        let (arrived, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.items).into_iter().partition(|(at, _)| *at <= now);
        self.items = rest;
        arrived.into_iter().map(|(_, item)| item).collect()
    }
}
