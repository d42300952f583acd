//! Types whose lifetime is one request.

mod api_key;
mod attempt_history;
pub mod claim;
mod class;
mod dispatch;
pub mod fair_queue;
mod final_status;
mod hedge;
mod model_call;
mod recent_maximum;
mod retry_budget;
pub mod routing;
mod stop_admission;
mod token_pace;
mod urgent_demand;

pub use api_key::{extract_api_key, is_credential_header, strip_query_keys};
pub use attempt_history::{AttemptHistory, AttemptOutcome, RetryDecision};
pub use class::RequestClass;
pub use dispatch::{
    DispatchCandidate, DispatchDecision, DispatchSettings, RequestTiming, dispatch,
};
pub use final_status::is_final_status;
pub use hedge::{HedgeSettings, HedgeTimer};
pub use model_call::{ModelCall, estimate_prompt_tokens};
pub use recent_maximum::RecentMaximum;
pub use retry_budget::{RetryBudget, RetryBudgetSettings};
pub use stop_admission::{RequestWork, StopAdmission, StopAdmissionSettings};
pub use token_pace::TokenPace;
pub use urgent_demand::{Urgency, UrgencyClass, UrgentDemand};
