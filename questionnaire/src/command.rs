//! The `questionnaire` subcommands.

use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use fescuestack_core::{ConfigPart, VersionId};
use fescuestack_platform::encode_config;

use crate::accept::accept_after;
use crate::answers::Answers;
use crate::artefact::Artefact;
use crate::difference::describe_changes;
use crate::error::{Diagnostic, DiagnosticCode, Diagnostics};
use crate::fleet::{FleetSize, generate_fleet};
use crate::generate::{build_manifest, build_values, encode_parts, generate};
use crate::routes::{OmittedAnswer, build_route_table};

/// Checks questionnaires and generates the configuration from them.
#[derive(Debug, clap::Parser)]
pub struct QuestionnaireCommand {
    /// Subcommand to run.
    #[command(subcommand)]
    pub action: QuestionnaireAction,
}

/// The subcommands.
#[derive(Debug, clap::Subcommand)]
pub enum QuestionnaireAction {
    /// Reports all errors in a questionnaire.
    Check {
        /// Questionnaire in YAML.
        file: PathBuf,
    },
    /// Prints the configuration as JSON.
    Generate {
        /// Questionnaire in YAML.
        file: PathBuf,
        /// Output format.
        #[arg(long, value_enum, default_value_t = GeneratedForm::Parts)]
        form: GeneratedForm,
        /// Version number for the platform format. It must be greater than the number in use.
        #[arg(long, required_if_eq("form", "platform"))]
        as_version: Option<u64>,
    },
    /// Prints the differences between two configurations and the callers they affect.
    Diff {
        /// Questionnaire in YAML or artefact in JSON.
        old: PathBuf,
        /// Questionnaire in YAML or artefact in JSON.
        new: PathBuf,
    },
    /// Writes the artefact of the next version.
    Accept {
        /// Questionnaire in YAML.
        file: PathBuf,
        /// Artefact of the currently accepted version.
        #[arg(long)]
        previous: Option<PathBuf>,
        /// Version against which the change was reviewed, or `none` for the first version.
        #[arg(long, value_parser = parse_base)]
        base: Option<VersionId>,
        /// Output file; standard output by default.
        #[arg(long)]
        output: Option<PathBuf>,
    },
    /// Prints a generated questionnaire with 6 regions and 13 data centres.
    Fleet {
        /// Number of services.
        #[arg(long)]
        services: u32,
        /// Number of targets.
        #[arg(long)]
        targets: u32,
        /// Seed of the generator; equal seeds give equal questionnaires.
        #[arg(long)]
        seed: u64,
    },
}

/// Output format of a generated configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum GeneratedForm {
    /// Parts, manifest and pages, as read by the project's own nodes.
    Parts,
    /// The single value that operators write to the store of the users' platform. Answers that this
    /// format cannot express are listed on standard error.
    Platform,
}

/// Output of a subcommand.
#[derive(Debug, Default)]
struct CommandOutput {
    text: String,
    /// Warnings for standard error, which do not change the exit code.
    warnings: Vec<String>,
}

impl From<String> for CommandOutput {
    fn from(text: String) -> CommandOutput {
        CommandOutput { text, warnings: Vec::new() }
    }
}

fn parse_base(text: &str) -> Result<VersionId, String> {
    match text {
        "none" => Ok(VersionId::NONE),
        _ => VersionId::scan(text).ok_or_else(|| "expected <number>-<digest> or none".to_owned()),
    }
}

impl QuestionnaireCommand {
    /// Runs the command with standard output and standard error. Returns exit code 1 on errors.
    pub fn run(&self) -> ExitCode {
        self.run_with(&mut io::stdout().lock(), &mut io::stderr().lock())
    }

    /// Runs the command and writes results to `output`, warnings and errors to `errors`.
    pub fn run_with(&self, output: &mut impl Write, errors: &mut impl Write) -> ExitCode {
        let result = self.action.execute().and_then(|command_output| {
            for warning in &command_output.warnings {
                // A failure to write a warning does not fail the command.
                let _ = writeln!(errors, "{warning}");
            }
            let text = command_output.text.as_bytes();
            let result = match output.write_all(text).and_then(|()| output.flush()) {
                // Nobody reads the rest, as in `| head`.
                Err(err) if err.kind() == io::ErrorKind::BrokenPipe => Ok(()),
                result => result,
            };
            result.map_err(|err| io_diagnostic(Path::new("standard output"), &err).into())
        });
        match result {
            Ok(()) => ExitCode::SUCCESS,
            Err(diagnostics) => {
                // There is nowhere to report a failure to write to standard error.
                let _ = writeln!(errors, "{diagnostics}");
                ExitCode::FAILURE
            }
        }
    }
}

impl QuestionnaireAction {
    fn execute(&self) -> Result<CommandOutput, Diagnostics> {
        match self {
            QuestionnaireAction::Check { file } => {
                let answers = read_answers(file)?;
                let (tenants, services) = (&answers.tenants.value, &answers.services.value);
                let counts = format!("{} tenants, {} services", tenants.len(), services.len());
                Ok(format!("{}: no faults in {counts}\n", file.display()).into())
            }
            QuestionnaireAction::Generate { file, form: GeneratedForm::Parts, .. } => {
                generate_parts(file).map(CommandOutput::from)
            }
            QuestionnaireAction::Generate { file, form: GeneratedForm::Platform, as_version } => {
                // The argument parser requires `--as-version` for this format.
                generate_platform_config(file, as_version.unwrap_or_default())
            }
            QuestionnaireAction::Diff { old, new } => {
                let lines = describe_changes(&read_parts(old)?, &read_parts(new)?);
                let lines =
                    if lines.is_empty() { vec!["Nothing changes.".to_owned()] } else { lines };
                Ok(CommandOutput::from(lines.join("\n") + "\n"))
            }
            QuestionnaireAction::Accept { file, previous, base, output } => {
                accept_file(file, previous.as_deref(), *base, output.as_deref())
                    .map(CommandOutput::from)
            }
            QuestionnaireAction::Fleet { services, targets, seed } => {
                let size = FleetSize::new(*services, *targets);
                Ok(generate_fleet(size, *seed).to_yaml().into())
            }
        }
    }
}

fn generate_parts(file: &Path) -> Result<String, Diagnostics> {
    let contents = encode_parts(&generate(&read_answers(file)?)?);
    let values = build_values(&contents, &build_manifest(&contents));
    Ok(Artefact { values }.to_json())
}

fn generate_platform_config(file: &Path, version: u64) -> Result<CommandOutput, Diagnostics> {
    let answers = read_answers(file)?;
    let (table, omitted) = build_route_table(&answers, version);
    let file = file.display();
    let warning =
        |omitted: &OmittedAnswer| format!("{file}:{}: left out: {}", omitted.line, omitted.message);
    let warnings = omitted.iter().map(warning).collect();
    Ok(CommandOutput { text: encode_config(&table) + "\n", warnings })
}

fn accept_file(
    file: &Path,
    previous: Option<&Path>,
    base: Option<VersionId>,
    output: Option<&Path>,
) -> Result<String, Diagnostics> {
    let answers = read_answers(file)?;
    let previous = previous.map(read_artefact).transpose()?;
    let base = match (&previous, base) {
        (_, Some(base)) => base,
        (Some(artefact), None) => artefact.version()?,
        (None, None) => {
            let message =
                "give --previous ARTEFACT, or --base VERSION (none for the first version)";
            return Err(Diagnostic::without_location(DiagnosticCode::BaseMissing, message).into());
        }
    };
    let artefact = accept_after(&answers, base, previous.as_ref())?;
    let Some(output) = output else { return Ok(artefact.to_json()) };
    let changes = match &previous {
        Some(previous) => describe_changes(&previous.parts()?, &artefact.parts()?),
        None => Vec::new(),
    };
    fs::write(output, artefact.to_json()).map_err(|err| io_diagnostic(output, &err))?;
    let changes: String = changes.iter().map(|line| format!("{line}\n")).collect();
    Ok(format!("{changes}{} accepted as {}\n", file.display(), artefact.version()?))
}

fn read_file(file: &Path) -> Result<String, Diagnostics> {
    fs::read_to_string(file).map_err(|err| io_diagnostic(file, &err).into())
}

fn read_answers(file: &Path) -> Result<Answers, Diagnostics> {
    Answers::parse(&file.display().to_string(), &read_file(file)?)
}

fn read_artefact(file: &Path) -> Result<Artefact, Diagnostics> {
    Artefact::parse(&read_file(file)?).map_err(|diagnostic| with_file(diagnostic, file))
}

fn read_parts(file: &Path) -> Result<Vec<ConfigPart>, Diagnostics> {
    if file.extension().is_some_and(|extension| extension == "json") {
        read_artefact(file)?.parts().map_err(|diagnostic| with_file(diagnostic, file))
    } else {
        generate(&read_answers(file)?).map_err(|diagnostic| with_file(diagnostic, file))
    }
}

fn with_file(diagnostic: Diagnostic, file: &Path) -> Diagnostics {
    Diagnostics::with_file(vec![diagnostic], &file.display().to_string())
}

fn io_diagnostic(file: &Path, err: &io::Error) -> Diagnostic {
    let message = format!("{}: {err}", file.display());
    Diagnostic::without_location(DiagnosticCode::FileUnreadable, message)
}
