//! Nodes that follow the platform's store, directly or through each other, and its failures.

mod mesh;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::task;
use fescuestack_platform_standin::{CONFIG_KEY, StoreMode, TargetRecord, target_key};

use mesh::{Mesh, TestCall, config, eventually};

/// Time in which an acknowledged configuration has to be active on every node that reaches the store.
const CONFIG_APPLY_LIMIT: Duration = Duration::from_millis(2_000);

/// A new version becomes active on all nodes, also on those that follow another node, and older or
/// invalid versions are never applied.
#[test]
fn older_and_invalid_versions_are_ignored() {
    task::block_on(async {
        let mesh = Mesh::start(&["alpha", "beta", "beta"]).await;
        let status = async |node: usize, path: &str| {
            mesh.send(node, &TestCall::get("v", path)).await.expect("a response").status
        };
        mesh.store.put(CONFIG_KEY, config(5, &[("/c/", "alpha")]));
        for node in 0..3 {
            eventually("version 5 is active", async || status(node, "/c/").await == 200).await;
        }
        mesh.store.put(CONFIG_KEY, config(4, &[("/d/", "alpha")]));
        mesh.store.put(CONFIG_KEY, "{\"version\": 9, ");
        let broken = config(9, &[("/d/", "no such service")]);
        mesh.store.put(CONFIG_KEY, broken);
        task::sleep(Duration::from_millis(700)).await;
        for node in 0..3 {
            assert_eq!(status(node, "/c/").await, 200);
            assert_eq!(status(node, "/d/").await, 404);
        }
    });
}

/// Guards against a node that stops serving during an outage of the store, or does not catch up
/// after it.
#[test]
fn nodes_serve_during_a_store_outage() {
    task::block_on(async {
        let mesh = Mesh::start(&["alpha", "beta"]).await;
        for mode in [StoreMode::Unavailable, StoreMode::Unresponsive] {
            mesh.store.set_mode(mode);
            task::sleep(Duration::from_millis(1_500)).await;
            let response = mesh.send(0, &TestCall::get("o", "/b/")).await.expect("a response");
            assert_eq!(response.status, 200, "{mode:?}");
            let version = if mode == StoreMode::Unavailable { 2 } else { 3 };
            let route = format!("/v{version}/");
            let routes = [("/b/", "beta"), (route.as_str(), "beta")];
            mesh.store.put(CONFIG_KEY, config(version, &routes));
            mesh.store.set_mode(StoreMode::Healthy);
            for node in 0..2 {
                mesh.eventually_served(node, &route).await;
            }
        }
        mesh.store.compact();
        mesh.store.put(CONFIG_KEY, config(7, &[("/last/", "beta")]));
        mesh.eventually_served(1, "/last/").await;
    });
}

/// Time after which a target whose entry was removed gets no new work.
const DRAIN_LIMIT: Duration = Duration::from_millis(2_000);

/// Guards against requests to a target that left shortly after an outage of the store. Its removal was
/// deferred by 2 s like those during the outage, and then waited for the next turn of the watch.
#[test]
fn target_that_leaves_after_an_outage_gets_no_late_requests() {
    task::block_on(async {
        let mesh = Mesh::start(&["alpha", "beta", "beta"]).await;
        mesh.store.set_mode(StoreMode::Unavailable);
        task::sleep(Duration::from_millis(1_500)).await;
        mesh.store.set_mode(StoreMode::Healthy);
        for node in 0..2 {
            eventually("the node is in touch with the store", async || {
                let age = &mesh.status(node).await["source_age_ms"];
                age.as_u64().is_some_and(|age_ms| age_ms < 300)
            })
            .await;
        }
        mesh.store.remove(&target_key("t3"));
        let removed_at = Instant::now();
        while removed_at.elapsed() < DRAIN_LIMIT * 2 {
            for node in 0..2 {
                mesh.send(node, &TestCall::get("d", "/b/")).await.expect("a response");
            }
            task::sleep(Duration::from_millis(20)).await;
        }
        let last = mesh.nodes[2].application.arrivals().into_iter().max().expect("requests");
        let late = last.saturating_duration_since(removed_at);
        assert!(late <= DRAIN_LIMIT, "a request arrived {late:?} after the target was removed");
    });
}

/// Guards against a reader that waits for a lost response of the store: a version has to be active
/// within 2 s.
#[test]
fn lost_watch_is_noticed() {
    task::block_on(async {
        let mesh = Mesh::start(&["alpha", "beta"]).await;
        for round in 2..4 {
            // Without changes, the timeout of the watches grows to its maximum.
            task::sleep(Duration::from_millis(2_500)).await;
            mesh.store.put(CONFIG_KEY, config(round * 2, &[("/b/", "beta")]));
            task::sleep(Duration::from_millis(700)).await;
            mesh.store.abandon_pending_calls();
            let path = format!("/v{round}/");
            mesh.store.put(CONFIG_KEY, config(round * 2 + 1, &[(&path, "beta")]));
            task::sleep(Duration::from_millis(2_000)).await;
            for node in 0..2 {
                let response =
                    mesh.send(node, &TestCall::get("w", &path)).await.expect("a response");
                assert_eq!(response.status, 200, "node {node} has an older version");
            }
        }
    });
}

/// Guards against a node without others in its data centre that waits too long for a lost response of
/// the store. It has to be up to date 3 s after that, and may just have begun to collect changes.
#[test]
fn lone_node_notices_a_lost_watch() {
    const CONTACT_TIME: Duration = Duration::from_millis(3_000);
    const BATCH_DELAY: Duration = Duration::from_millis(400);
    task::block_on(async {
        let mesh = Mesh::start(&["alpha"]).await;
        mesh.store.put(CONFIG_KEY, config(2, &[("/old/", "alpha")]));
        mesh.eventually_served(0, "/old/").await;
        // By now the next watch has begun.
        task::sleep(BATCH_DELAY + Duration::from_millis(50)).await;
        mesh.store.abandon_pending_calls();
        mesh.store.put(CONFIG_KEY, config(3, &[("/new/", "alpha")]));
        task::sleep(CONTACT_TIME - BATCH_DELAY).await;
        let response = mesh.send(0, &TestCall::get("n", "/new/")).await.expect("a response");
        assert_eq!(response.status, 200, "the node has an older version");
    });
}

/// Guards against a node that requests every version that it has missed, which a slow link cannot
/// carry: after a longer outage it reads only the current state.
#[test]
fn missed_versions_are_skipped() {
    task::block_on(async {
        let mesh = Mesh::start(&["alpha", "beta"]).await;
        mesh.store.set_mode(StoreMode::Unresponsive);
        mesh.store.abandon_pending_calls();
        task::sleep(Duration::from_millis(3_000)).await;
        mesh.store.put(CONFIG_KEY, config(2, &[("/later/", "beta")]));
        mesh.store.abandon_pending_calls();
        mesh.store.set_mode(StoreMode::WatchUnresponsive);
        for node in 0..2 {
            mesh.eventually_served(node, "/later/").await;
        }
    });
}

/// Guards against a node that becomes the reader, cannot reach the store, and keeps its followers
/// waiting because of what it learned from the previous reader.
#[test]
fn store_loss_reaches_followers_at_once() {
    task::block_on(async {
        let mesh = Mesh::start(&["alpha", "beta"]).await;
        task::sleep(Duration::from_millis(2_500)).await;
        mesh.store.set_mode(StoreMode::Unresponsive);
        mesh.store.abandon_pending_calls();
        let wait_until_disconnected = async |count: usize| {
            eventually("nodes notice that the store is unreachable", async || {
                let mut lost = 0;
                for node in 0..2 {
                    lost += usize::from(mesh.status(node).await["source"] == "none");
                }
                lost >= count
            })
            .await;
            Instant::now()
        };
        let first = wait_until_disconnected(1).await;
        let second = wait_until_disconnected(2).await;
        // A watch of 0.5 s and its slack of 0.5 s, after which the second node cannot reach the store
        // either.
        assert!(second - first < Duration::from_millis(1_300), "{:?}", second - first);
    });
}

/// Guards against nodes that wait until one reader after the other notices that the store is silent.
#[test]
fn readers_without_the_store_delay_no_configuration() {
    task::block_on(async {
        let (large, small) = (("alpha", 1_000.0), ("beta", 10.0));
        let mesh = Mesh::start_on(&[large, large, small, small, small]).await;
        mesh.await_large_reader(2).await;
        // Without changes, the timeout of the watches grows to its maximum.
        task::sleep(Duration::from_millis(2_500)).await;
        for node in &mesh.nodes[..2] {
            node.store.set_address_silent(true);
        }
        mesh.store.put(CONFIG_KEY, config(2, &[("/new/", "beta")]));
        task::sleep(CONFIG_APPLY_LIMIT).await;
        for node in 2..5 {
            let version = &mesh.status(node).await["version"];
            assert_eq!(version, 2, "node {node} has an older version");
        }
    });
}

/// Guards against a node that returns from reading the store to following and loses its followers.
#[test]
fn former_reader_keeps_its_followers() {
    task::block_on(async {
        let (large, small) = (("alpha", 1_000.0), ("beta", 10.0));
        let mesh = Mesh::start_on(&[large, large, small, small, small]).await;
        let reader = mesh.await_large_reader(2).await;
        mesh.nodes[reader].store.set_address_silent(true);
        eventually("the other large node reads the store", async || {
            mesh.readers().await.contains(&(1 - reader))
        })
        .await;
        // Until what the other large node learned from the reader is too old to be passed on.
        task::sleep(Duration::from_millis(3_000)).await;
        mesh.nodes[reader].store.set_address_silent(false);
        eventually("the first node reads the store again", async || {
            mesh.readers().await.contains(&reader)
        })
        .await;
        let calls = || mesh.nodes[2..].iter().map(|node| node.store.address_calls()).sum::<u64>();
        let before = calls();
        eventually("the other large node follows again", async || mesh.readers().await == [reader])
            .await;
        task::sleep(Duration::from_millis(500)).await;
        assert_eq!(calls(), before, "followers dropped the former reader");
    });
}

/// Guards against invalid entries in the store that prevent the use of valid ones, or end the nodes'
/// following of the store.
#[test]
fn entries_of_other_writers_are_ignored() {
    task::block_on(async {
        let mesh = Mesh::start(&["alpha", "beta"]).await;
        for (index, value) in [
            "no json", "{}", "[1]", "{\"address\": 5}",
            "{\"address\":\"127.0.0.1:1\",\"info\":{\"service\":\"beta\",\"zone\":\"here\",\"capacity\":\"x\"},\"status\":{\"state\":\"ready\"}}",
            "{\"address\":\"127.0.0.1:1\",\"info\":{\"service\":\"beta\",\"version\":\"v\",\"zone\":\"here\",\"capacity\":6},\"status\":{\"state\":\"sleeping\",\"sequence\":1,\"warmup_left_s\":0}}",
        ].iter().enumerate() {
            mesh.store.put(&target_key(&format!("forged-{index}")), *value);
        }
        let valid = TargetRecord::new(SocketAddr::from(([127, 0, 0, 1], 1)), "beta").value();
        let nested = format!("{}{}", "{\"a\":[".repeat(50_000), "]}".repeat(50_000));
        for (index, (text, replacement)) in [
            ("\"127.0.0.1:1\"", "\"127.0.0.1:70000\""),
            ("\"127.0.0.1:1\"", "\"127.0.0.1:0\""),
            ("\"beta\"", nested.as_str()),
            ("\"capacity\":4", "\"capacity\":1e400"),
            ("\"sequence\":1", "\"sequence\":99999999999999999999"),
            ("\"warmup_left_s\":0", nested.as_str()),
        ]
        .into_iter()
        .enumerate()
        {
            assert!(valid.contains(text), "{text} is not in {valid}");
            let odd = valid.replacen(text, replacement, 1);
            mesh.store.put(&target_key(&format!("odd-{index}")), odd);
        }
        mesh.store.put(&target_key("odd\u{7f}id"), valid);
        mesh.store.put(&target_key(""), "x");
        mesh.store.put("other/key", vec![0xff, 0xfe]);
        task::sleep(Duration::from_millis(400)).await;
        for index in 0..20 {
            let response = mesh.send(0, &TestCall::get(&format!("f{index}"), "/b/")).await;
            assert_eq!(response.expect("a response").status, 200);
        }
        mesh.store.put(CONFIG_KEY, config(2, &[("/b/", "beta"), ("/later/", "beta")]));
        for node in 0..2 {
            mesh.eventually_served(node, "/later/").await;
            assert_eq!(mesh.status(node).await["targets"], 2, "an odd entry is used");
        }
    });
}

/// Guards against a starting fleet that queries the store continuously: no node knows another one
/// to follow until the first targets are listed, which takes seconds.
#[test]
fn single_node_polls_the_store_rarely() {
    task::block_on(async {
        let mesh = Mesh::start(&["alpha"]).await;
        task::sleep(Duration::from_millis(500)).await;
        let before = mesh.store.calls();
        task::sleep(Duration::from_millis(2_800)).await;
        let calls = mesh.store.calls() - before;
        assert!(calls <= 1, "{calls} calls in 2.8 s without a change");
        mesh.store.put(CONFIG_KEY, config(2, &[("/new/", "alpha")]));
        mesh.eventually_served(0, "/new/").await;
    });
}
