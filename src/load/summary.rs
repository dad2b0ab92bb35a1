//! What a list of requests offers as load.

use std::collections::BTreeMap;
use std::fmt;

/// A request that some source recorded.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    /// Unix time in milliseconds.
    pub at_ms: i64,
    pub method: String,
    /// The path, without a query.
    pub path: String,
    pub status: u16,
    /// Bytes of the request's body; 0 where the source does not tell.
    pub sent: u64,
    /// Bytes of the answer's body.
    pub received: u64,
    /// How long the answer took, where the source tells.
    pub took_ms: Option<f64>,
}

#[derive(Clone, Debug, Default, PartialEq)]
struct Group {
    requests: usize,
    sent: u64,
    received: u64,
    failed: usize,
    took: Vec<f64>,
}

/// The load: its rate, its peaks, and its parts by method and first part of the path.
#[derive(Clone, Debug, PartialEq)]
pub struct Summary {
    requests: usize,
    /// From the first request's second to the last's, both counted.
    seconds: i64,
    busiest_second: usize,
    /// The variance of a second's requests over their mean: 1 is what chance alone makes.
    dispersion: f64,
    pieces: usize,
    repeated: usize,
    groups: BTreeMap<(String, String), Group>,
}

impl Summary {
    /// None: nothing was offered.
    pub fn of(offers: Vec<Offer>) -> Option<Summary> {
        let second = |o: &Offer| o.at_ms.div_euclid(1_000);
        let (first, last) = (offers.iter().map(second).min()?, offers.iter().map(second).max()?);
        let seconds = last - first + 1;
        let mut per_second: BTreeMap<i64, usize> = BTreeMap::new();
        let mut paths: BTreeMap<&str, usize> = BTreeMap::new();
        let mut groups: BTreeMap<(String, String), Group> = BTreeMap::new();
        for offer in &offers {
            *per_second.entry(second(offer)).or_default() += 1;
            *paths.entry(&offer.path).or_default() += 1;
            let part = offer.path.trim_start_matches('/').split('/').next().unwrap_or_default();
            let group = groups.entry((offer.method.clone(), format!("/{part}"))).or_default();
            group.requests += 1;
            group.sent += offer.sent;
            group.received += offer.received;
            group.failed += usize::from(offer.status >= 400 || offer.status == 0);
            group.took.extend(offer.took_ms);
        }
        for group in groups.values_mut() {
            group.took.sort_by(f64::total_cmp);
        }
        let mean = offers.len() as f64 / seconds as f64;
        let squares: f64 = per_second.values().map(|n| (*n as f64).powi(2)).sum();
        Some(Summary {
            requests: offers.len(),
            seconds,
            busiest_second: per_second.values().copied().max().unwrap_or(0),
            dispersion: (squares / seconds as f64 - mean * mean) / mean,
            pieces: paths.len(),
            repeated: paths.values().filter(|n| **n > 1).map(|n| n - 1).sum(),
            groups,
        })
    }
}

/// The value below which this part of the sorted values lies.
fn quantile(sorted: &[f64], part: f64) -> Option<f64> {
    let rank = (sorted.len() as f64 * part).ceil() as usize;
    sorted.get(rank.saturating_sub(1)).copied()
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rate = self.requests as f64 / self.seconds as f64;
        writeln!(f, "requests {}  seconds {}  rate {rate:.2}/s", self.requests, self.seconds)?;
        writeln!(f, "busiest second {}  dispersion {:.2}", self.busiest_second, self.dispersion)?;
        writeln!(f, "paths {}  requests for a path seen before {}", self.pieces, self.repeated)?;
        writeln!(
            f,
            "{:<8} {:<24} {:>8} {:>8} {:>10} {:>10} {:>8} {:>8} {:>8}",
            "method", "path", "requests", "share%", "sent B", "received B", "failed", "p50 ms", "p99 ms"
        )?;
        for ((method, path), group) in &self.groups {
            let share = 100.0 * group.requests as f64 / self.requests as f64;
            let each = |bytes: u64| bytes / group.requests as u64;
            let time = |part| quantile(&group.took, part).map_or("-".to_string(), |t| format!("{t:.1}"));
            writeln!(
                f,
                "{method:<8} {path:<24} {:>8} {share:>8.1} {:>10} {:>10} {:>8} {:>8} {:>8}",
                group.requests,
                each(group.sent),
                each(group.received),
                group.failed,
                time(0.5),
                time(0.99)
            )?;
        }
        Ok(())
    }
}
