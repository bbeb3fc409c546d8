//! Diagnostics with a numbered code, a source location and advice for the operator.

use std::fmt;
use std::sync::Arc;

use serde_saphyr::Location;

macro_rules! diagnostic_codes {
    ($($name:ident = $number:literal, $label:literal, $meaning:literal, $remedy:literal;)*) => {
        /// The numbered kind of an error in a questionnaire or its acceptance.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum DiagnosticCode {
            $(#[doc = concat!(stringify!($number), " ", $label, ": ", $meaning, ".")]
            $name = $number,)*
        }

        impl DiagnosticCode {
            /// Every code, in numeric order.
            pub const ALL: &'static [DiagnosticCode] = &[$(DiagnosticCode::$name),*];

            /// Returns the short label shown next to the number.
            pub const fn label(self) -> &'static str {
                match self {
                    $(DiagnosticCode::$name => $label,)*
                }
            }

            /// Returns a description of the error.
            pub const fn meaning(self) -> &'static str {
                match self {
                    $(DiagnosticCode::$name => $meaning,)*
                }
            }

            /// Returns the action that an operator takes to resolve the error.
            pub const fn remedy(self) -> &'static str {
                match self {
                    $(DiagnosticCode::$name => $remedy,)*
                }
            }
        }
    };
}

diagnostic_codes! {
    FileUnreadable = 501, "file unreadable", "a file cannot be read or written", "check path and permissions";
    BrokenYaml = 502, "broken YAML", "the text is not valid YAML, or a key occurs twice", "correct the line named";
    UnknownKey = 503, "unknown key", "the questionnaire has no such question", "use one of the keys listed in the message or delete the line";
    MissingAnswer = 504, "missing answer", "a question has no answer", "add the key named";
    WrongKind = 505, "wrong kind of answer", "the answer is of another type than the question asks for", "write a value of the type named";
    UnknownWord = 506, "unknown word", "the answer is not one of the permitted words", "use one of the words listed in the message";
    DuplicateName = 507, "duplicate name", "two entries of the same kind have one name", "rename one of them";
    DuplicateAddress = 508, "duplicate address", "two ports of targets have the same address", "give each port its own address";
    PatienceGap = 509, "gap in patience", "a time of day belongs to no patience period", "extend a period or add one";
    PatienceOverlap = 510, "overlap in patience", "a time of day belongs to two patience periods", "shorten one of the periods";
    UnknownZone = 511, "unknown time zone", "the time zone is not in the IANA database", "write a name such as Europe/Athens";
    UnknownTenant = 512, "unknown tenant", "no tenant has this name", "use the name of a tenant of the questionnaire";
    UnknownClass = 513, "unknown caller class", "no tenant has this caller class", "write <tenant>/<class> with names of the questionnaire";
    UnknownDataCentre = 514, "unknown data centre", "no region has this data centre", "use a data centre listed under regions";
    NoTargets = 515, "service without targets", "a service has no target that could answer", "add targets or a target series";
    RepeatContradiction = 516, "repeat contradicts kind", "lookups and searches may be repeated, submits and uploads may not", "change the kind or the answer to may-repeat";
    ZeroLimit = 517, "limit of zero", "the limit would refuse everything", "write a number of at least 1";
    BodyLimitTooLarge = 518, "body limit too large", "the body limit exceeds what a node can hold for this kind of route", "lower it to the bound in the message";
    BadName = 519, "bad name", "a name is not usable as host name and key", "use 1 to 63 lower-case letters, digits and hyphens";
    BadAddress = 520, "bad address", "an address is malformed or a series runs past the last one", "write <IP address>:<port> and leave room for the series";
    DuplicateRoute = 521, "duplicate route", "two routes of a service have the same method and prefix", "delete or change one of them";
    OutsideClass = 522, "outside class on internal route", "an internal-only route names a class of outside callers", "remove the class or open the route";
    MethodContradiction = 523, "method contradicts kind", "GET and HEAD are repeated by HTTP clients, so they cannot submit or upload", "use POST, PUT, PATCH or DELETE";
    BadPrefix = 524, "bad prefix", "a path prefix does not begin with a slash or holds a blank, ? or #", "write a path such as /orders";
    ValueTooLarge = 525, "value too large", "a published value would reach 1 MB", "split the service or the tenant";
    BaseMissing = 526, "base version missing", "accept was given neither a previous artefact nor a base version", "give --previous, or --base none for the first version";
    BaseMismatch = 527, "base version differs", "the base version is not that of the previous artefact", "take the newest artefact and review the difference again";
    Refused = 528, "change refused", "the generated version breaks an invariant of the configuration", "see the 4xx code in the message";
    BadArtefact = 529, "bad artefact", "the previous artefact is damaged", "take the artefact from where it was published";
    TooManyTargets = 530, "too many targets", "the target series ask for more targets than the questionnaire may hold", "lower the count";
    SkewTooLarge = 531, "clock skew too large", "the clocks differ by as much as keys are remembered", "write a lower skew or leave it out";
}

impl DiagnosticCode {
    /// Returns the number shown to operators.
    pub const fn number(self) -> u16 {
        self as u16
    }
}

impl fmt::Display for DiagnosticCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number(), self.label())
    }
}

/// An error with its location in a questionnaire.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Diagnostic {
    /// Kind of the error.
    pub code: DiagnosticCode,
    /// Path of the file; empty when the answers were not read from a file.
    pub file: Arc<str>,
    /// Line, counted from 1; 0 when the location is unknown.
    pub line: u64,
    /// Column, counted from 1; 0 when the location is unknown.
    pub column: u64,
    /// Description of the error, with advice on how to fix it.
    pub message: String,
}

impl Diagnostic {
    pub(crate) fn new(
        code: DiagnosticCode,
        location: Location,
        message: impl Into<String>,
    ) -> Diagnostic {
        let (line, column) = (location.line(), location.column());
        Diagnostic { code, file: "".into(), line, column, message: message.into() }
    }

    pub(crate) fn without_location(code: DiagnosticCode, message: impl Into<String>) -> Diagnostic {
        Diagnostic::new(code, Location::UNKNOWN, message)
    }
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.file.is_empty() {
            write!(f, "{}:", self.file)?;
        }
        if self.line > 0 {
            write!(f, "{}:{}:", self.line, self.column)?;
        }
        if !self.file.is_empty() || self.line > 0 {
            f.write_str(" ")?;
        }
        write!(f, "{}: {}", self.code, self.message)
    }
}

/// All diagnostics of an operation, displayed one per line.
#[derive(Debug, Clone, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("{}", join_lines(items)))]
pub struct Diagnostics {
    /// Diagnostics ordered by line, column and code.
    pub items: Vec<Diagnostic>,
}

fn join_lines(diagnostics: &[Diagnostic]) -> String {
    let lines: Vec<String> = diagnostics.iter().map(Diagnostic::to_string).collect();
    lines.join("\n")
}

impl Diagnostics {
    pub(crate) fn with_file(mut diagnostics: Vec<Diagnostic>, file: &str) -> Diagnostics {
        let file: Arc<str> = file.into();
        for diagnostic in &mut diagnostics {
            diagnostic.file = file.clone();
        }
        diagnostics.sort_by_key(|diagnostic| (diagnostic.line, diagnostic.column, diagnostic.code));
        Diagnostics { items: merge_repeated(diagnostics) }
    }
}

impl From<Diagnostic> for Diagnostics {
    fn from(diagnostic: Diagnostic) -> Diagnostics {
        Diagnostics { items: vec![diagnostic] }
    }
}

/// Merges diagnostics that have the same code and location. A wrong step in a target series would
/// otherwise be reported once for each of its targets.
fn merge_repeated(diagnostics: Vec<Diagnostic>) -> Vec<Diagnostic> {
    let mut merged: Vec<(Diagnostic, usize)> = Vec::new();
    for diagnostic in diagnostics {
        let key = |diagnostic: &Diagnostic| (diagnostic.line, diagnostic.column, diagnostic.code);
        match merged.last_mut() {
            Some((last, repeats)) if diagnostic.line > 0 && key(last) == key(&diagnostic) => {
                *repeats += 1
            }
            _ => merged.push((diagnostic, 0)),
        }
    }
    let merge = |(mut diagnostic, repeats): (Diagnostic, usize)| {
        if repeats > 0 {
            diagnostic
                .message
                .push_str(&format!(" ({repeats} more like this at the same location)"));
        }
        diagnostic
    };
    merged.into_iter().map(merge).collect()
}
