//! Logging to standard error.

use logforth::append::Stderr;
use logforth::filter::env_filter::EnvFilterBuilder;
use logforth::layout::{JsonLayout, TextLayout};

/// Starts logging in `format`, which is `json` or `text`; other values mean `text`.
pub fn start_logging(format: &str) {
    let filter = EnvFilterBuilder::from_default_env_or("info").build();
    let builder = logforth::starter_log::builder();
    let builder = match format {
        "json" => builder.dispatch(|d| {
            d.filter(filter).append(Stderr::default().with_layout(JsonLayout::default()))
        }),
        _ => builder.dispatch(|d| {
            d.filter(filter).append(Stderr::default().with_layout(TextLayout::default().no_color()))
        }),
    };
    builder.apply();
}
