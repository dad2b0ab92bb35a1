//! One request for the endpoint list.

use super::page::{EndpointPage, UnusablePage};
use crate::interface::Micros;
use awc::Client;
use rowanglade_discovery_polling::Outcome;
use std::net::SocketAddr;
use tokio::time::Instant;

/// Shortest wait that a request can ask for, in milliseconds. Discovery then responds at once with the
/// changes so far.
const MIN_WAIT_MS: Micros = 1;
/// Largest page in bytes: far above the list of any fleet, so that a response without an end cannot fill
/// memory.
const MAX_PAGE_BYTES: usize = 4 << 20;

/// Why a request returned no usable page.
#[derive(Debug, thiserror::Error)]
pub(super) enum FetchError {
    /// Discovery responded with a status other than 200.
    #[error("discovery responded with status {0}, expected 200 OK")]
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
    /// The outcome of the request as the polling schedule counts it.
    pub fn outcome(&self) -> Outcome {
        match self {
            FetchError::Status(_) => Outcome::Rejected,
            _ => Outcome::Failed,
        }
    }
}

/// A page, and the time at which its last byte was received.
pub(super) struct FetchedPage {
    pub page: EndpointPage,
    pub received_at: Instant,
}

/// Requests the changes since `version`, or a snapshot if it is `None`. Discovery may wait up to `max_wait`
/// microseconds for a change before it responds. Dropping the future cancels the request.
///
/// # Errors
/// The connection failed, the status is not 200, or the body is too long or not a valid page.
pub(super) async fn fetch(
    client: &Client,
    addr: SocketAddr,
    version: Option<u64>,
    max_wait: Micros,
) -> Result<FetchedPage, FetchError> {
    let path = request_path(version, max_wait);
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

fn request_path(version: Option<u64>, max_wait: Micros) -> String {
    match version {
        Some(version) => {
            let wait_ms = (max_wait / 1_000).max(MIN_WAIT_MS);
            format!("/discovery/hosts?from={version}&hold_ms={wait_ms}")
        }
        None => "/discovery/hosts".to_string(),
    }
}
