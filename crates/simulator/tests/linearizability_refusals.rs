//! The linearizability check on handwritten histories: refusals, resent requests, and two requests
//! with the same base.

mod linearizability_script;

use grebepath_simulator::linearizability::{Answer, Base, Effect, Reason};
use linearizability_script::{ACCEPTED, MOVED, assert_linearizable, assert_violated, puts, script};

#[test]
fn refusals_require_another_version_to_have_been_current() {
    let first = || script().write((1, 2), "a", Some(0), "one", ACCEPTED(1));
    assert_linearizable("base was replaced", first().write((3, 4), "b", Some(0), "two", MOVED(1)));
    assert_linearizable("base was replaced concurrently", {
        script().write((1, 9), "a", Some(0), "one", ACCEPTED(1)).write(
            (2, 8),
            "b",
            Some(0),
            "two",
            MOVED(1),
        )
    });
    assert_violated(
        "base is current",
        Reason::Refusal,
        first().write((3, 4), "b", Some(1), "two", MOVED(0)),
    );
    assert_violated(
        "an old version is named",
        Reason::Refusal,
        first().write((3, 4), "b", Some(1), "two", ACCEPTED(2)).write(
            (5, 6),
            "c",
            Some(0),
            "three",
            MOVED(1),
        ),
    );
    assert_violated(
        "a version that never existed is named",
        Reason::Refusal,
        first().write((3, 4), "b", Some(0), "two", MOVED(7)),
    );
    assert_violated(
        "a version that came later is named",
        Reason::Refusal,
        first().write((3, 4), "b", Some(0), "two", MOVED(2)).write(
            (5, 6),
            "c",
            Some(1),
            "three",
            ACCEPTED(2),
        ),
    );
    assert_violated(
        "no base at all",
        Reason::Refusal,
        first().write((3, 4), "b", None, "two", MOVED(1)),
    );
    assert_linearizable(
        "explained by a write without a known outcome",
        script().write((1, 0), "a", Some(0), "one", Answer::Unknown).write(
            (3, 4),
            "b",
            Some(0),
            "two",
            MOVED(1),
        ),
    );
    assert_violated(
        "explained by a write that later proves not to have taken effect",
        Reason::Read,
        script()
            .write((1, 0), "a", Some(0), "one", Answer::Unknown)
            .write((3, 4), "b", Some(0), "two", MOVED(1))
            .read((5, 6), 0, ""),
    );
}

#[test]
fn a_resent_request_is_accepted_with_the_same_revision() {
    let first = || script().write((1, 2), "a", Some(0), "one", ACCEPTED(1));
    assert_linearizable("again", first().write((50, 51), "a", Some(0), "one", ACCEPTED(1)));
    assert_linearizable(
        "again after others",
        first()
            .write((3, 4), "b", Some(1), "two", ACCEPTED(2))
            .write((50, 51), "a", Some(0), "one", ACCEPTED(1))
            .read((52, 53), 2, "two"),
    );
    assert_violated(
        "under another revision",
        Reason::AcceptedTwice,
        first().write((50, 51), "a", Some(0), "one", ACCEPTED(2)),
    );
    assert_violated(
        "refused",
        Reason::RefusedAgain,
        first().write((50, 51), "a", Some(0), "one", MOVED(1)),
    );
    assert_violated(
        "found invalid",
        Reason::RefusedAgain,
        first().write((50, 51), "a", Some(0), "one", Answer::Invalid),
    );
    // The first answer was lost, but a read shows that the write took effect.
    let lost =
        || script().write((1, 0), "a", Some(0), "one", Answer::Unknown).read((3, 4), 1, "one");
    assert_linearizable(
        "lost, and accepted",
        lost().write((50, 51), "a", Some(0), "one", ACCEPTED(1)),
    );
    assert_violated(
        "lost, seen in effect, and refused",
        Reason::Refusal,
        lost().write((50, 51), "a", Some(0), "one", MOVED(1)),
    );
    assert_violated(
        "lost, seen in effect, and invalid",
        Reason::Refusal,
        lost().write((50, 51), "a", Some(0), "one", Answer::Invalid),
    );
    assert_violated(
        "lost, and applied a second time",
        Reason::Acceptance,
        script().write((1, 0), "a", None, "one", Answer::Unknown).read((3, 4), 1, "one").write(
            (5, 6),
            "a",
            None,
            "one",
            ACCEPTED(2),
        ),
    );
}

#[test]
fn at_most_one_of_two_writes_on_one_base_is_accepted() {
    assert_violated(
        "two texts on one revision",
        Reason::SharedBase,
        script().write((1, 4), "a", Some(0), "one", ACCEPTED(1)).write(
            (2, 3),
            "b",
            Some(0),
            "second",
            ACCEPTED(2),
        ),
    );
    assert_violated(
        "two requests of one text on one revision",
        Reason::SharedBase,
        script().write((1, 4), "a", Some(0), "one", ACCEPTED(1)).write(
            (2, 3),
            "b",
            Some(0),
            "one",
            ACCEPTED(2),
        ),
    );
    assert_violated(
        "one revision for both",
        Reason::SharedRevision,
        script().write((1, 4), "a", None, "one", ACCEPTED(1)).write(
            (2, 3),
            "b",
            None,
            "second",
            ACCEPTED(1),
        ),
    );
    assert_violated(
        "two texts under one id",
        Reason::SharedId,
        script().write((1, 2), "a", None, "one", ACCEPTED(1)).write(
            (3, 4),
            "a",
            None,
            "second",
            ACCEPTED(2),
        ),
    );
    assert_violated(
        "below its base",
        Reason::NotAboveBase,
        script().write((1, 2), "a", Some(5), "one", ACCEPTED(5)),
    );
    assert_violated(
        "on a base that is not current",
        Reason::Acceptance,
        script()
            .write((1, 2), "a", None, "one", ACCEPTED(1))
            .write((3, 4), "b", None, "two", ACCEPTED(2))
            .write((5, 6), "c", Some(1), "three", ACCEPTED(3)),
    );
    let on = |edition: u64, next: u64| {
        let base = Base { revision: None, edition: Some(edition) };
        (base, Effect { edition: Some(next), ..puts("x", &"v".repeat(next as usize)) })
    };
    let ((base, five), (_, seven)) = (on(0, 5), on(0, 7));
    assert_violated(
        "two on one edition",
        Reason::Acceptance,
        script().any((1, 4), "a", base, five.clone(), ACCEPTED(1)).any(
            (2, 3),
            "b",
            base,
            seven.clone(),
            ACCEPTED(2),
        ),
    );
    assert_linearizable(
        "one on an edition, the other refused with the current edition",
        script().any((1, 4), "a", base, five.clone(), ACCEPTED(1)).any(
            (2, 5),
            "b",
            base,
            seven.clone(),
            MOVED(5),
        ),
    );
    assert_violated(
        "refused with an edition that never existed",
        Reason::Refusal,
        script().any((1, 4), "a", base, five, ACCEPTED(1)).any((2, 5), "b", base, seven, MOVED(6)),
    );
}
