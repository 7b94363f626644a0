/// A straight line fitted to points by least squares.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LinearFit {
    /// Increase of y per unit of x.
    pub slope: f64,
    /// Value of y at x = 0.
    pub intercept: f64,
}

impl LinearFit {
    /// Fits a line to points (x, y); `None` unless there are at least two different values of x.
    pub fn fit(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let variation_x: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if variation_x <= 0.0 || !variation_x.is_finite() {
            return None;
        }
        let covariation: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let slope = covariation / variation_x;
        Some(Self { slope, intercept: mean_y - slope * mean_x })
    }
}
