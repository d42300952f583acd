//! Load and measurement of fleets of real processes, compared with bounds.

fn main() {}
