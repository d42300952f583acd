//! Measured rows, the comparison with bounds, linear fits and quantiles.

use std::collections::BTreeMap;
use std::path::Path;

use eyre::{Context, Result};
use serde::{Deserialize, Serialize};

/// One measured value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Name of the quantity; bounds refer to it.
    pub name: String,
    /// Measured value.
    pub value: f64,
    /// Unit of the value.
    pub unit: String,
    /// Conditions of the measurement, such as sizes and the number of calls.
    pub note: String,
}

/// Rows of one run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    rows: Vec<Row>,
}

/// Upper bounds by row name.
pub type Bounds = BTreeMap<String, f64>;

impl Report {
    /// Prints a row and adds it to the report.
    pub fn add(&mut self, name: &str, value: f64, unit: &str, note: &str) {
        let row = Row { name: name.into(), value, unit: unit.into(), note: note.into() };
        println!("{}", format_row(&row, None));
        self.rows.push(row);
    }

    /// Adds the slope of a linear fit through points of size and value; the note holds the points
    /// and the base.
    pub fn add_slope(&mut self, name: &str, points: &[(f64, f64)], unit: &str) {
        let (base, slope) = linear_fit(points);
        let sizes: Vec<String> = points.iter().map(|(x, y)| format!("{x}: {y:.1}")).collect();
        let note = format!("at {}; base {base:.1}", sizes.join(", "));
        self.add(name, slope, unit, &note);
    }

    /// Prints the rows that have a bound and reports whether no row exceeds its bound.
    ///
    /// A bound without a row is ignored.
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

    /// Writes the rows to a file as JSON.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be written.
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

/// Returns base and slope of the least-squares line through the points; the slope is 0 if all x are
/// equal.
pub fn linear_fit(points: &[(f64, f64)]) -> (f64, f64) {
    let n = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / n;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / n;
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
    (mean_y - slope * mean_x, slope)
}

/// Sorts the values and returns the quantile at `fraction`, such as 0.95, by nearest rank; NaN if
/// there are no values.
pub fn quantile(values: &mut [f64], fraction: f64) -> f64 {
    if values.is_empty() {
        return f64::NAN;
    }
    values.sort_by(f64::total_cmp);
    let rank = ((values.len() as f64 * fraction).ceil() as usize).clamp(1, values.len());
    values[rank - 1]
}
