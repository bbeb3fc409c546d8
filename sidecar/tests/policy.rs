//! Reading of the operators' policy.

use std::path::PathBuf;

use fescuestack_sidecar::{HedgingPolicy, NodePolicy, PolicyError};

fn load(name: &str, text: &str) -> Result<NodePolicy, PolicyError> {
    let file = format!("fescuestack-policy-{}-{name}.yaml", std::process::id());
    let path: PathBuf = std::env::temp_dir().join(file);
    std::fs::write(&path, text).expect("a writable directory");
    let policy = NodePolicy::load(&path);
    std::fs::remove_file(&path).expect("the written file");
    policy
}

/// Guards against a part that is on without being asked for.
#[test]
fn missing_sections_leave_parts_off() {
    let policy = load("empty", "{}").expect("a valid policy");
    assert_eq!(policy, NodePolicy::default());
    assert_eq!(policy.hedging, None);
    let policy = load("hedging", "hedging: {max_ratio: 0.02}").expect("a valid policy");
    assert_eq!(policy.hedging, Some(HedgingPolicy { max_ratio: 0.02 }));
}

/// Guards against misspelt or impossible values that are taken without a word.
#[test]
fn unknown_keys_and_values_out_of_range_are_rejected() {
    let unknown = load("unknown", "hedgin: {max_ratio: 0.02}").expect_err("an unknown key");
    assert!(unknown.to_string().starts_with("602 "), "{unknown}");
    let too_large = load("range", "hedging: {max_ratio: 3}").expect_err("a ratio above 1");
    assert!(too_large.to_string().starts_with("603 "), "{too_large}");
    let clients = "clients: {progress_window_ms: 0, max_head_fields: 5, head_margin_ms: 1000}";
    let errors = load("clients", clients).expect_err("values out of range").to_string();
    assert!(
        errors.contains("progress_window_ms") && errors.contains("max_head_fields"),
        "{errors}"
    );
    assert!(!errors.contains("head_margin_ms"), "{errors}");
}
