/// A straight line through points, by least squares.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Slope {
    /// Growth of y for each unit of x.
    pub slope: f64,
    /// y at x = 0.
    pub base: f64,
}

impl Slope {
    /// Fits a line; `None` without two different values of x.
    pub fn fit(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if spread <= 0.0 || !spread.is_finite() {
            return None;
        }
        let common: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let slope = common / spread;
        Some(Self { slope, base: mean_y - slope * mean_x })
    }
}
