//! How a request can end.

use std::time::Duration;

use hyper::Response;
use hyper::body::Bytes;
use sedgehill_core::dispatch::DispatchChoice;
use sedgehill_core::ids::EndpointId;

/// How a request ended, as its caller is told.
#[derive(Debug)]
pub enum RequestOutcome {
    /// An endpoint answered, and this is its whole answer.
    Answered(Box<Response<Bytes>>),
    /// The request surely did not run.
    NotRun(NotRunReason),
    /// The request may have run.
    Unknown(UnknownReason),
}

impl RequestOutcome {
    /// The word for it in headers, logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            RequestOutcome::Answered(_) => "answered",
            RequestOutcome::NotRun(_) => "not-run",
            RequestOutcome::Unknown(_) => "unknown",
        }
    }

    /// The word for the reason.
    pub fn reason(&self) -> &'static str {
        match self {
            RequestOutcome::Answered(_) => "",
            RequestOutcome::NotRun(reason) => reason.name(),
            RequestOutcome::Unknown(reason) => reason.name(),
        }
    }
}

macro_rules! reasons {
    ($(#[$doc:meta])* $name:ident { $($(#[$variant_doc:meta])* $variant:ident = $word:literal, $status:literal;)* }) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum $name {
            $($(#[$variant_doc])* $variant,)*
        }

        impl $name {
            /// The word for it in headers, logs and metrics.
            pub fn name(self) -> &'static str {
                match self {
                    $($name::$variant => $word,)*
                }
            }

            /// The HTTP status that goes with it.
            pub fn status(self) -> u16 {
                match self {
                    $($name::$variant => $status,)*
                }
            }
        }
    };
}

reasons! {
    /// Why a request did not run.
    NotRunReason {
        /// The path does not name an organisation, a template and a kind.
        BadPath = "bad-path", 404;
        /// There is no such service or kind.
        NoSuchService = "no-such-service", 404;
        /// The organisation has no parameters for the service.
        NoParameters = "no-parameters", 403;
        /// A header is not what it should be.
        BadHeader = "bad-header", 400;
        /// The body is longer than is allowed.
        BodyTooLarge = "body-too-large", 413;
        /// The body did not arrive whole in time.
        BodyIncomplete = "body-incomplete", 408;
        /// The kind is once-only and no key came with the request.
        KeyMissing = "key-missing", 400;
        /// The key is older than the claim window, or from the future.
        KeyOutsideWindow = "key-outside-window", 409;
        /// The claim could not be recorded, since the log does not answer.
        LogUnavailable = "log-unavailable", 503;
        /// The box could not read what is in force now, and knows no such service or parameters.
        ViewNotCurrent = "view-unproven", 503;
        /// The box does not take requests.
        NotReady = "not-ready", 503;
        /// The organisation sends more than its rate.
        RateLimit = "rate-limit", 429;
        /// The organisation has as many requests waiting as it may.
        QueueLimit = "queue-limit", 429;
        /// The box has as many requests waiting as it can hold.
        QueueFull = "queue-full", 503;
        /// It would have waited, or did wait, until its deadline.
        Deadline = "deadline", 503;
        /// No endpoint could be reached, or all refused.
        EndpointsRefused = "endpoints-refused", 503;
    }
}

reasons! {
    /// Why it is not known whether a request ran.
    UnknownReason {
        /// The endpoint closed the connection after the request was sent.
        ConnectionLost = "connection-lost", 502;
        /// The answer was cut short.
        AnswerCut = "answer-cut", 502;
        /// The answer is longer than a box passes on.
        AnswerTooLong = "answer-too-long", 502;
        /// The endpoint did not answer in time.
        TimedOut = "timed-out", 504;
        /// Another request with the same key was sent before, and its answer is not kept.
        KeyClaimed = "key-claimed", 409;
        /// The box ended the connection, and has read nothing of the request.
        ConnectionEnded = "connection-ended", 408;
        /// The request was not begun here, and whether it ran elsewhere under its key cannot be told.
        KeyUnread = "key-unread", 504;
    }
}

impl NotRunReason {
    /// After how many seconds the caller may come back, where that helps.
    pub fn retry_after(self) -> Option<u32> {
        const SOON: u32 = 1;
        const LATER: u32 = 5;
        match self {
            NotRunReason::RateLimit
            | NotRunReason::QueueLimit
            | NotRunReason::QueueFull
            | NotRunReason::Deadline
            | NotRunReason::EndpointsRefused => Some(SOON),
            NotRunReason::LogUnavailable
            | NotRunReason::ViewNotCurrent
            | NotRunReason::NotReady => Some(LATER),
            _ => None,
        }
    }
}

/// What is noted of a request on its way.
#[derive(Debug, Default)]
pub struct RequestRecord {
    /// The endpoint of the last attempt.
    pub endpoint: Option<EndpointId>,
    /// Endpoints with room when it was chosen.
    pub candidates: usize,
    /// Attempts so far.
    pub attempts: u32,
    /// From arrival until the last endpoint was chosen.
    pub wait: Duration,
}

impl RequestRecord {
    /// Notes one more attempt.
    pub fn record_attempt(&mut self, choice: &DispatchChoice, wait: Duration) {
        self.endpoint = Some(choice.endpoint.clone());
        self.candidates = choice.candidates;
        self.attempts += 1;
        self.wait = wait;
    }
}
