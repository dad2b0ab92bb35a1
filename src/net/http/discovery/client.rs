//! One request for the endpoint list.

use super::page::{EndpointPage, UnusablePage};
use crate::interface::Micros;
use awc::Client;
use rowanglade_discovery_polling::Outcome;
use std::net::SocketAddr;
use tokio::time::Instant;

/// The shortest wait that a request can ask for, in milliseconds: discovery answers it at once, with what has
/// changed.
const MIN_WAIT_MS: Micros = 1;
/// The most bytes of a page. Far above the list of any fleet; a stream without an end must not fill memory.
const MAX_PAGE_BYTES: usize = 4 << 20;

/// Why a request brought no page that can be used.
#[derive(Debug, thiserror::Error)]
pub(super) enum FetchError {
    /// Discovery answered with another status than 200.
    #[error("discovery answered {0}")]
    Status(actix_http::StatusCode),
    #[error(transparent)]
    Connection(#[from] awc::error::SendRequestError),
    #[error(transparent)]
    Body(#[from] awc::error::PayloadError),
    #[error(transparent)]
    Decode(#[from] serde_json::Error),
    #[error(transparent)]
    Unusable(#[from] UnusablePage),
}

impl FetchError {
    /// The outcome of the request, as the schedule has it.
    pub fn outcome(&self) -> Outcome {
        match self {
            FetchError::Status(_) => Outcome::Rejected,
            _ => Outcome::Failed,
        }
    }
}

/// A page, and when its last byte was received.
pub(super) struct FetchedPage {
    pub page: EndpointPage,
    pub received_at: Instant,
}

/// Requests what has changed since version `held`, or a snapshot where none is held. Discovery may wait for a
/// change for `max_wait` microseconds. Dropping the future closes the request.
///
/// # Errors
/// The connection failed, the status is not 200, or the body is too long or no page.
pub(super) async fn fetch(
    client: &Client,
    addr: SocketAddr,
    held: Option<u64>,
    max_wait: Micros,
) -> Result<FetchedPage, FetchError> {
    let path = request_path(held, max_wait);
    let request = client.get(format!("http://{addr}{path}")).no_decompress();
    let mut response = request.send().await?;
    if response.status() != actix_http::StatusCode::OK {
        return Err(FetchError::Status(response.status()));
    }
    let body = response.body().limit(MAX_PAGE_BYTES).await?;
    let received_at = Instant::now();
    let page = EndpointPage::decode(&body).await?;
    Ok(FetchedPage { page, received_at })
}

fn request_path(held: Option<u64>, max_wait: Micros) -> String {
    match held {
        Some(version) => {
            let wait_ms = (max_wait / 1_000).max(MIN_WAIT_MS);
            format!("/discovery/hosts?from={version}&hold_ms={wait_ms}")
        }
        None => "/discovery/hosts".to_string(),
    }
}
