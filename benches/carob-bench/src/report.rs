//! Rows of measurements, their bounds, and the fit of a slope.

use std::collections::BTreeMap;
use std::path::Path;

use eyre::{Context, Result};
use serde::{Deserialize, Serialize};

/// One figure.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// What was measured.
    pub name: String,
    /// The figure.
    pub value: f64,
    /// Its unit.
    pub unit: String,
    /// Where the figure comes from: sizes, seed.
    pub note: String,
}

/// The rows of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    rows: Vec<Row>,
}

/// Bounds by row name; a row must not exceed its bound.
pub type Bounds = BTreeMap<String, f64>;

impl Report {
    /// Adds a figure.
    pub fn add(&mut self, name: &str, value: f64, unit: &str, note: &str) {
        let row = Row { name: name.into(), value, unit: unit.into(), note: note.into() };
        println!("{}", format_row(&row, None));
        self.rows.push(row);
    }

    /// Adds the slope and the base of a fit over sizes.
    pub fn add_slope(&mut self, name: &str, points: &[(f64, f64)], unit: &str) {
        let (base, slope) = linear_fit(points);
        let sizes: Vec<String> = points.iter().map(|(x, y)| format!("{x}: {y:.1}")).collect();
        let note = format!("at {}; base {base:.1}", sizes.join(", "));
        self.add(name, slope, unit, &note);
    }

    /// Prints the rows that have a bound, and returns whether all keep it.
    pub fn check_bounds(&self, bounds: &Bounds) -> bool {
        let bounded = self.rows.iter().filter_map(|row| Some((row, *bounds.get(&row.name)?)));
        let mut all_kept = true;
        println!("\nbounds:");
        for (row, bound) in bounded {
            all_kept &= row.value <= bound;
            println!("{}", format_row(row, Some(bound)));
        }
        all_kept
    }

    /// Writes the rows as JSON.
    ///
    /// # Errors
    ///
    /// When the file cannot be written.
    pub fn write(&self, path: &Path) -> Result<()> {
        let text = serde_json::to_string_pretty(&self.rows)?;
        std::fs::write(path, text).wrap_err_with(|| path.display().to_string())
    }
}

fn format_row(row: &Row, bound: Option<f64>) -> String {
    let verdict = match bound {
        Some(bound) if row.value <= bound => format!("  <= {bound}  kept"),
        Some(bound) => format!("  >  {bound}  EXCEEDED"),
        None => format!("  {}", row.note),
    };
    format!("{:<44} {:>14.3} {:<10}{verdict}", row.name, row.value, row.unit)
}

/// Least squares; returns base and slope.
pub fn linear_fit(points: &[(f64, f64)]) -> (f64, f64) {
    let n = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / n;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / n;
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
    (mean_y - slope * mean_x, slope)
}

/// The value at `part` of the sorted list, such as 0.95.
pub fn quantile(values: &mut [f64], fraction: f64) -> f64 {
    if values.is_empty() {
        return f64::NAN;
    }
    values.sort_by(f64::total_cmp);
    let rank = ((values.len() as f64 * fraction).ceil() as usize).clamp(1, values.len());
    values[rank - 1]
}
