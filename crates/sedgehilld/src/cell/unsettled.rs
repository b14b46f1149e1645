//! Notes the jobs that this box appends without the lead, and reports them to the lead.
//!
//! A caller whose call had no certain outcome repeats it at any box. The lead must not refuse such a
//! job, although it may not have read its record yet, see [`sedgehill_cell::unsettled`].

use sedgehill_cell::ids::JobId;
use sedgehill_cell::unsettled::UnsettledReport;

use super::frames::PeerFrame;
use super::lead_link::LeadLink;
use super::state::CellBox;
use crate::clock;

/// The most notes of one box. All callers of a cell together submit about 100 jobs a second, each
/// noted up to twice, so one box has room for all jobs of 10 s.
pub const BOX_CAPACITY: usize = 4_096;
/// The most notes at the lead, which has those of all boxes; about 1 MB.
pub const LEAD_CAPACITY: usize = 16_384;

impl CellBox {
    /// Notes jobs that may reach the store without the lead, and reports them to the lead at once
    /// or with the next link. Returns the jobs that were not noted before.
    pub fn note_unsettled(&self, jobs: &[JobId]) -> Vec<JobId> {
        let now = clock::now();
        let mut unsettled = self.unsettled.borrow_mut();
        let new = jobs.iter().copied().filter(|job| unsettled.note(*job, now)).collect();
        if let Some(link) = &*self.link.borrow() {
            send_report(link, unsettled.report_of(jobs, now));
        }
        new
    }

    /// Reports all unsettled jobs, on a new connection to the lead.
    pub fn report_unsettled(&self, link: &LeadLink) {
        send_report(link, self.unsettled.borrow().report(clock::now()));
    }
}

/// Sends a report if the lead understands it. If the outbox is full, the lead's next ping causes a
/// report of all jobs.
fn send_report(link: &LeadLink, report: UnsettledReport) {
    if link.takes_unsettled.get() && !report.is_empty() {
        let sent = link.outbox.try_send(PeerFrame::Unsettled(report)).is_ok();
        link.takes_unsettled.set(sent);
    }
}
