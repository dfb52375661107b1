//! The comparison of failure detectors as a table and as plots.
use std::fmt::Write as _;
use std::path::{Path, PathBuf};

use super::{Detector, Row};
use crate::plot::{draw, Curve};
use crate::scenario::LabError;

/// Formats the rows as a Markdown table.
pub fn table(rows: &[Row]) -> String {
    let mut out = String::from(
        "| nodes | detector | crashes | first suspicion, p99 s | removed by all, p99 s | unseen | bytes/s | datagrams/s | \
         removed awake | removed asleep | node-hours |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for row in rows {
        let _ = writeln!(
            out,
            "| {} | {} | {} | {:.2} | {:.2} | {} | {:.0} | {:.1} | {} | {} | {:.0} |",
            row.nodes,
            row.detector.name(),
            row.crashes.crashes,
            row.crashes.first_suspicion_p99,
            row.crashes.removed_by_all_p99,
            row.crashes.undetected,
            row.traffic.bytes_per_second,
            row.traffic.datagrams_per_second,
            row.removals.outside_pauses,
            row.removals.in_pauses,
            row.removals.node_hours
        );
    }
    out
}

/// A value that is plotted over the fleet size.
struct Figure {
    file_stem: &'static str,
    title: &'static str,
    value: fn(&Row) -> f64,
}

const FIGURES: [Figure; 3] = [
    Figure {
        file_stem: "members-detection",
        title: "seconds until all have removed a crashed node, p99",
        value: |row| row.crashes.removed_by_all_p99,
    },
    Figure {
        file_stem: "members-bytes",
        title: "bytes a node and second",
        value: |row| row.traffic.bytes_per_second,
    },
    Figure {
        file_stem: "members-removals",
        title: "false removals in 1,000 node-hours",
        value: |row| row.removals.outside_pauses as f64 / row.removals.node_hours * 1000.0,
    },
];

impl Figure {
    fn curve(&self, rows: &[Row], detector: Detector) -> Curve {
        Curve {
            name: detector.name().to_owned(),
            points: rows
                .iter()
                .filter(|row| row.detector == detector)
                .map(|row| ((row.nodes as f64).log2(), (self.value)(row), 0.0))
                .collect(),
        }
    }

    fn draw(&self, folder: &Path, rows: &[Row]) -> Result<PathBuf, LabError> {
        let file = folder.join(format!("{}.svg", self.file_stem));
        let curves =
            [Detector::Quartzhub, Detector::Plain].map(|detector| self.curve(rows, detector));
        draw(
            &file,
            self.title,
            "nodes, as a power of two",
            self.title,
            &curves,
        )?;
        Ok(file)
    }
}

/// Plots each figure over the fleet size; returns the files written.
pub fn plot(folder: &Path, rows: &[Row]) -> Result<Vec<PathBuf>, LabError> {
    FIGURES
        .iter()
        .map(|figure| figure.draw(folder, rows))
        .collect()
}
