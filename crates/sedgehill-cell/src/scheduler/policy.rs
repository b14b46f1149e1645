//! Which mechanisms of policy are at work.

use std::str::FromStr;

use quick_error::quick_error;

/// Who goes first when there is not room for all organisations.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SharingMode {
    /// Jobs are ranked whosever they are; limits alone bound an organisation.
    LimitsOnly,
    /// What an organisation sends beyond its weight in jobs a second goes after all that is due.
    DueFirst,
}

/// What an organisation's limit leaves to work that is ranked after a step which waits for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitOrder {
    /// Whatever fits.
    Backfill,
    /// What no step that waits needs.
    InOrder,
}

quick_error! {
    /// Why a text is no order under a limit.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum LimitOrderError {
        /// There is no such order.
        Unknown(found: String) {
            display("expected `backfill` or `in-order`, found `{found}`")
        }
    }
}

impl FromStr for LimitOrder {
    type Err = LimitOrderError;

    fn from_str(text: &str) -> Result<LimitOrder, LimitOrderError> {
        match text {
            "backfill" => Ok(LimitOrder::Backfill),
            "in-order" => Ok(LimitOrder::InOrder),
            _ => Err(LimitOrderError::Unknown(text.to_owned())),
        }
    }
}

quick_error! {
    /// Why a text is no way of sharing.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SharingError {
        /// There is no such way.
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

/// Which mechanisms of policy are at work. Each can be switched off, to see what it is worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CellPolicy {
    /// Questions to the advice service also name workers without room, while that costs little more.
    pub fill_questions: bool,
    /// Less urgent work that saves its state makes room for urgent work.
    pub displacement: bool,
    /// Jobs that have much time leave room to late ones that still earn.
    pub patience: bool,
    /// Workers are chosen by how fast they were seen to be.
    pub pace: bool,
    /// Workers that fail or crawl get no work for a time.
    pub shunning: bool,
    /// Runs that hardly get on are moved.
    pub stragglers: bool,
    /// Some boxes are kept free of long questions.
    pub short_only: bool,
    /// Accounts wait less while calls to workers get lost.
    pub short_accounts: bool,
    /// Who goes first when there is not room for all organisations.
    pub sharing: SharingMode,
    /// What a limit leaves to work that is ranked later.
    pub limit_order: LimitOrder,
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
        }
    }
}
