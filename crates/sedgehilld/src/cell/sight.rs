//! Lines that tell what a lead goes by, with the age of each input: when it takes over, when it gives
//! no orders for a time, and when it is over. Nothing here decides.

use sedgehill_cell::authority::{LeadLiveness, LeadRecord};
use sedgehill_cell::ids::FencingToken;
use sedgehill_core::units::{Moment, TimeSpan};
use slog::{KV, Record, Serializer, info};

use super::lead::LeadSession;
use super::state::CellBox;
use crate::{clock, telemetry};

/// Why a box claimed the lead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ClaimReason {
    /// Nobody led before.
    First,
    /// It held the claim itself, and its work as the lead had ended.
    Again,
    /// The lead resigned.
    Resigned,
    /// The lead was an earlier life of this box.
    OwnRestart,
    /// Nothing listens at the lead's address.
    Gone,
    /// The lead is silent, though its link stands.
    Silent,
    /// The lead is silent, and there is no link to it or the store does not answer it.
    Unreachable,
}

impl ClaimReason {
    fn name(self) -> &'static str {
        match self {
            ClaimReason::First => "first",
            ClaimReason::Again => "again",
            ClaimReason::Resigned => "resigned",
            ClaimReason::OwnRestart => "own_restart",
            ClaimReason::Gone => "gone",
            ClaimReason::Silent => "silent",
            ClaimReason::Unreachable => "unreachable",
        }
    }
}

/// Why a lead is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeadEnd {
    /// The box stops.
    Stopping,
    /// A later claim was read.
    LaterToken,
    /// The store refused progress, as a later lead has fenced.
    FencedByStore,
    /// A worker has seen a later token.
    FencedByWorker,
    /// A much stronger box is there.
    Yielding,
    /// It could not fence and catch up in time.
    NotFenced,
    /// A part of its work ended by itself, which should not happen.
    Halted,
}

impl LeadEnd {
    fn name(self) -> &'static str {
        match self {
            LeadEnd::Stopping => "stopping",
            LeadEnd::LaterToken => "later_token",
            LeadEnd::FencedByStore => "fenced_by_store",
            LeadEnd::FencedByWorker => "fenced_by_worker",
            LeadEnd::Yielding => "yielding",
            LeadEnd::NotFenced => "not_fenced",
            LeadEnd::Halted => "halted",
        }
    }
}

/// What a box knew of the lead that it follows, at the moment of its claim.
#[derive(Debug)]
pub struct FollowedLead {
    record: Option<LeadRecord>,
    sign: LeadLiveness,
    reason: ClaimReason,
    at: Moment,
    gaps: u64,
}

impl FollowedLead {
    /// What this box knows now.
    pub fn of(host: &CellBox) -> FollowedLead {
        let watch = host.watch.borrow();
        let at = clock::now();
        let (record, sign) = (watch.newest().cloned(), watch.liveness(at));
        let reason = match &record {
            None => ClaimReason::First,
            Some(_) if watch.is_holder() => ClaimReason::Again,
            Some(record) if record.resigned => ClaimReason::Resigned,
            Some(record) if record.holder == host.settings.name => ClaimReason::OwnRestart,
            Some(_) if sign.gone => ClaimReason::Gone,
            Some(_) if sign.reachable => ClaimReason::Silent,
            Some(_) => ClaimReason::Unreachable,
        };
        FollowedLead { record, sign, reason, at, gaps: gaps(host) }
    }

    /// The token of the lead that is followed; none if there was none.
    pub fn token(&self) -> Option<FencingToken> {
        self.record.as_ref().map(|record| record.token)
    }

    /// Counts the claim.
    pub fn count(&self) {
        telemetry::count_lead("begun", self.reason.name());
    }
}

impl KV for FollowedLead {
    fn serialize(&self, _: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        serializer.emit_str("reason", self.reason.name())?;
        if let Some(record) = &self.record {
            serializer.emit_arguments("follows_token", &format_args!("{}", record.token))?;
            serializer.emit_str("follows_holder", &record.holder.0)?;
            // As a text: it is beyond what many readers of JSON keep of a number.
            serializer.emit_arguments("follows_life", &format_args!("{}", record.life))?;
            serializer.emit_bool("follows_resigned", record.resigned)?;
            serializer.emit_bool("reachable", self.sign.reachable)?;
            serializer.emit_bool("gone", self.sign.gone)?;
        }
        serializer.emit_u64("sign_age_ms", self.at.since(self.sign.last_heard).0)
    }
}

/// How often this box found that the store had dropped what it was to read next.
fn gaps(host: &CellBox) -> u64 {
    host.jobs_view.gaps.get() + host.progress_view.gaps.get()
}

/// A lead has caught up: what it goes by until earlier leads are settled. `fence` is where progress
/// ended once the store refused earlier leads.
pub fn note_taking_over(
    host: &CellBox,
    session: &LeadSession,
    followed: &FollowedLead,
    fence: u64,
) {
    let now = clock::now();
    let known = session.scheduler.borrow().take_over_status();
    let replica = host.replica.borrow();
    let roster_source = replica.roster_source();
    info!(host.log, "taking over"; "token" => %session.token, followed,
        "claimed_ms_ago" => now.since(followed.at).0,
        "waits_for_term" => known.waits_for_term,
        "settled_within_ms" => known.settled_by.since(now).0,
        "jobs" => known.jobs, "earlier_jobs" => known.earlier_jobs,
        "roster" => replica.roster().workers.len(), "roster_mark" => %replica.roster().digest(),
        "roster_from" => roster_source.and_then(|sign| sign.offset),
        "roster_age_ms" => roster_source.map(|sign| now.since(sign.read_at).0),
        "progress_fence" => fence,
        "progress_read" => host.progress_view.offset.get(),
        "progress_age_ms" => age(host.progress_view.age()),
        "jobs_read" => host.jobs_view.offset.get(),
        "jobs_age_ms" => age(host.jobs_view.age()),
        "gaps" => gaps(host) - followed.gaps);
}

fn age(age: Option<TimeSpan>) -> Option<u64> {
    age.map(|age| age.0)
}

/// What takes away a lead's authority.
struct Withheld<'a> {
    host: &'a CellBox,
    token: FencingToken,
}

impl KV for Withheld<'_> {
    fn serialize(&self, _: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        let watch = self.host.watch.borrow();
        let now = clock::now();
        if let Some(newest) = watch.newest().filter(|newest| newest.token != self.token) {
            serializer.emit_str("later_holder", &newest.holder.0)?;
            serializer.emit_arguments("later_token", &format_args!("{}", newest.token))?;
        }
        if let Some(until) = watch.authority_until() {
            let term = self.host.settings.authority.term;
            let renewed = Moment(until.0.saturating_sub(term.0));
            serializer.emit_u64("over_ms", now.since(until).0)?;
            serializer.emit_u64("renewed_ms_ago", now.since(renewed).0)?;
        }
        serializer.emit_u64("sign_age_ms", now.since(watch.liveness(now).last_heard).0)
    }
}

/// Tells when a lead may not give orders for a time, and when it may again.
#[derive(Debug)]
pub struct AuthoritySight {
    may_order: bool,
}

impl AuthoritySight {
    /// The sight of a lead that has just claimed.
    pub fn new() -> AuthoritySight {
        AuthoritySight { may_order: true }
    }

    /// Takes in whether orders may be given now.
    pub fn note(&mut self, host: &CellBox, session: &LeadSession, may_order: bool) {
        if std::mem::replace(&mut self.may_order, may_order) == may_order {
            return;
        }
        let token = session.token;
        match may_order {
            true => info!(host.log, "orders resumed"; "token" => %token),
            false => {
                telemetry::count_lead("withheld", withheld_reason(host, token));
                info!(host.log, "orders withheld"; "token" => %token,
                    "reason" => withheld_reason(host, token), Withheld { host, token });
            }
        }
    }
}

fn withheld_reason(host: &CellBox, token: FencingToken) -> &'static str {
    let watch = host.watch.borrow();
    match watch.newest() {
        Some(newest) if newest.token != token => "later_token",
        _ if watch.authority_until().is_some() => "term_over",
        _ => "given_up",
    }
}

/// A lead is over.
pub fn note_end(host: &CellBox, session: &LeadSession, end: LeadEnd) {
    let token = session.token;
    telemetry::count_lead("ended", end.name());
    info!(host.log, "not leading any more"; "token" => %token, "reason" => end.name(),
        "open_jobs" => session.scheduler.borrow().open_jobs(), Withheld { host, token });
}
