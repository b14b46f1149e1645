//! Logs when a box takes over the lead, when it may not give orders for a time, and when its lead
//! ends, with the age of the inputs. Nothing here decides anything.

use sedgehill_cell::authority::{LeadLiveness, LeadRecord};
use sedgehill_cell::ids::FencingToken;
use sedgehill_core::units::{Moment, TimeSpan};
use slog::{KV, Record, Serializer, info};

use super::lead::LeadSession;
use super::state::CellBox;
use crate::{clock, telemetry};

/// The reason for a claim of the lead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ClaimReason {
    /// There was no lead before.
    First,
    /// The box held the claim already, but its work as the lead had ended.
    Again,
    /// The lead resigned.
    Resigned,
    /// The lead was an earlier process of this box.
    OwnRestart,
    /// Nothing listens at the lead's address.
    Gone,
    /// The lead is silent, although there is a link to it and the store answered it.
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

/// The reason for the end of a lead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeadEndReason {
    /// The box is stopping.
    Stopping,
    /// The box read a later claim.
    LaterToken,
    /// The store refused progress, because a later lead has fenced.
    FencedByStore,
    /// A worker has seen a later token.
    FencedByWorker,
    /// A much stronger box is available.
    Yielding,
    /// The lead could not fence earlier leads and catch up in time.
    NotFenced,
    /// A task of the lead returned by itself, which should not happen.
    Halted,
}

impl LeadEndReason {
    fn name(self) -> &'static str {
        match self {
            LeadEndReason::Stopping => "stopping",
            LeadEndReason::LaterToken => "later_token",
            LeadEndReason::FencedByStore => "fenced_by_store",
            LeadEndReason::FencedByWorker => "fenced_by_worker",
            LeadEndReason::Yielding => "yielding",
            LeadEndReason::NotFenced => "not_fenced",
            LeadEndReason::Halted => "halted",
        }
    }
}

/// The knowledge that a box had of the previous lead when it claimed the lead.
#[derive(Debug)]
pub struct ClaimContext {
    predecessor: Option<LeadRecord>,
    liveness: LeadLiveness,
    reason: ClaimReason,
    claimed_at: Moment,
    gaps_before: u64,
}

impl ClaimContext {
    /// Captures what this box knows now.
    pub fn of(host: &CellBox) -> ClaimContext {
        let watch = host.watch.borrow();
        let claimed_at = clock::now();
        let (predecessor, liveness) = (watch.newest().cloned(), watch.liveness(claimed_at));
        let reason = match &predecessor {
            None => ClaimReason::First,
            Some(_) if watch.is_holder() => ClaimReason::Again,
            Some(predecessor) if predecessor.resigned => ClaimReason::Resigned,
            Some(predecessor) if predecessor.holder == host.settings.name => {
                ClaimReason::OwnRestart
            }
            Some(_) if liveness.gone => ClaimReason::Gone,
            Some(_) if liveness.reachable => ClaimReason::Silent,
            Some(_) => ClaimReason::Unreachable,
        };
        ClaimContext { predecessor, liveness, reason, claimed_at, gaps_before: gaps(host) }
    }

    /// Returns the token of the previous lead; none if there was none.
    pub fn predecessor_token(&self) -> Option<FencingToken> {
        self.predecessor.as_ref().map(|predecessor| predecessor.token)
    }

    /// Counts the claim in the metrics.
    pub fn count(&self) {
        telemetry::count_lead("begun", self.reason.name());
    }
}

impl KV for ClaimContext {
    fn serialize(&self, _: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        serializer.emit_str("reason", self.reason.name())?;
        if let Some(predecessor) = &self.predecessor {
            serializer.emit_arguments("follows_token", &format_args!("{}", predecessor.token))?;
            serializer.emit_str("follows_holder", &predecessor.holder.0)?;
            // Written as a string: JSON readers often lose precision in numbers of 64 bits.
            serializer.emit_arguments("follows_life", &format_args!("{}", predecessor.life))?;
            serializer.emit_bool("follows_resigned", predecessor.resigned)?;
            serializer.emit_bool("reachable", self.liveness.reachable)?;
            serializer.emit_bool("gone", self.liveness.gone)?;
        }
        serializer.emit_u64("sign_age_ms", self.claimed_at.since(self.liveness.last_heard).0)
    }
}

/// Returns how often the store had already dropped the records that this box was to read next.
fn gaps(host: &CellBox) -> u64 {
    host.jobs_view.gaps.get() + host.progress_view.gaps.get()
}

/// Logs the state of a lead that has fenced and caught up, before the orders of earlier leads are
/// settled. `fence_offset` is the end of the progress topic when the store began to refuse earlier
/// leads.
pub fn log_take_over(
    host: &CellBox,
    session: &LeadSession,
    claim_context: &ClaimContext,
    fence_offset: u64,
) {
    let now = clock::now();
    let take_over = session.scheduler.borrow().take_over_status();
    let replica = host.replica.borrow();
    let roster_source = replica.roster_source();
    info!(host.log, "taking over"; "token" => %session.token, claim_context,
        "claimed_ms_ago" => now.since(claim_context.claimed_at).0,
        "waits_for_term" => take_over.waits_for_term,
        "settled_within_ms" => take_over.settled_by.since(now).0,
        "jobs" => take_over.jobs, "earlier_jobs" => take_over.earlier_jobs,
        "roster" => replica.roster().worker_count(), "roster_mark" => %replica.roster().digest(),
        "roster_from" => roster_source.and_then(|source| source.offset),
        "roster_age_ms" => roster_source.map(|source| now.since(source.read_at).0),
        "progress_fence" => fence_offset,
        "progress_read" => host.progress_view.offset.get(),
        "progress_age_ms" => age_ms(host.progress_view.age()),
        "jobs_read" => host.jobs_view.offset.get(),
        "jobs_age_ms" => age_ms(host.jobs_view.age()),
        "gaps" => gaps(host) - claim_context.gaps_before);
}

fn age_ms(age: Option<TimeSpan>) -> Option<u64> {
    age.map(|age| age.0)
}

/// Log fields that explain why a lead may not give orders.
struct AuthorityLoss<'a> {
    host: &'a CellBox,
    token: FencingToken,
}

impl KV for AuthorityLoss<'_> {
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

/// Logs when a lead loses its authority to give orders, and when it regains it.
#[derive(Debug)]
pub struct AuthorityMonitor {
    may_order: bool,
}

impl AuthorityMonitor {
    /// Creates the monitor of a lead that has just claimed.
    pub fn new() -> AuthorityMonitor {
        AuthorityMonitor { may_order: true }
    }

    /// Records whether orders may be given now, and logs a change.
    pub fn update(&mut self, host: &CellBox, session: &LeadSession, may_order: bool) {
        if std::mem::replace(&mut self.may_order, may_order) == may_order {
            return;
        }
        let token = session.token;
        match may_order {
            true => info!(host.log, "orders resumed"; "token" => %token),
            false => {
                telemetry::count_lead("withheld", authority_loss_reason(host, token));
                info!(host.log, "orders withheld"; "token" => %token,
                    "reason" => authority_loss_reason(host, token), AuthorityLoss { host, token });
            }
        }
    }
}

fn authority_loss_reason(host: &CellBox, token: FencingToken) -> &'static str {
    let watch = host.watch.borrow();
    match watch.newest() {
        Some(newest) if newest.token != token => "later_token",
        _ if watch.authority_until().is_some() => "term_over",
        _ => "given_up",
    }
}

/// Logs the end of a lead.
pub fn log_end(host: &CellBox, session: &LeadSession, end: LeadEndReason) {
    let token = session.token;
    telemetry::count_lead("ended", end.name());
    info!(host.log, "not leading any more"; "token" => %token, "reason" => end.name(),
        "open_jobs" => session.scheduler.borrow().open_jobs(), AuthorityLoss { host, token });
}
