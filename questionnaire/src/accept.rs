//! Acceptance: produces the next configuration version from the answers.

use std::collections::BTreeSet;

use fescuestack_core::{
    ConfigSnapshot, HEAD_KEY, HeadRecord, PartContent, PartManifest, PartName, RejectReason,
    VALUE_LIMIT_BYTES, VersionDelta, VersionId, delta_key,
};

use crate::answers::Answers;
use crate::artefact::Artefact;
use crate::check::check;
use crate::error::{Diagnostic, DiagnosticCode, Diagnostics};
use crate::generate::{build_manifest, build_values, encode_json, encode_parts, generate};

/// Produces the version after `previous`, or the first version if there is none.
///
/// Fails with all diagnostics of the answers, or with the invariant that the version would violate.
pub fn accept(answers: &Answers, previous: Option<&Artefact>) -> Result<Artefact, Diagnostics> {
    match previous {
        Some(artefact) => accept_after(answers, artefact.version()?, previous),
        None => accept_after(answers, VersionId::NONE, None),
    }
}

/// Produces the version after `base`. Without the artefact of `base`, no delta is published.
///
/// Fails if the version of `previous` is not `base`: the operators then reviewed the change against a
/// version that is no longer the accepted one.
pub fn accept_after(
    answers: &Answers,
    base: VersionId,
    previous: Option<&Artefact>,
) -> Result<Artefact, Diagnostics> {
    let diagnostics = check(answers);
    if !diagnostics.is_empty() {
        return Err(Diagnostics::with_file(diagnostics, ""));
    }
    let base_snapshot = previous.map(|artefact| load_base(artefact, base)).transpose()?;
    let contents = encode_parts(&generate(answers)?);
    check_sizes(contents.iter().map(|part| (&*part.name, &*part.content)))?;
    let manifest = build_manifest(&contents);
    let version = VersionId::new(next_version_number(base)?, manifest.digest());
    ConfigSnapshot::new(version, contents.iter().cloned()).map_err(rejected)?;
    let mut values = build_values(&contents, &manifest);
    let delta = match base_snapshot {
        Some(base_snapshot) => build_delta(&base_snapshot, version, &contents, &manifest)?,
        None => None,
    };
    let delta_base = if delta.is_some() { base } else { VersionId::NONE };
    values.extend(delta.map(|content| (delta_key(version), content)));
    let head = HeadRecord { version, base: delta_base };
    values.insert(HEAD_KEY.to_owned(), encode_json(&head));
    check_sizes(values.iter().map(|(key, content)| (key.as_str(), content.as_str())))?;
    Ok(Artefact { values })
}

fn next_version_number(base: VersionId) -> Result<u64, Diagnostic> {
    base.number.checked_add(1).ok_or_else(|| {
        let message = format!("the version number of base {base} cannot be incremented");
        Diagnostic::without_location(DiagnosticCode::Refused, message)
    })
}

fn load_base(artefact: &Artefact, base: VersionId) -> Result<ConfigSnapshot, Diagnostic> {
    let base_snapshot = artefact.snapshot()?;
    if base_snapshot.version() == base {
        return Ok(base_snapshot);
    }
    let message =
        format!("the base is {base}, but the previous artefact is {}", base_snapshot.version());
    Err(Diagnostic::without_location(DiagnosticCode::BaseMismatch, message))
}

/// Builds the encoded delta. Returns `None` if it would reach the size limit; nodes then read the
/// manifest instead.
fn build_delta(
    base_snapshot: &ConfigSnapshot,
    version: VersionId,
    contents: &[PartContent],
    manifest: &PartManifest,
) -> Result<Option<String>, Diagnostic> {
    let is_changed =
        |part: &&PartContent| base_snapshot.manifest().get(&part.name) != manifest.get(&part.name);
    let kept: BTreeSet<&PartName> = contents.iter().map(|part| &part.name).collect();
    let removed = base_snapshot.manifest().entries().map(|(name, _)| name);
    let mut removed: Vec<PartName> = removed.filter(|name| !kept.contains(name)).cloned().collect();
    removed.sort_unstable();
    let changed = contents.iter().filter(is_changed).cloned().collect();
    let delta = VersionDelta { from: base_snapshot.version(), to: version, changed, removed };
    base_snapshot.with_delta(&delta).map_err(rejected)?;
    let content = encode_json(&delta);
    Ok((content.len() < VALUE_LIMIT_BYTES).then_some(content))
}

fn rejected(reason: RejectReason) -> Diagnostic {
    Diagnostic::without_location(DiagnosticCode::Refused, reason.to_string())
}

fn check_sizes<'a>(values: impl Iterator<Item = (&'a str, &'a str)>) -> Result<(), Diagnostics> {
    let too_large = values.filter(|(_, content)| content.len() >= VALUE_LIMIT_BYTES);
    let diagnostics: Vec<Diagnostic> = too_large
        .map(|(name, content)| {
            let message = format!(
                "`{name}` has {} bytes; split it so that it stays under {VALUE_LIMIT_BYTES}",
                content.len()
            );
            Diagnostic::without_location(DiagnosticCode::ValueTooLarge, message)
        })
        .collect();
    if diagnostics.is_empty() { Ok(()) } else { Err(Diagnostics::with_file(diagnostics, "")) }
}
