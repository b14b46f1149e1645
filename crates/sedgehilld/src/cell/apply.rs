//! Applies records of the store's topics to the state of the box, whether they come from a read,
//! from the link to the lead, or from an append of this box.

use std::collections::BTreeSet;
use std::rc::Rc;

use bytes::Bytes;
use sedgehill_adapter::config::{decode_config, is_config};
use sedgehill_adapter::hall_request::{HallRequest, decode_hall_request};
use sedgehill_adapter::store::{KeyedRecord, StoreTopic};
use sedgehill_cell::authority::LeadRecord;
use sedgehill_cell::halls::HallChange;
use sedgehill_cell::ids::HallName;
use sedgehill_cell::replica::{CellRecord, ReplicaChange, RosterSource};
use sedgehill_cell::scheduler::{RosterChange, SpeedChange};
use slog::{info, warn};

use super::state::CellBox;
use crate::clock;

/// Applies a record of a topic.
pub fn apply(host: &CellBox, topic: StoreTopic, record: &KeyedRecord) {
    match topic {
        StoreTopic::Operators if is_config(record) => apply_config(host, record.value.clone()),
        StoreTopic::Operators => apply_hall_request(host, record),
        StoreTopic::Leads => apply_lead_record(host, record),
        StoreTopic::Jobs | StoreTopic::Progress => apply_cell_record(host, record),
        StoreTopic::Workers => {}
    }
}

/// Applies a record of the configuration. A version older than the one in force changes nothing.
pub fn apply_config(host: &CellBox, record: Bytes) {
    match decode_config(&record) {
        Ok(config) if config.version > host.config.borrow().version => {
            info!(host.log, "configuration in force";
                "version" => config.version, "routes" => config.routes.len(),
                "organisations" => config.organisations.len());
            *host.config.borrow_mut() = Rc::new(config);
            *host.config_record.borrow_mut() = record;
        }
        Ok(_) => {}
        Err(error) => warn!(host.log, "configuration not readable"; "error" => %error),
    }
}

/// Applies a request to empty a hall or to take it back. Other records of operators change nothing.
fn apply_hall_request(host: &CellBox, record: &KeyedRecord) {
    let Some(request) = decode_hall_request(record) else { return };
    let change = match request {
        HallRequest::Empty(hall) => host.emptied_halls.borrow_mut().empty(hall, clock::now()),
        HallRequest::TakeBack(hall) => host.emptied_halls.borrow_mut().take_back(&hall),
    };
    note_hall_changes(host, change);
}

/// Replaces all requests to empty halls by those in the newest records of the operators' topic, which
/// were read up to `end`. A hall that was taken back has no record there.
pub fn replace_hall_requests(host: &CellBox, newest: &[KeyedRecord], end: u64) {
    let emptied: BTreeSet<HallName> = newest
        .iter()
        .filter_map(|record| match decode_hall_request(record)? {
            HallRequest::Empty(hall) => Some(hall),
            HallRequest::TakeBack(_) => None,
        })
        .collect();
    let changes = host.emptied_halls.borrow_mut().replace(emptied, end, clock::now());
    note_hall_changes(host, changes);
}

/// Logs changes in the use of halls, and passes them on if this box leads.
fn note_hall_changes(host: &CellBox, changes: impl IntoIterator<Item = HallChange>) {
    let view_age = host.config_view.age().map(|age| age.0);
    let mut changed = false;
    for change in changes {
        changed = true;
        match change {
            HallChange::Emptied(hall) => {
                info!(host.log, "hall emptied"; "hall" => %hall, "view_age_ms" => view_age);
            }
            HallChange::BackInUse(hall) => {
                info!(host.log, "hall back in use"; "hall" => %hall, "view_age_ms" => view_age);
            }
        }
    }
    if changed && let Some(session) = &*host.session.borrow() {
        session.apply_halls(host);
    }
}

fn apply_lead_record(host: &CellBox, record: &KeyedRecord) {
    match LeadRecord::decode(&record.value) {
        Ok(lead) => {
            let changed = {
                let watch = host.watch.borrow();
                watch.newest().is_none_or(|newest| {
                    newest.token != lead.token || newest.resigned != lead.resigned
                })
            };
            if changed {
                info!(host.log, "lead"; "token" => %lead.token, "holder" => %lead.holder,
                    "resigned" => lead.resigned);
            }
            host.watch.borrow_mut().note_record(lead, clock::now());
            if changed {
                host.lead_changed.notify_waiters();
            }
        }
        Err(error) => warn!(host.log, "lead record not readable"; "error" => %error),
    }
}

fn apply_cell_record(host: &CellBox, record: &KeyedRecord) {
    if RosterChange::is_roster_key(&record.key) {
        match RosterChange::decode(&record.key, &record.value) {
            Ok(change) => {
                let source =
                    RosterSource { read_at: clock::now(), offset: host.progress_view.offset.get() };
                host.replica.borrow_mut().apply_roster(change, source);
            }
            Err(error) => {
                warn!(host.log, "roster not readable"; "key" => &record.key, "error" => %error);
            }
        }
        return;
    }
    if SpeedChange::is_speed_key(&record.key) {
        return apply_speeds(host, record);
    }
    if record.value.is_empty() {
        forget_key(host, &record.key);
        return;
    }
    let (id, cell_record) = match CellRecord::decode(&record.key, &record.value) {
        Ok(decoded) => decoded,
        Err(error) => {
            warn!(host.log, "cell record not readable"; "key" => &record.key, "error" => %error);
            return;
        }
    };
    let change = host.replica.borrow_mut().apply(id, cell_record, clock::now());
    let session = host.session.borrow().clone();
    let Some(session) = session else { return };
    match change {
        ReplicaChange::Accepted(id) => session.add_job(host, id),
        ReplicaChange::Cancelled(id) => session.cancel_job(id),
        ReplicaChange::Other => {}
    }
}

/// Applies a record of the speeds of workers. One that cannot be read is ignored: the next lead
/// learns anew what it would have held.
fn apply_speeds(host: &CellBox, record: &KeyedRecord) {
    match SpeedChange::decode(&record.key, &record.value) {
        Ok(change) => host.replica.borrow_mut().apply_speeds(change),
        Err(error) => {
            warn!(host.log, "worker speeds not readable"; "key" => &record.key, "error" => %error);
        }
    }
}

/// Applies the removal of a key by the lead. A job is forgotten together with its progress; the
/// record of its submission is removed earlier, once the job has ended.
fn forget_key(host: &CellBox, key: &str) {
    match CellRecord::decode_key(key) {
        Ok((CellRecord::PROGRESS_PREFIX, id)) => host.replica.borrow_mut().forget(id),
        Ok((CellRecord::PART_PREFIX, id)) => {
            if let Some(part) = CellRecord::decode_part(key) {
                host.replica.borrow_mut().remove_part(id, part);
            }
        }
        Ok(_) => {}
        Err(error) => warn!(host.log, "dropped key not readable"; "key" => key, "error" => %error),
    }
}
