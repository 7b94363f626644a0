use std::net::SocketAddr;
use std::time::Duration;

use super::Error;
use crate::http::fetch;

/// Time within which an entry must answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// An entry's metrics (`/metrics`) at one moment, in the Prometheus text format.
#[derive(Debug, Clone)]
pub struct MetricsSnapshot {
    text: String,
}

impl MetricsSnapshot {
    /// Fetches the metrics from the control address of an entry.
    ///
    /// # Errors
    ///
    /// The entry does not answer within 5 s.
    pub async fn fetch(control_address: SocketAddr) -> Result<Self, Error> {
        let answer = fetch(control_address, "GET", "/metrics", "", ANSWER_TIMEOUT).await?;
        Ok(Self { text: String::from_utf8_lossy(&answer.body).into_owned() })
    }

    /// Size of the metrics text in bytes.
    pub fn size_bytes(&self) -> usize {
        self.text.len()
    }

    /// Sum of the samples with this metric name whose labels contain `label`, such as
    /// `listener="control"`.
    pub fn sum(&self, name: &str, label: &str) -> f64 {
        let samples = self.text.lines().filter_map(|line| {
            let rest = line.strip_prefix(name)?;
            let is_whole_name = rest.starts_with('{') || rest.starts_with(' ');
            let (labels, value) = rest.rsplit_once(' ')?;
            (is_whole_name && labels.contains(label)).then(|| value.parse::<f64>().ok())?
        });
        samples.sum()
    }

    /// Bytes that the entry received and sent on control connections, as a listener and as a client
    /// of its peers.
    pub fn control_bytes(&self) -> f64 {
        let listener = "listener=\"control\"";
        let client = "client=\"peers\"";
        self.sum("jackdawpin_received_bytes_total", listener)
            + self.sum("jackdawpin_sent_bytes_total", listener)
            + self.sum("jackdawpin_client_received_bytes_total", client)
            + self.sum("jackdawpin_client_sent_bytes_total", client)
    }

    /// Number of reads from the platform that were answered.
    pub fn platform_reads(&self) -> f64 {
        self.sum("jackdawpin_platform_reads_total", "")
    }

    /// Bytes of the values in the answers to these reads, without the base64 encoding.
    pub fn platform_value_bytes(&self) -> f64 {
        self.sum("jackdawpin_platform_value_bytes_total", "")
    }
}
