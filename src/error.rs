//! Error kinds and the response that a caller gets for each.

use std::fmt::{self, Display};
use std::time::Duration;

/// Alias for a `Result` with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Whether the request that failed ran on an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionState {
    /// The request did not run on any upstream and will not.
    NotRun,
    /// The upstream ran the request.
    Ran,
    /// The request may have run.
    Unknown,
}

impl ExecutionState {
    /// Returns the name used in responses.
    pub fn as_str(self) -> &'static str {
        match self {
            ExecutionState::NotRun => "not_run",
            ExecutionState::Ran => "ran",
            ExecutionState::Unknown => "unknown",
        }
    }
}

/// Response fields for an [`ErrorKind`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorResponse {
    /// HTTP status code.
    pub status: u16,
    /// Stable error code.
    pub code: &'static str,
    /// Value of the `type` field that model clients expect.
    pub error_type: &'static str,
    /// Whether the request ran.
    pub execution: ExecutionState,
}

macro_rules! error_kinds {
    ($(
        $(#[$doc:meta])*
        $kind:ident = $status:literal $code:literal $error_type:literal $execution:ident;
    )*) => {
        /// Kinds of errors of requests, records and configuration files.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum ErrorKind {
            $($(#[$doc])* $kind,)*
        }

        impl ErrorKind {
            /// All kinds, in the order of their declaration.
            pub const ALL: &'static [ErrorKind] = &[$(ErrorKind::$kind),*];

            /// Returns the response that a caller gets for this kind.
            pub fn response(self) -> ErrorResponse {
                match self {
                    $(ErrorKind::$kind => ErrorResponse {
                        status: $status,
                        code: $code,
                        error_type: $error_type,
                        execution: ExecutionState::$execution,
                    },)*
                }
            }
        }
    };
}

error_kinds! {
    /// A field of the request is missing or invalid.
    InvalidRequest = 400 "invalid_request" "invalid_request_error" NotRun;
    /// The call may not be repeated and its route requires an idempotency key.
    IdempotencyKeyRequired = 400 "idempotency_key_required" "invalid_request_error" NotRun;
    /// The request carries no API key.
    Unauthenticated = 401 "missing_key" "authentication_error" NotRun;
    /// The API key is unknown or revoked.
    InvalidApiKey = 401 "invalid_key" "authentication_error" NotRun;
    /// The tenant may not use the model or the route.
    Forbidden = 403 "forbidden" "permission_error" NotRun;
    /// No route matches the path.
    UnknownRoute = 404 "unknown_route" "invalid_request_error" NotRun;
    /// No model of that name exists.
    ModelNotFound = 404 "model_not_found" "invalid_request_error" NotRun;
    /// The route does not allow the method.
    MethodNotAllowed = 405 "method_not_allowed" "invalid_request_error" NotRun;
    /// The body of the request did not arrive in time.
    BodyTimeout = 408 "body_timeout" "invalid_request_error" NotRun;
    /// The header section of the request did not arrive in time.
    HeadTimeout = 408 "head_timeout" "invalid_request_error" NotRun;
    /// A request with the same idempotency key is still running.
    InProgress = 409 "in_progress" "conflict_error" Unknown;
    /// A request with the same idempotency key started and its outcome is unknown.
    OutcomeUnknown = 409 "outcome_unknown" "conflict_error" Unknown;
    /// The request with the same idempotency key ran, but its response was too long to keep or
    /// has expired.
    ResponseNotKept = 409 "already_ran" "conflict_error" Ran;
    /// The change is based on a version that is not in force.
    VersionConflict = 409 "version_conflict" "conflict_error" NotRun;
    /// The body is longer than allowed.
    TooLarge = 413 "too_large" "invalid_request_error" NotRun;
    /// The idempotency key was used with another request.
    IdempotencyKeyReused = 422 "idempotency_key_reused" "invalid_request_error" NotRun;
    /// The request was in flight on several upstreams when they crashed.
    Quarantined = 422 "quarantined" "invalid_request_error" NotRun;
    /// The tenant's rate and burst are used up.
    RateExceeded = 429 "rate_exceeded" "rate_limit_error" NotRun;
    /// The header section is longer than allowed.
    HeadersTooLarge = 431 "headers_too_large" "invalid_request_error" NotRun;
    /// An unexpected failure before the request was forwarded.
    Internal = 500 "internal" "server_error" NotRun;
    /// The upstream failed after the request was sent.
    UpstreamFailed = 502 "upstream_failed" "server_error" Unknown;
    /// No upstream can take the request now.
    UpstreamUnavailable = 503 "upstream_unavailable" "server_error" NotRun;
    /// The bodies of other requests take all memory that there is for them.
    Overloaded = 503 "overloaded" "server_error" NotRun;
    /// The model is not loaded yet.
    ModelLoading = 503 "model_loading" "server_error" NotRun;
    /// The version of the upstream that began the stream is not known, or no upstream has it.
    StreamNotResumable = 503 "stream_not_resumable" "server_error" NotRun;
    /// The call needs the platform log, which does not respond.
    LogUnavailable = 503 "log_unavailable" "server_error" NotRun;
    /// The process cannot confirm that its configuration is in force.
    NotReady = 503 "not_ready" "server_error" NotRun;
    /// The process is shutting down.
    Draining = 503 "draining" "server_error" NotRun;
    /// The upstream made no progress in time.
    Timeout = 504 "timeout" "server_error" Unknown;
}

/// Error with its kind, a message and an optional retry delay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    kind: ErrorKind,
    message: String,
    retry_after: Option<Duration>,
}

impl Error {
    /// Creates an error of `kind`.
    ///
    /// ```
    /// use carobglade::{Error, ErrorKind};
    /// let err = Error::new(ErrorKind::ModelNotFound, "model \"x\" does not exist");
    /// assert_eq!(err.kind().response().status, 404);
    /// ```
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Error { kind, message: message.into(), retry_after: None }
    }

    /// Sets the delay after which the caller can retry.
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Returns the kind.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// Returns the message.
    pub fn message(&self) -> &str {
        &self.message
    }

    /// Returns the delay after which the caller can retry; `None` when none is set.
    pub fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }

    /// Returns the retry delay in whole seconds, rounded up, as in `Retry-After`.
    pub fn retry_after_seconds(&self) -> Option<u64> {
        self.retry_after.map(|d| d.as_secs() + u64::from(d.subsec_nanos() > 0))
    }
}

impl Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind.response().code, self.message)
    }
}

impl std::error::Error for Error {}
