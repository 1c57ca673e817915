//! More calls than a real querier takes.

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
        let one = async |search: &str| {
            let http = grebepath_runtime::http::client::HttpClient::new(1);
            let req = hyper::Request::post(format!(
                "http://{}/v1/search/{search}",
                cluster.caller_addrs[0]
            ))
            .header("budget-ms", "900")
            .body(http_body_util::Full::from(r#"{"question": "q"}"#))
            .unwrap();
            let got = http.call(req, 1 << 20).await.ok()?;
            let again =
                got.headers().get("retry-after").and_then(|v| v.to_str().ok()?.parse().ok());
            Some((got.status().as_u16(), again))
        };
        let ready = async || {
            let http = grebepath_runtime::http::client::HttpClient::new(1);
            let url = format!("http://{}/readyz", cluster.caller_addrs[0]);
            local_cluster::text(&http, url).await.is_some()
        };
        let floods = (0..1_500).map(|_| one("browse")).collect();
        let alerts = (0..40).map(|_| one("alert")).collect();
        let (floods, alerts, ready) = tokio::join!(join_all(floods), join_all(alerts), ready());
        expect_that!(ready, eq(true));
        let full = |list: &[Option<(u16, Option<u64>)>]| {
            list.iter().flatten().filter(|c| c.0 == 200).count()
        };
        // Each call has its outcome; who is sent away is told when to come back.
        let mut told = std::collections::BTreeSet::new();
        for (code, again) in floods.iter().chain(&alerts).map(|c| c.expect("no outcome")) {
            if code != 200 {
                expect_that!(code, any!(eq(429), eq(503), eq(504)));
                expect_that!(again, some(all!(ge(1), le(30))));
                told.insert(again);
            }
        }
        expect_that!(told.len(), gt(2), "callers are told to come back together");
        expect_that!(full(&floods), all!(gt(20), lt(1_400)));
        let (f_pct, a_pct) = (full(&floods) * 100 / 1_500, full(&alerts) * 100 / 40);
        expect_that!(a_pct, gt(f_pct));
        // And then it is as if nothing had been.
        for n in 0..50 {
            expect_that!(one("browse").await.map(|c| c.0), some(eq(200)), "call {n}");
        }
    });
}
