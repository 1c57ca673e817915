//! More calls than a real querier can serve.

#[allow(dead_code)] // Each test file uses only some of the helpers.
mod common;

use googletest::prelude::*;
use testbed::local_cluster;
use testbed::local_cluster::LocalCluster;

use common::{all_ready, join_all, layout, run_local};

#[googletest::test]
fn a_flood_of_calls_is_rejected_at_the_listener_lowest_priority_first() {
    run_local(async {
        let cluster = LocalCluster::start(layout("flood", "mohalla", 3)).await.unwrap();
        all_ready(&cluster).await;
        let send_one = async |search: &str| {
            let http = grebepath_runtime::http::client::HttpClient::new(1);
            let request = hyper::Request::post(format!(
                "http://{}/v1/search/{search}",
                cluster.caller_addrs[0]
            ))
            .header("budget-ms", "900")
            .body(http_body_util::Full::from(r#"{"question": "q"}"#))
            .unwrap();
            let response = http.call(request, 1 << 20).await.ok()?;
            let retry_after =
                response.headers().get("retry-after").and_then(|v| v.to_str().ok()?.parse().ok());
            Some((response.status().as_u16(), retry_after))
        };
        let ready = async || {
            let http = grebepath_runtime::http::client::HttpClient::new(1);
            let url = format!("http://{}/readyz", cluster.caller_addrs[0]);
            local_cluster::text(&http, url).await.is_some()
        };
        let floods = (0..1_500).map(|_| send_one("browse")).collect();
        let alerts = (0..40).map(|_| send_one("alert")).collect();
        let (floods, alerts, ready) = tokio::join!(join_all(floods), join_all(alerts), ready());
        expect_that!(ready, eq(true));
        let count_successes = |outcomes: &[Option<(u16, Option<u64>)>]| {
            outcomes.iter().flatten().filter(|c| c.0 == 200).count()
        };
        // Each call gets a response; a rejected one says when to retry.
        let mut retry_delays = std::collections::BTreeSet::new();
        for (code, retry_after) in floods.iter().chain(&alerts).map(|c| c.expect("no response")) {
            if code != 200 {
                expect_that!(code, any!(eq(429), eq(503), eq(504)));
                expect_that!(retry_after, some(all!(ge(1), le(30))));
                retry_delays.insert(retry_after);
            }
        }
        expect_that!(retry_delays.len(), gt(2), "all callers are told to retry at the same time");
        expect_that!(count_successes(&floods), all!(gt(20), lt(1_400)));
        let (flood_percent, alert_percent) =
            (count_successes(&floods) * 100 / 1_500, count_successes(&alerts) * 100 / 40);
        expect_that!(alert_percent, gt(flood_percent));
        // After the flood every call succeeds again.
        for n in 0..50 {
            expect_that!(send_one("browse").await.map(|c| c.0), some(eq(200)), "call {n}");
        }
    });
}
