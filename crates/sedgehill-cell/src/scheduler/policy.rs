//! Which mechanisms of policy are at work.

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
        }
    }
}
