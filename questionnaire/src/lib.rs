//! Generates the configuration from the operators' questionnaire.
//!
//! A questionnaire is read and checked ([`Answers::parse`]), turned into parts ([`generate`]), compared
//! with what is in force ([`describe_changes`]) and accepted as the next version ([`accept`]). Apart from
//! [`QuestionnaireCommand`] nothing here does I/O.

mod accept;
mod answers;
mod artefact;
mod check;
mod command;
mod difference;
mod error;
mod fleet;
mod generate;
mod routes;
mod tree;

pub use accept::{accept, accept_after};
pub use answers::{
    Answers, CallerOrigin, ClassAnswer, DayMinute, PeriodAnswer, RegionAnswer, RouteAnswer,
    SeriesAnswer, ServiceAnswer, TargetAnswer, TenantAnswer,
};
pub use artefact::{Artefact, ValueMap};
pub use check::{BODY_LIMIT_BYTES, UPLOAD_LIMIT_BYTES, check};
pub use command::{GeneratedForm, QuestionnaireAction, QuestionnaireCommand};
pub use difference::describe_changes;
pub use error::{Diagnostic, DiagnosticCode, Diagnostics};
pub use fleet::{FleetSize, generate_fleet};
pub use generate::{MAX_SERIES_TARGETS, build_manifest, build_values, encode_parts, generate};
pub use routes::{OmittedAnswer, build_route_table};
