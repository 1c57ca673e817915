//! Polls the platform's list of leafs.

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

/// Part of the list's rate that this node may use, as one in so many: others poll too.
const RATE_PART: u64 = 4;

/// Why there is no list.
#[derive(Debug, Error)]
pub enum LeafListError {
    /// Its request can't be written.
    #[error("{0}")]
    Request(#[from] hyper::http::Error),
    /// No response came.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The list was asked too often.
    #[error("asked too often")]
    TooManyRequests,
    /// The response is not a list.
    #[error("status {0}")]
    Status(u16),
    /// A page can't be read; says where.
    #[error("{0}")]
    Unreadable(Diagnostic),
    /// There are more pages than any list has.
    #[error("the list has no end")]
    Endless,
}

/// Where the list is and how it is read.
#[derive(Clone)]
pub struct LeafList {
    /// Its address.
    pub address: SocketAddr,
    /// How it is written; nothing for our own form.
    pub platform_api: Option<&'static PlatformApi>,
    /// Sends the requests.
    pub http: HttpClient,
}

/// Polls the list, one poll at a time and no more often than the platform allows.
pub struct LeafListPoller {
    list: LeafList,
    /// Calls a second that the platform takes from all nodes.
    rate: u64,
    polling: bool,
    /// When the list was last polled.
    polled: Instant,
    /// The pages that it had, or fewer after failures.
    pages: u64,
    results: UnboundedSender<MembershipInput>,
}

impl LeafListPoller {
    /// A poller whose results go to the membership thread.
    pub fn new(
        list: LeafList,
        rate: u64,
        results: UnboundedSender<MembershipInput>,
    ) -> LeafListPoller {
        LeafListPoller { list, rate, polling: false, polled: Instant::now(), pages: 0, results }
    }

    /// Begins a poll, unless one is under way or it would be too early.
    pub fn poll(&mut self) {
        let pause_ms = self.pages * 1_000 * RATE_PART / self.rate.max(1);
        if self.polling || self.polled.elapsed() < Duration::from_millis(pause_ms) {
            return;
        }
        self.polling = true;
        self.polled = Instant::now();
        let (list, results) = (self.list.clone(), self.results.clone());
        // Ends within the list's patience for each page, or with the thread's `LocalSet`.
        tokio::task::spawn_local(async move {
            let (leafs, pages) = match list.fetch().await {
                Ok((leafs, pages)) => (Ok(leafs), pages),
                Err(error) => (Err(error), 0),
            };
            let _ = results.send(MembershipInput::LeafList { leafs, pages });
        });
    }

    /// Notes that a poll has ended, after so many pages.
    pub fn note_end(&mut self, pages: u64) {
        self.polling = false;
        self.pages = pages.max(self.pages / 2);
    }
}

impl LeafList {
    /// Reads the whole list. Gives the leafs and the count of pages.
    async fn fetch(&self) -> Result<(Vec<LeafInfo>, u64), LeafListError> {
        match self.platform_api {
            Some(api) => self.fetch_pages(api).await,
            None => Ok((self.fetch_own().await?, 1)),
        }
    }

    /// Reads the platform's list, page by page. Only a whole list is one.
    async fn fetch_pages(&self, api: &PlatformApi) -> Result<(Vec<LeafInfo>, u64), LeafListError> {
        let mut leafs: Vec<LeafInfo> = Vec::new();
        let mut page_name: Option<String> = None;
        for count in 1..=consts::MAX_LEAF_LIST_PAGES {
            let body = self.get_patiently(&(api.list_path)(page_name.as_deref())).await?;
            let page = (api.read_list_page)(&body).map_err(LeafListError::Unreadable)?;
            for diagnostic in page.diagnostics {
                debug!("the platform's list: {diagnostic}");
            }
            // A leaf may move from page to page while they are read.
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
        Err(LeafListError::Endless)
    }

    async fn fetch_own(&self) -> Result<Vec<LeafInfo>, LeafListError> {
        let body = self.get(list::PATH).await?;
        let (leafs, diagnostics) = list::read(&body).map_err(LeafListError::Unreadable)?;
        for diagnostic in diagnostics {
            warn!("the platform's list: {diagnostic}");
        }
        Ok(leafs)
    }

    /// [`LeafList::get`], again a few times when the list is asked too often.
    async fn get_patiently(&self, path: &str) -> Result<Bytes, LeafListError> {
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
