//! Means over seeds with their confidence intervals.

/// Mean over seeds, with its 95% confidence interval and the extremes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Mean {
    /// The mean itself.
    pub value: f64,
    /// Half the width of its 95% confidence interval.
    pub half_width: f64,
    /// The lowest value.
    pub min: f64,
    /// The greatest value.
    pub max: f64,
}

/// Quantiles of Student's t for a two-sided 95% interval, by degrees of freedom from 1 on.
const STUDENT_T: [f64; 30] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160,
    2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056,
    2.052, 2.048, 2.045, 2.042,
];
/// Quantile of the normal distribution, used for more degrees of freedom than the table has.
const NORMAL_QUANTILE: f64 = 1.96;

/// Returns the mean of the values. With a single value, the interval has no width.
pub fn mean(values: &[f64]) -> Mean {
    let count = values.len().max(1) as f64;
    let value = values.iter().sum::<f64>() / count;
    let degrees = values.len().saturating_sub(1);
    let squares = values.iter().map(|other| (other - value).powi(2));
    let variance = squares.sum::<f64>() / degrees.max(1) as f64;
    let quantile = match degrees {
        0 => 0.0,
        _ => STUDENT_T
            .get(degrees - 1)
            .copied()
            .unwrap_or(NORMAL_QUANTILE),
    };
    Mean {
        value,
        half_width: quantile * (variance / count).sqrt(),
        min: values.iter().copied().fold(f64::INFINITY, f64::min),
        max: values.iter().copied().fold(f64::NEG_INFINITY, f64::max),
    }
}
