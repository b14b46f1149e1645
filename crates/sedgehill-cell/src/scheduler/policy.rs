//! Switches for the scheduler's policies.

use std::str::FromStr;

use quick_error::quick_error;

/// The order of organisations when there is not enough room for all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SharingMode {
    /// Jobs are ranked regardless of their organisation, which only its limit bounds.
    LimitsOnly,
    /// Jobs beyond an organisation's share, its weight in jobs a second, rank after all jobs within
    /// the shares.
    DueFirst,
}

/// The room under an organisation's limit that lower-ranked steps may use while a step waits for
/// it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitOrder {
    /// Whatever fits.
    Backfill,
    /// What no waiting step of higher rank needs.
    InOrder,
    /// What no waiting step of higher rank needs, and what is given back before that step is
    /// expected to get its room.
    Timed,
}

/// The order in which steps ask the advice service while few boxes can ask.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuestionOrder {
    /// By the rank of the steps.
    Rank,
    /// By the cost of the questions and the time that the steps have left.
    Deadline,
}

quick_error! {
    /// An error in the name of a question order.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum QuestionOrderError {
        /// There is no question order of this name.
        Unknown(found: String) {
            display("expected `rank` or `deadline`, found `{found}`")
        }
    }
}

impl FromStr for QuestionOrder {
    type Err = QuestionOrderError;

    fn from_str(text: &str) -> Result<QuestionOrder, QuestionOrderError> {
        match text {
            "rank" => Ok(QuestionOrder::Rank),
            "deadline" => Ok(QuestionOrder::Deadline),
            _ => Err(QuestionOrderError::Unknown(text.to_owned())),
        }
    }
}

quick_error! {
    /// An error in the name of a limit order.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum LimitOrderError {
        /// There is no limit order of this name.
        Unknown(found: String) {
            display("expected `backfill`, `in-order` or `timed`, found `{found}`")
        }
    }
}

impl FromStr for LimitOrder {
    type Err = LimitOrderError;

    fn from_str(text: &str) -> Result<LimitOrder, LimitOrderError> {
        match text {
            "backfill" => Ok(LimitOrder::Backfill),
            "in-order" => Ok(LimitOrder::InOrder),
            "timed" => Ok(LimitOrder::Timed),
            _ => Err(LimitOrderError::Unknown(text.to_owned())),
        }
    }
}

quick_error! {
    /// An error in the name of a sharing mode.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SharingError {
        /// There is no sharing mode of this name.
        Unknown(found: String) {
            display("expected `limits-only` or `due-first`, found `{found}`")
        }
    }
}

impl FromStr for SharingMode {
    type Err = SharingError;

    fn from_str(text: &str) -> Result<SharingMode, SharingError> {
        match text {
            "limits-only" => Ok(SharingMode::LimitsOnly),
            "due-first" => Ok(SharingMode::DueFirst),
            _ => Err(SharingError::Unknown(text.to_owned())),
        }
    }
}

/// Policies that can be switched off, to measure what each contributes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CellPolicy {
    /// Questions to the advice service also name workers without room, while that costs little
    /// more.
    pub fill_questions: bool,
    /// Less urgent work that saves its state is stopped to make room for urgent work.
    pub displacement: bool,
    /// Jobs that can start much later rank after late ones that still have value.
    pub patience: bool,
    /// Workers are chosen by their observed speed.
    pub pace: bool,
    /// Workers with repeated failed or overdue runs get no work for a time.
    pub shunning: bool,
    /// Runs that take far too long on an untrusted worker are moved.
    pub stragglers: bool,
    /// Some boxes are kept free of long questions.
    pub short_only: bool,
    /// Holds wait for less time while calls to workers are often lost.
    pub short_accounts: bool,
    /// The order of organisations when there is not enough room for all.
    pub sharing: SharingMode,
    /// The room under a limit that lower-ranked steps may use.
    pub limit_order: LimitOrder,
    /// Jobs of organisations with a limit are refused if they would surely end too late.
    pub admission: bool,
    /// Urgent work stops saved work of its own organisation to make room under the limit.
    pub limit_room: bool,
    /// Run times are forecast by worker, and gangs get workers of similar speed.
    pub worker_speeds: bool,
    /// The order in which steps ask the advice service.
    pub question_order: QuestionOrder,
}

impl Default for CellPolicy {
    fn default() -> CellPolicy {
        CellPolicy {
            fill_questions: true,
            displacement: true,
            patience: true,
            pace: true,
            shunning: true,
            stragglers: true,
            short_only: true,
            short_accounts: true,
            sharing: SharingMode::DueFirst,
            limit_order: LimitOrder::InOrder,
            admission: true,
            limit_room: true,
            worker_speeds: true,
            question_order: QuestionOrder::Rank,
        }
    }
}
