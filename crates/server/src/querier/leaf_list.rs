//! Polls the list of leafs that the platform serves.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use grebepath_core::consts;
use grebepath_core::diagnostic::Diagnostic;
use grebepath_core::http_api::list;
use grebepath_core::snapshot::leafs::LeafInfo;
use grebepath_runtime::clock::duration;
use grebepath_runtime::http::client::{HttpClient, HttpError};
use grebepath_runtime::platform_api::PlatformApi;
use http_body_util::Full;
use hyper::Request;
use thiserror::Error;
use tokio::sync::mpsc::UnboundedSender;
use tracing::{debug, warn};

use crate::messages::MembershipInput;

/// This node uses one in this many of the list's permitted calls, because other nodes poll too.
const RATE_DIVISOR: u64 = 4;

/// Why a poll of the leaf list failed.
#[derive(Debug, Error)]
pub enum LeafListError {
    /// The request could not be built.
    #[error("{0}")]
    Request(#[from] hyper::http::Error),
    /// No response came.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The platform rejected the request because of its rate limit.
    #[error("the platform's rate limit is exceeded")]
    TooManyRequests,
    /// The response has an unexpected status.
    #[error("unexpected status {0}")]
    Status(u16),
    /// A page could not be parsed; the diagnostic names the place.
    #[error("{0}")]
    Unreadable(Diagnostic),
    /// There are more than [`consts::MAX_LEAF_LIST_PAGES`] pages.
    #[error("the list has too many pages")]
    TooManyPages,
}

/// Client of the leaf list.
#[derive(Clone)]
pub struct LeafList {
    /// Address of the server of the list.
    pub address: SocketAddr,
    /// The platform's dialect; `None` if the list has grebepath's own format.
    pub platform_api: Option<&'static PlatformApi>,
    /// The HTTP client.
    pub http: HttpClient,
}

/// Polls the list, one poll at a time and within the platform's rate limit.
pub struct LeafListPoller {
    list: LeafList,
    /// Calls per second that the platform accepts from all nodes together.
    rate: u64,
    polling: bool,
    /// When the last poll began.
    last_poll: Instant,
    /// Number of pages of the last list; halved after each failed poll.
    pages: u64,
    results: UnboundedSender<MembershipInput>,
}

impl LeafListPoller {
    /// Creates a poller that sends its results to the membership thread.
    pub fn new(
        list: LeafList,
        rate: u64,
        results: UnboundedSender<MembershipInput>,
    ) -> LeafListPoller {
        LeafListPoller { list, rate, polling: false, last_poll: Instant::now(), pages: 0, results }
    }

    /// Starts a poll, unless one is running or the rate limit does not permit it yet.
    pub fn poll(&mut self) {
        let min_interval_ms = self.pages * 1_000 * RATE_DIVISOR / self.rate.max(1);
        if self.polling || self.last_poll.elapsed() < Duration::from_millis(min_interval_ms) {
            return;
        }
        self.polling = true;
        self.last_poll = Instant::now();
        let (list, results) = (self.list.clone(), self.results.clone());
        // Ends after at most the poll timeout for each page, or with the thread's `LocalSet`.
        tokio::task::spawn_local(async move {
            let (leafs, pages) = match list.fetch().await {
                Ok((leafs, pages)) => (Ok(leafs), pages),
                Err(error) => (Err(error), 0),
            };
            let _ = results.send(MembershipInput::LeafList { leafs, pages });
        });
    }

    /// Records the end of a poll that read `pages` pages.
    pub fn finish_poll(&mut self, pages: u64) {
        self.polling = false;
        self.pages = pages.max(self.pages / 2);
    }
}

impl LeafList {
    /// Reads the complete list. Returns the leafs and the number of pages.
    async fn fetch(&self) -> Result<(Vec<LeafInfo>, u64), LeafListError> {
        match self.platform_api {
            Some(api) => self.fetch_pages(api).await,
            None => Ok((self.fetch_native().await?, 1)),
        }
    }

    /// Reads the list in the platform's dialect, page by page. Fails if any page is missing.
    async fn fetch_pages(&self, api: &PlatformApi) -> Result<(Vec<LeafInfo>, u64), LeafListError> {
        let mut leafs: Vec<LeafInfo> = Vec::new();
        let mut page_name: Option<String> = None;
        for count in 1..=consts::MAX_LEAF_LIST_PAGES {
            let body = self.get_with_retries(&(api.list_path)(page_name.as_deref())).await?;
            let page = (api.read_list_page)(&body).map_err(LeafListError::Unreadable)?;
            for diagnostic in page.diagnostics {
                debug!("the platform's list: {diagnostic}");
            }
            // A leaf may move to another page while the pages are read.
            for leaf in page.leafs {
                if !leafs.iter().any(|known| known.leaf == leaf.leaf) {
                    leafs.push(leaf);
                }
            }
            match page.next_page {
                None => return Ok((leafs, count as u64)),
                next_page => page_name = next_page,
            }
        }
        Err(LeafListError::TooManyPages)
    }

    async fn fetch_native(&self) -> Result<Vec<LeafInfo>, LeafListError> {
        let body = self.get(list::PATH).await?;
        let (leafs, diagnostics) = list::read(&body).map_err(LeafListError::Unreadable)?;
        for diagnostic in diagnostics {
            warn!("the platform's list: {diagnostic}");
        }
        Ok(leafs)
    }

    /// Calls [`LeafList::get`] and retries a few times if the rate limit is exceeded.
    async fn get_with_retries(&self, path: &str) -> Result<Bytes, LeafListError> {
        let mut body = self.get(path).await;
        for _ in 0..consts::LEAF_LIST_PAGE_RETRIES {
            if !matches!(body, Err(LeafListError::TooManyRequests)) {
                break;
            }
            tokio::time::sleep(duration(consts::LEAF_LIST_FAST_POLL_INTERVAL)).await;
            body = self.get(path).await;
        }
        body
    }

    async fn get(&self, path: &str) -> Result<Bytes, LeafListError> {
        let url = format!("http://{}{path}", self.address);
        let request = Request::get(url).body(Full::default())?;
        let timeout = duration(consts::LEAF_LIST_POLL_TIMEOUT);
        let response = self.http.call_within(request, consts::MAX_LEAF_LIST_BYTES, timeout).await?;
        match response.status().as_u16() {
            200 => Ok(response.into_body()),
            429 => Err(LeafListError::TooManyRequests),
            code => Err(LeafListError::Status(code)),
        }
    }
}
