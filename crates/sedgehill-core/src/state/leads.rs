//! Applies records about the leads and rosters of data halls.

use std::collections::BTreeSet;

use super::{ClusterState, HallLead, RecordVerdict, VoidReason};
use crate::ids::{Epoch, HallName, Offset, WorkerId};
use crate::record::LogRecord;

impl ClusterState {
    pub(super) fn claim_lead(
        &mut self,
        record: &LogRecord,
        hall: &HallName,
        after: Option<Offset>,
        at: Offset,
    ) -> RecordVerdict {
        let state = self.halls.entry(hall.clone()).or_default();
        if state.lead.as_ref().map(|lead| lead.renewed) != after {
            return RecordVerdict::Void { reason: VoidReason::LeadTaken };
        }
        state.lead = Some(HallLead {
            holder: record.by.clone(),
            epoch: Epoch(at.0),
            renewed: at,
            released: false,
        });
        RecordVerdict::Accepted { at }
    }

    /// Renews the lead, or releases it if `release` is true.
    pub(super) fn renew_or_release_lead(
        &mut self,
        hall: &HallName,
        epoch: Epoch,
        release: bool,
        at: Offset,
    ) -> RecordVerdict {
        let lead = self.halls.get_mut(hall).and_then(|state| state.lead.as_mut());
        match lead {
            Some(lead) if lead.epoch == epoch && !lead.released => {
                lead.renewed = at;
                lead.released = release;
                RecordVerdict::Accepted { at }
            }
            _ => RecordVerdict::Void { reason: VoidReason::StaleEpoch },
        }
    }

    /// Whether the lead of the hall has this epoch and was not released.
    pub(super) fn is_current_epoch(&self, hall: &HallName, epoch: Epoch) -> bool {
        let lead = self.halls.get(hall).and_then(|state| state.lead.as_ref());
        lead.is_some_and(|lead| lead.epoch == epoch && !lead.released)
    }

    pub(super) fn change_roster(
        &mut self,
        hall: &HallName,
        epoch: Epoch,
        add: &BTreeSet<WorkerId>,
        remove: &BTreeSet<WorkerId>,
        at: Offset,
    ) -> RecordVerdict {
        if !self.is_current_epoch(hall, epoch) {
            return RecordVerdict::Void { reason: VoidReason::StaleEpoch };
        }
        let state = self.halls.entry(hall.clone()).or_default();
        state.roster.extend(add.iter().cloned());
        state.roster.retain(|worker| !remove.contains(worker));
        RecordVerdict::Accepted { at }
    }
}
