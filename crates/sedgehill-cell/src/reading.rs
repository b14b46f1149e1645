//! How often a box reads the topics that every box follows: the operators' requests, and the claims to lead.
//!
//! The store answers all boxes together, so reads that each box repeats every half second grow with the cell: 588 boxes
//! made 4,500 calls a second at rest. A box that hears from a lead need not repeat them. The store still answers a
//! waiting read as soon as a record is there, so a longer wait delays no configuration; the lead's proofs, every
//! 0.3 s, tell whether the box has missed a version, and say how old the lead's own knowledge is. The loss of the link
//! tells at once that the lead may have changed.
//!
//! The lead itself and the boxes that stand by go on reading often: the lead decides by what it reads, and the others
//! must know whether the store answers them, since the lead makes its calls through them when its own path fails.

use sedgehill_core::units::TimeSpan;

/// How long a read of the operators' topic waits for a record at a box that does not rely on the lead.
const SHORT_WAIT: TimeSpan = TimeSpan(500);
/// The same at a box that relies on the lead, before the spread.
const LONG_WAIT: TimeSpan = TimeSpan(10_000);
/// Pause between two reads of the leads topic by a box that does not lead: it does not need renewals more often.
const LEADS_PAUSE: TimeSpan = TimeSpan(400);
/// The same at a box that relies on the lead, before the spread. The read finds a later lead that the one on the link
/// does not know of.
const LONG_LEADS_PAUSE: TimeSpan = TimeSpan(10_000);
/// Waits and pauses of several boxes are spread by this, so that boxes that linked to a lead at the same time do not
/// read at the same time.
const SPREAD: TimeSpan = TimeSpan(5_000);
/// A long wait is broken off once the view is older than this, so that a read still confirms it while it counts as
/// fresh, which is 1.8 s.
const MAX_UNCONFIRMED_AGE: TimeSpan = TimeSpan(1_400);

/// What a box is in the cell at a moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReaderRole {
    /// It leads.
    pub leads: bool,
    /// It stands by to lead.
    pub stands_by: bool,
    /// It has a link to a lead, which has said on it that the store answers.
    pub hears_lead: bool,
}

impl ReaderRole {
    /// Returns whether the box relies on the lead for how current its views are.
    fn relies_on_lead(&self) -> bool {
        self.hears_lead && !self.leads && !self.stands_by
    }
}

/// How current a box's view of the operators' topic is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ViewAges {
    /// Time since it was last known to be complete; none if it never was.
    pub known: Option<TimeSpan>,
    /// The same by the box's own reads alone. The lead proves the version of the configuration, not the other requests.
    pub read: Option<TimeSpan>,
}

/// How a box reads the topics that every box follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadPlan {
    role: ReaderRole,
    /// What is added to the long wait and the long pause of this box.
    spread: TimeSpan,
}

impl ReadPlan {
    /// Returns the plan of a box in a role. `draw` is a random number of the box.
    pub fn of(role: ReaderRole, draw: u64) -> ReadPlan {
        ReadPlan { role, spread: TimeSpan(draw % SPREAD.0) }
    }

    /// Returns whether the box relies on the lead, and so reads from the store only every few seconds.
    pub fn relies_on_lead(&self) -> bool {
        self.role.relies_on_lead()
    }

    /// Returns how long a read of the operators' topic waits for a record.
    pub fn operators_wait(&self, ages: ViewAges) -> TimeSpan {
        match self.role {
            // A lead starts nothing before it has read the requests, and a read that waits proves nothing until its end.
            ReaderRole { leads: true, .. } if is_unconfirmed(ages.read) => TimeSpan(0),
            role if role.relies_on_lead() && !is_unconfirmed(ages.known) => {
                TimeSpan(LONG_WAIT.0 + self.spread.0)
            }
            ReaderRole { .. } => SHORT_WAIT,
        }
    }

    /// Returns the pause after a read of the leads topic that returned records.
    pub fn leads_pause(&self) -> TimeSpan {
        match self.role {
            // A lead learns of a later claim at once.
            ReaderRole { leads: true, .. } => TimeSpan(0),
            role if role.relies_on_lead() => TimeSpan(LONG_LEADS_PAUSE.0 + self.spread.0),
            ReaderRole { .. } => LEADS_PAUSE,
        }
    }
}

/// Returns whether a long wait must be broken off, by the age of the view of the operators' topic.
pub fn is_unconfirmed(view_age: Option<TimeSpan>) -> bool {
    view_age.is_none_or(|age| age > MAX_UNCONFIRMED_AGE)
}
