//! Latency histograms and their JSON form.

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use hdrhistogram::Histogram;
use hdrhistogram::serialization::{Deserializer, Serializer, V2Serializer};
use serde::{Deserialize, Serialize};

/// A histogram of times in microseconds, with three significant digits.
#[derive(Clone, Debug)]
pub struct LatencyHistogram(Histogram<u64>);

impl Default for LatencyHistogram {
    fn default() -> LatencyHistogram {
        // Three significant digits are within the library's range. The histogram resizes itself.
        LatencyHistogram(Histogram::new(3).expect("three significant digits"))
    }
}

impl LatencyHistogram {
    /// Adds a time, in microseconds.
    pub fn record(&mut self, micros: u64) {
        // Recording into a histogram that resizes itself does not fail.
        let _ = self.0.record(micros);
    }

    /// Number of recorded times.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// The time, in microseconds, at this quantile (0 to 1) of the recorded times; 0 if there are none.
    pub fn at(&self, quantile: f64) -> u64 {
        self.0.value_at_quantile(quantile)
    }

    /// The mean, in microseconds.
    pub fn mean(&self) -> f64 {
        self.0.mean()
    }

    /// The longest time, in microseconds.
    pub fn max(&self) -> u64 {
        self.0.max()
    }
}

/// The JSON form: HdrHistogram's V2 encoding in base64, which is read back, and common quantiles, which are
/// only for readers of the file.
#[derive(Serialize, Deserialize)]
struct LatencyHistogramText {
    count: u64,
    p50_us: u64,
    p90_us: u64,
    p99_us: u64,
    max_us: u64,
    hdr: String,
}

impl Serialize for LatencyHistogram {
    fn serialize<S: serde::Serializer>(&self, out: S) -> Result<S::Ok, S::Error> {
        let mut bytes = Vec::new();
        V2Serializer::new().serialize(&self.0, &mut bytes).map_err(serde::ser::Error::custom)?;
        LatencyHistogramText {
            count: self.count(),
            p50_us: self.at(0.5),
            p90_us: self.at(0.9),
            p99_us: self.at(0.99),
            max_us: self.max(),
            hdr: BASE64_STANDARD.encode(bytes),
        }
        .serialize(out)
    }
}

impl<'de> Deserialize<'de> for LatencyHistogram {
    fn deserialize<D: serde::Deserializer<'de>>(from: D) -> Result<LatencyHistogram, D::Error> {
        let text = LatencyHistogramText::deserialize(from)?;
        let bytes = BASE64_STANDARD.decode(text.hdr).map_err(serde::de::Error::custom)?;
        let histogram = Deserializer::new().deserialize(&mut bytes.as_slice());
        let mut histogram: Histogram<u64> = histogram.map_err(serde::de::Error::custom)?;
        histogram.auto(true);
        Ok(LatencyHistogram(histogram))
    }
}
