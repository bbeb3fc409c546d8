//! The store comes back from an older copy: revisions go back and are given out again.

mod mesh;

use std::time::Duration;

use async_std::task;
use fescuestack_platform_standin::{CONFIG_KEY, StandinStore, StoreCopy, StoreMode, target_key};

use mesh::{Mesh, TestCall, config, eventually};

/// Time in which an acknowledged configuration has to be active on every node that reaches the store.
const CONFIG_APPLY_LIMIT: Duration = Duration::from_millis(2_000);

/// Time in which nodes that follow the store have received a change.
const SETTLE_TIME: Duration = Duration::from_millis(1_200);

/// Writes keys that no node uses, which raises the revision.
fn write_other_keys(store: &StandinStore, count: u32) {
    for index in 0..count {
        store.put("other/key", index.to_string());
    }
}

/// Takes the store away for a moment and restores it from `copy`.
async fn restore(store: &StandinStore, copy: StoreCopy) {
    store.set_mode(StoreMode::Unavailable);
    task::sleep(Duration::from_millis(600)).await;
    store.restore(copy);
    store.set_mode(StoreMode::Healthy);
}

async fn assert_version(mesh: &Mesh, version: u64) {
    for node in 0..mesh.nodes.len() {
        assert_eq!(mesh.status(node).await["version"], version, "version on node {node}");
    }
}

/// Guards against nodes that ignore what a restored store holds because its revisions are lower, and
/// against nodes that list all keys over and over because of that.
#[test]
fn configuration_is_active_after_the_store_was_restored() {
    task::block_on(async {
        let mesh = Mesh::start(&["alpha", "beta", "beta"]).await;
        for (round, version) in [(0, 10), (1, 20)] {
            let copy = mesh.store.copy();
            let routes = [("/b/", "beta"), ("/kept/", "beta")];
            mesh.store.put(CONFIG_KEY, config(version + 1, &routes));
            write_other_keys(&mesh.store, 20);
            task::sleep(SETTLE_TIME).await;
            assert_version(&mesh, version + 1).await;

            restore(&mesh.store, copy).await;
            task::sleep(Duration::from_millis(500)).await;
            assert_version(&mesh, version + 1).await;
            let calls = mesh.store.calls();
            mesh.store.put(CONFIG_KEY, config(version + 1, &routes));
            mesh.store.put(CONFIG_KEY, config(version + 2, &[("/b/", "beta"), ("/new/", "beta")]));
            task::sleep(CONFIG_APPLY_LIMIT).await;
            assert_version(&mesh, version + 2).await;
            let calls = mesh.store.calls() - calls;
            assert!(calls < 60, "{calls} calls to the store in 2 s, round {round}");
        }
    });
}

/// Guards against a watch that continues in another history once the store has given out the
/// revisions again.
#[test]
fn revisions_given_out_again_are_noticed() {
    task::block_on(async {
        let mesh = Mesh::start(&["alpha", "beta"]).await;
        let copy = mesh.store.copy();
        mesh.list_target("lost", 0, |record| record.with_start_offset(1));
        write_other_keys(&mesh.store, 5);
        task::sleep(SETTLE_TIME).await;
        for node in &mesh.nodes {
            node.store.set_address_silent(true);
        }
        mesh.store.abandon_pending_calls();
        mesh.store.restore(copy);
        mesh.store.put(CONFIG_KEY, config(2, &[("/b/", "beta"), ("/new/", "beta")]));
        write_other_keys(&mesh.store, 10);
        for node in &mesh.nodes {
            node.store.set_address_silent(false);
        }
        for node in 0..2 {
            mesh.eventually_served(node, "/new/").await;
            eventually("the lost entry is removed", async || {
                mesh.status(node).await["targets"] == 2
            })
            .await;
        }
    });
}

/// Guards against a target that has left and is used again because the restored store lists it, and
/// against one that is not used after it has started again.
#[test]
fn draining_target_stays_unused_after_the_store_was_restored() {
    task::block_on(async {
        let mesh = Mesh::start(&["alpha", "alpha", "beta"]).await;
        let copy = mesh.store.copy();
        let application = &mesh.nodes[0].application;
        mesh.list_target("t1", 0, |record| record.draining().with_sequence(2));
        task::sleep(SETTLE_TIME).await;
        let before = application.request_count();
        let send_all = async |count: usize| {
            for index in 0..count {
                let call = TestCall::get(&format!("d{index}"), "/a/");
                let response = mesh.send(index % 3, &call).await.expect("a response");
                assert_eq!(response.status, 200, "request {index}");
            }
        };
        send_all(30).await;
        assert_eq!(application.request_count(), before, "requests reached the draining target");
        restore(&mesh.store, copy).await;
        task::sleep(SETTLE_TIME).await;
        send_all(60).await;
        assert_eq!(application.request_count(), before, "the copy made the target usable");
        mesh.list_target("t1", 0, |record| record.with_start_offset(5_000));
        task::sleep(SETTLE_TIME).await;
        send_all(60).await;
        assert!(application.request_count() > before, "the restarted target is not used");
    });
}

/// Guards against targets that are given up because they registered after the copy was made: they
/// write their entries again.
#[test]
fn target_younger_than_the_copy_stays_in_use() {
    task::block_on(async {
        let mesh = Mesh::start(&["alpha", "beta"]).await;
        mesh.store.remove(&target_key("t2"));
        let copy = mesh.store.copy();
        mesh.list_target("t2", 1, |record| record.with_service("beta").with_sequence(2));
        mesh.eventually_served(0, "/b/").await;
        task::sleep(SETTLE_TIME).await;
        restore(&mesh.store, copy).await;
        let serves = async |duration: Duration| {
            let started = std::time::Instant::now();
            while started.elapsed() < duration {
                for node in 0..2 {
                    let response = mesh.send(node, &TestCall::get("y", "/b/")).await;
                    assert_eq!(
                        response.expect("a response").status,
                        200,
                        "{:?}",
                        started.elapsed()
                    );
                }
                task::sleep(Duration::from_millis(20)).await;
            }
        };
        serves(Duration::from_millis(1_200)).await;
        mesh.list_target("t2", 1, |record| record.with_service("beta").with_sequence(3));
        serves(Duration::from_millis(2_500)).await;
    });
}

/// Guards against a node that starts after the restore, reads an older configuration from the store
/// and does not serve a route that all other nodes serve.
#[test]
fn node_that_starts_after_the_restore_gets_the_active_configuration() {
    task::block_on(async {
        let mut mesh = Mesh::start(&["alpha", "beta"]).await;
        let copy = mesh.store.copy();
        mesh.store.put(CONFIG_KEY, config(2, &[("/b/", "beta"), ("/new/", "beta")]));
        mesh.eventually_served(0, "/new/").await;
        restore(&mesh.store, copy).await;
        task::sleep(SETTLE_TIME).await;
        mesh.add_node("beta", 1_000.0).await;
        eventually("the node has a configuration", async || mesh.is_ready(2).await).await;
        task::sleep(CONFIG_APPLY_LIMIT).await;
        assert_version(&mesh, 2).await;
    });
}
