//! Tests of the table of lost requests and of the causes of losses.

use fescuestack_operators::LossTable;
use fescuestack_routing::{AttemptEnd, LatencyBreakdown, LossCause};

const LOG: &str = r#"
{"data_centre":"north","level":"INFO","node":"n1","text":"node started","time":"2026-01-02T03:04:05.006Z"}
{"attempts":"a Busy","cause":"queue-full","fault":"NotRun { retry_after: ClockSpan(90) }","route":"r1","text":"request not served","time":"2026-01-02T03:04:07.100Z"}
{"cause":"queue-full","fault":"NotRun { retry_after: ClockSpan(90) }","route":"r1","text":"request not served","time":"2026-01-02T03:04:07.200Z"}
{"cause":"lost-on-link","fault":"Lost","route":"r2","text":"request not served","time":"2026-01-02T03:04:08.200Z"}
{"cause":"slow-target","route":"r2","status":200,"text":"request answered late or with a failure","time":"2026-01-02T03:04:09.000Z"}
{"cause":"target-failed","route":"r2","status":500,"text":"request answered late or with a failure","time":"2026-01-02T03:04:09.500Z"}
{"text":"node lost","node":"10.0.0.1:1"}
not a line of a node
"#;

/// Guards against losses that are counted twice or not at all.
#[test]
fn each_loss_is_counted_once() {
    let mut table = LossTable::new();
    table.read_log("n1", LOG.as_bytes()).expect("bytes can be read");
    let text = table.to_string();
    let row = |name: &str| {
        let line = text.lines().find(|line| line.starts_with(name)).expect(name);
        let numbers = line[24..].split_whitespace().filter_map(|word| word.parse().ok());
        numbers.collect::<Vec<u64>>()
    };
    assert_eq!(row("queue-full"), [2, 0, 0]);
    assert_eq!(row("lost-on-link"), [0, 1, 0]);
    assert_eq!(row("slow-target"), [0, 0, 1]);
    assert_eq!(row("target-failed"), [0, 1, 0]);
    assert_eq!(row("r2"), [0, 2, 1]);
    assert_eq!(row("north"), [2, 2, 1]);
    assert_eq!(row("03:04:07"), [2, 0, 0]);
    assert!(!text.contains("could not be read"), "{text}");
}

/// Guards against losses in collected logs that are assigned to no data centre, because the node name before
/// a line is ignored.
#[test]
fn prefix_names_the_node() {
    let mut table = LossTable::new();
    let log: String = LOG
        .lines()
        .filter(|line| line.starts_with('{'))
        .map(|line| format!("  1.25 n1 {line}\n"))
        .collect();
    table.read_log("all.log", log.as_bytes()).expect("bytes can be read");
    assert!(table.to_string().contains("north"), "{table}");
}

/// Guards against losses with an unknown cause that disappear from the table without a notice.
#[test]
fn unknown_cause_is_reported() {
    let mut table = LossTable::new();
    let line = r#"{"cause":"bad luck","fault":"Lost","text":"request not served"}"#;
    table.read_log("n1", line.as_bytes()).expect("bytes can be read");
    assert!(table.to_string().contains("1 lines could not be read"), "{table}");
}

/// Guards against cause labels that are written to logs but cannot be parsed.
#[test]
fn labels_can_be_parsed() {
    for cause in LossCause::ALL {
        assert_eq!(LossCause::from_label(cause.label()), Some(cause));
    }
}

/// Guards against a loss that is attributed to its last refusal although an earlier attempt may have run.
#[test]
fn cause_follows_from_the_attempts() {
    let refused = AttemptEnd::Refused { retry_after: Default::default() };
    let cases = [
        (&[][..], LossCause::NoTarget),
        (&[AttemptEnd::Busy, refused], LossCause::QueueFull),
        (&[AttemptEnd::Lost, refused], LossCause::LostAtTarget),
        (&[AttemptEnd::LinkLost], LossCause::LostOnLink),
        (&[AttemptEnd::Moved], LossCause::FormerTarget),
        (&[AttemptEnd::Busy, AttemptEnd::NotSent], LossCause::NodeUnreachable),
        (&[AttemptEnd::Rejected], LossCause::TargetRejected),
    ];
    for (ends, cause) in cases {
        assert_eq!(LossCause::from_attempts(ends), cause, "{ends:?}");
    }
}

/// Guards against late responses that are attributed to the wrong phase of the call.
#[test]
fn late_response_is_attributed_to_the_largest_part() {
    let times = |soft_timeout, before_last_attempt, queued, total| LatencyBreakdown {
        soft_timeout,
        before_last_attempt,
        queued,
        total,
    };
    assert_eq!(times(400, 10, 20, 300).lateness_cause(), None);
    assert_eq!(times(0, 10, 20, 300).lateness_cause(), Some(LossCause::CameBackLate));
    assert_eq!(times(200, 150, 20, 300).lateness_cause(), Some(LossCause::SeveralAttempts));
    assert_eq!(times(200, 10, 180, 300).lateness_cause(), Some(LossCause::LongWait));
    assert_eq!(times(200, 10, 20, 300).lateness_cause(), Some(LossCause::SlowTarget));
}
