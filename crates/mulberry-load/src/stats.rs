//! Statistics for results: linear fits, quantiles, and confidence intervals over seeds.

use serde::Serialize;

/// A linear function, such as a cost that grows with a load.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub(crate) struct Line {
    /// Value at zero.
    pub base: f64,
    /// Increase per unit.
    pub slope: f64,
}

impl Line {
    /// Fits a line to points by least squares. The slope is zero if all points share one x.
    pub fn fit(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
        let sum_xx: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        let sum_xy: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
        let slope = if sum_xx > 0.0 { sum_xy / sum_xx } else { 0.0 };
        Self { base: mean_y - slope * mean_x, slope }
    }

    /// Returns the value at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}

/// Returns the quantile `q`, from 0 to 1, by the nearest rank, or zero if there are no values. Sorts
/// the values.
pub(crate) fn quantile(values: &mut [f64], q: f64) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.sort_by(f64::total_cmp);
    let index = (q * (values.len() - 1) as f64).round() as usize;
    values[index.min(values.len() - 1)]
}

/// A mean with its 95% confidence interval.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub(crate) struct Interval {
    /// Sample mean.
    pub mean: f64,
    /// Half the width of the interval, zero for a single value.
    pub half: f64,
}

/// Two-sided 95% critical values of Student's t distribution for 1 to 10 degrees of freedom.
const STUDENT_T_95: [f64; 10] =
    [12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228];

impl Interval {
    /// Returns the interval of the mean of independent values. More than eleven values use the normal
    /// approximation.
    pub fn from_values(values: &[f64]) -> Self {
        let count = values.len() as f64;
        if values.is_empty() {
            return Self::default();
        }
        let mean = values.iter().sum::<f64>() / count;
        if values.len() < 2 {
            return Self { mean, half: 0.0 };
        }
        let variance = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / (count - 1.0);
        let factor = STUDENT_T_95.get(values.len() - 2).copied().unwrap_or(1.96);
        Self { mean, half: factor * (variance / count).sqrt() }
    }
}
