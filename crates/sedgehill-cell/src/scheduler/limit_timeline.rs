//! Forecasts what an organisation uses of its limit over time.
//!
//! A step that waits for room under the limit is given the earliest span in which its tasks are
//! expected to fit. A lower-ranked step may start now only if its tasks fit for as long as they are
//! expected to run, beside everything that the timeline holds by then. So it either ends before the
//! waiting step gets its room, or fits beside it.

use sedgehill_core::units::{Moment, ResourceSet, TimeSpan};

use crate::organisation::ResourceLimit;

/// The expected use of a limit from some moment on. It holds until the next point.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct UsagePoint {
    from: Moment,
    used: ResourceSet,
}

/// The expected use of an organisation's limit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitTimeline {
    limit: ResourceLimit,
    /// In the order of time; never empty. The first is now.
    points: Vec<UsagePoint>,
}

impl LimitTimeline {
    /// Creates the timeline of an organisation that uses `used` now. `ends` tells what it is
    /// expected to give back, and when. What is in `used` but not in `ends` stays for good.
    pub fn new(
        limit: ResourceLimit,
        used: ResourceSet,
        ends: &[(Moment, ResourceSet)],
        now: Moment,
    ) -> LimitTimeline {
        let mut ends = ends.to_vec();
        ends.sort_by_key(|(at, _)| *at);
        let mut points = vec![UsagePoint { from: now, used }];
        for (at, need) in ends {
            let last = points[points.len() - 1];
            let used = last.used.saturating_minus(&need);
            // A run that should have ended still uses its resources now.
            let from = at.max(now.after(TimeSpan(1)));
            match last.from == from {
                true => points.last_mut().expect("a timeline has a point").used = used,
                false => points.push(UsagePoint { from, used }),
            }
        }
        LimitTimeline { limit, points }
    }

    /// Returns how many tasks fit from now on for a span, or for good.
    pub fn tasks_now(&self, need: &ResourceSet, span: Option<TimeSpan>) -> usize {
        let until = span.map(|span| self.points[0].from.after(span));
        let within = self.points.iter().take_while(|point| until.is_none_or(|at| point.from < at));
        // An empty span still takes room now.
        let fitting = within.map(|point| self.fitting(point, need)).min();
        fitting.unwrap_or_else(|| self.fitting(&self.points[0], need))
    }

    /// Returns the earliest moment from which `need` fits for a span, or for good; none if it does
    /// not fit at any time.
    pub fn earliest(&self, need: &ResourceSet, span: Option<TimeSpan>) -> Option<Moment> {
        let mut start = None;
        for (index, point) in self.points.iter().enumerate() {
            if self.fitting(point, need) == 0 {
                start = None;
                continue;
            }
            let from = *start.get_or_insert(point.from);
            let next = self.points.get(index + 1);
            let ends_before_next =
                |span: TimeSpan| next.is_some_and(|next| next.from >= from.after(span));
            if span.is_some_and(ends_before_next) {
                break;
            }
        }
        start
    }

    /// Adds `need` from a moment on, for a span or for good.
    pub fn reserve(&mut self, need: &ResourceSet, from: Moment, span: Option<TimeSpan>) {
        let first = self.split_at(from);
        let end = match span {
            Some(span) => self.split_at(from.after(span)),
            None => self.points.len(),
        };
        for point in &mut self.points[first..end.max(first)] {
            point.used = point.used.plus(need);
        }
    }

    /// Removes `need`, which is in the use for good.
    pub fn release(&mut self, need: &ResourceSet) {
        for point in &mut self.points {
            point.used = point.used.saturating_minus(need);
        }
    }

    fn fitting(&self, point: &UsagePoint, need: &ResourceSet) -> usize {
        let count = self.limit.remaining(&point.used).capacity_for(need);
        usize::try_from(count).unwrap_or(usize::MAX)
    }

    /// Ensures that a point begins at a moment, and returns its index. A moment before the first
    /// point stands for the first point.
    fn split_at(&mut self, at: Moment) -> usize {
        let index = self.points.partition_point(|point| point.from < at);
        let begins = self.points.get(index).is_some_and(|point| point.from == at);
        if index > 0 && !begins {
            let used = self.points[index - 1].used;
            self.points.insert(index, UsagePoint { from: at, used });
        }
        index
    }
}
