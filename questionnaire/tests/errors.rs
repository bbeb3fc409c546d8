//! Compares the tables in `docs/errors.md` with the codes.

use std::collections::BTreeMap;

use fescuestack_core::ResultCode;
use fescuestack_questionnaire::DiagnosticCode;

const ERRORS_PAGE: &str = include_str!("../../docs/errors.md");

/// Parses the tables of the page: section, label, meaning and remedy by number.
fn parse_rows() -> BTreeMap<u16, (u16, &'static str, &'static str, &'static str)> {
    let mut rows = BTreeMap::new();
    let mut section = 0;
    for line in ERRORS_PAGE.lines() {
        if let Some(title) = line.strip_prefix("## ") {
            section = title[..1].parse().unwrap();
        }
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        let Some(Ok(number)) = cells.get(1).map(|cell| cell.parse()) else { continue };
        let &[_, _, label, meaning, remedy, _] = &cells[..] else { panic!("cells of {line}") };
        let previous = rows.insert(number, (section, label, meaning, remedy));
        assert!(previous.is_none(), "{number} occurs twice");
    }
    rows
}

/// The page must list exactly the codes in use, with the same labels, meanings and remedies.
#[test]
fn page_lists_every_code() {
    let mut rows = parse_rows();
    for code in ResultCode::ALL {
        let row = rows.remove(&code.number()).unwrap_or_else(|| panic!("{code} is missing"));
        assert_eq!((row.0, row.1, row.2), (code.number() / 100, code.label(), code.meaning()));
        assert!(!row.3.is_empty(), "{code} has no remedy");
    }
    for code in DiagnosticCode::ALL {
        let row = rows.remove(&code.number()).unwrap_or_else(|| panic!("{code} is missing"));
        assert_eq!(row, (5, code.label(), code.meaning(), code.remedy()));
    }
    // The codes of settings, platform and peers are enums of other crates, which have their own tests.
    rows.retain(|number, _| *number < 600);
    assert!(rows.is_empty(), "no code for {rows:?}");
}
