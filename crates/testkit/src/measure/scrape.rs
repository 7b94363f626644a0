use std::net::SocketAddr;
use std::time::Duration;

use super::Error;
use crate::http::fetch;

/// Time for an entry to answer.
const LIMIT: Duration = Duration::from_secs(5);

/// An entry's counters at one time.
#[derive(Debug, Clone)]
pub struct Scrape {
    text: String,
}

impl Scrape {
    /// Asks an entry for its counters.
    ///
    /// # Errors
    ///
    /// The entry does not answer within 5 s.
    pub async fn of(control: SocketAddr) -> Result<Self, Error> {
        let whole = fetch(control, "GET", "/metrics", "", LIMIT).await?;
        Ok(Self { text: String::from_utf8_lossy(&whole.body).into_owned() })
    }

    /// Size of the exposition in bytes.
    pub fn size(&self) -> usize {
        self.text.len()
    }

    /// Sum of the samples with this name, whose labels contain `label`, such as `listener="control"`.
    pub fn sum(&self, name: &str, label: &str) -> f64 {
        let samples = self.text.lines().filter_map(|line| {
            let rest = line.strip_prefix(name)?;
            let is_whole_name = rest.starts_with('{') || rest.starts_with(' ');
            let (labels, value) = rest.rsplit_once(' ')?;
            (is_whole_name && labels.contains(label)).then(|| value.parse::<f64>().ok())?
        });
        samples.sum()
    }

    /// Bytes that the entry received and sent on its control connections, both as listener and as client.
    pub fn control_bytes(&self) -> f64 {
        let listener = "listener=\"control\"";
        let client = "client=\"peers\"";
        self.sum("jackdawpin_received_bytes_total", listener)
            + self.sum("jackdawpin_sent_bytes_total", listener)
            + self.sum("jackdawpin_client_received_bytes_total", client)
            + self.sum("jackdawpin_client_sent_bytes_total", client)
    }

    /// Reads from the platform that were answered.
    pub fn platform_reads(&self) -> f64 {
        self.sum("jackdawpin_platform_reads_total", "")
    }

    /// Bytes of the values that these reads gave, before they were put into base64.
    pub fn platform_bytes(&self) -> f64 {
        self.sum("jackdawpin_platform_value_bytes_total", "")
    }
}
