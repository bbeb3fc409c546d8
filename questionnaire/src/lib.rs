//! Generates the fleet configuration from a questionnaire that operators fill in as YAML.
//!
//! [`Answers::parse`] parses and validates a questionnaire, [`generate`] converts it to configuration
//! parts, [`describe_changes`] compares two configurations, and [`accept`] produces the next version.
//! Only [`QuestionnaireCommand`] performs I/O.

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
