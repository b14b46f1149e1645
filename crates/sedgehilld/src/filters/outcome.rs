//! The outcomes of a request and their reasons.

use std::time::Duration;

use hyper::Response;
use hyper::body::Bytes;
use sedgehill_core::dispatch::DispatchChoice;
use sedgehill_core::ids::EndpointId;

/// The outcome of a request, as reported to its caller.
#[derive(Debug)]
pub enum RequestOutcome {
    /// An endpoint answered; holds the complete answer.
    Answered(Box<Response<Bytes>>),
    /// The request surely did not run.
    NotRun(NotRunReason),
    /// The request may have run.
    Unknown(UnknownReason),
}

impl RequestOutcome {
    /// Returns the name of the outcome in headers, logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            RequestOutcome::Answered(_) => "answered",
            RequestOutcome::NotRun(_) => "not-run",
            RequestOutcome::Unknown(_) => "unknown",
        }
    }

    /// Returns the name of the reason; empty for an answer.
    pub fn reason(&self) -> &'static str {
        match self {
            RequestOutcome::Answered(_) => "",
            RequestOutcome::NotRun(reason) => reason.name(),
            RequestOutcome::Unknown(reason) => reason.name(),
        }
    }
}

/// Defines an enum of reasons, with the name and the HTTP status of each.
macro_rules! reasons {
    ($(#[$doc:meta])* $name:ident { $($(#[$variant_doc:meta])* $variant:ident = $text:literal, $status:literal;)* }) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum $name {
            $($(#[$variant_doc])* $variant,)*
        }

        impl $name {
            /// Returns the name of the reason in headers, logs and metrics.
            pub fn name(self) -> &'static str {
                match self {
                    $($name::$variant => $text,)*
                }
            }

            /// Returns the HTTP status of the response.
            pub fn status(self) -> u16 {
                match self {
                    $($name::$variant => $status,)*
                }
            }
        }
    };
}

reasons! {
    /// The reason why a request did not run.
    NotRunReason {
        /// The path does not name an organisation, a service and a kind.
        BadPath = "bad-path", 404;
        /// No service or kind has this name.
        NoSuchService = "no-such-service", 404;
        /// The organisation has no parameters for the service.
        NoParameters = "no-parameters", 403;
        /// The idempotency key or the deadline is malformed, or given twice.
        BadHeader = "bad-header", 400;
        /// The body is longer than the settings allow.
        BodyTooLarge = "body-too-large", 413;
        /// The body did not arrive completely in time.
        BodyIncomplete = "body-incomplete", 408;
        /// The box has no memory for the body, or needs that of this caller for others.
        NoMemory = "no-memory", 503;
        /// The kind is once-only and the request has no idempotency key.
        KeyMissing = "key-missing", 400;
        /// The idempotency key is older than the claim window, or lies in the future.
        KeyOutsideWindow = "key-outside-window", 409;
        /// The claim of the key could not be recorded in the log in time.
        LogUnavailable = "log-unavailable", 503;
        /// The box does not know the service or the parameters, and could not read the current configuration.
        ViewNotCurrent = "view-unproven", 503;
        /// The box accepts no requests at present.
        NotReady = "not-ready", 503;
        /// The organisation exceeds its rate.
        RateLimit = "rate-limit", 429;
        /// The organisation has reached its limit of waiting requests.
        QueueLimit = "queue-limit", 429;
        /// The box has reached its limit of waiting requests for the service.
        QueueFull = "queue-full", 503;
        /// The request waited until its deadline, or is expected to.
        Deadline = "deadline", 503;
        /// Endpoints could not be reached or refused the request, and it may not be retried again.
        EndpointsRefused = "endpoints-refused", 503;
    }
}

reasons! {
    /// The reason why it is not known whether a request ran.
    UnknownReason {
        /// The endpoint closed the connection after the request was sent.
        ConnectionLost = "connection-lost", 502;
        /// The connection failed while the box read the answer.
        AnswerCut = "answer-cut", 502;
        /// The answer is longer than the settings allow.
        AnswerTooLong = "answer-too-long", 502;
        /// The endpoint did not answer in time.
        TimedOut = "timed-out", 504;
        /// The idempotency key is claimed by an earlier request, whose answer is not kept.
        KeyClaimed = "key-claimed", 409;
        /// The box closed the idle connection without reading the request.
        ConnectionEnded = "connection-ended", 408;
        /// This box did not run the request, but could not find out whether another box ran it under the same key.
        KeyUnread = "key-unread", 504;
    }
}

impl NotRunReason {
    /// Returns after how many seconds the caller may retry, for reasons that pass.
    pub fn retry_after(self) -> Option<u32> {
        const SHORT_DELAY_SECONDS: u32 = 1;
        const LONG_DELAY_SECONDS: u32 = 5;
        match self {
            NotRunReason::NoMemory
            | NotRunReason::RateLimit
            | NotRunReason::QueueLimit
            | NotRunReason::QueueFull
            | NotRunReason::Deadline
            | NotRunReason::EndpointsRefused => Some(SHORT_DELAY_SECONDS),
            NotRunReason::LogUnavailable
            | NotRunReason::ViewNotCurrent
            | NotRunReason::NotReady => Some(LONG_DELAY_SECONDS),
            _ => None,
        }
    }
}

/// What is recorded about the attempts of a request, for its log line and its trace.
#[derive(Debug, Default)]
pub struct RequestRecord {
    /// Endpoint of the last attempt.
    pub endpoint: Option<EndpointId>,
    /// Number of endpoints with a free slot when that endpoint was chosen.
    pub candidates: usize,
    /// Number of attempts.
    pub attempts: u32,
    /// Time from admission until the last endpoint was chosen.
    pub wait: Duration,
}

impl RequestRecord {
    /// Records an attempt.
    pub fn record_attempt(&mut self, choice: &DispatchChoice, wait: Duration) {
        self.endpoint = Some(choice.endpoint.clone());
        self.candidates = choice.candidates;
        self.attempts += 1;
        self.wait = wait;
    }
}
