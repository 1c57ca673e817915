//! The linearizability check on handwritten histories: reads, writes with an unknown outcome, order
//! and replacement.

mod linearizability_script;

use grebepath_simulator::linearizability::{Answer, Base, Effect, Numbering, Reason};
use linearizability_script::{
    ACCEPTED, MOVED, Script, assert_linearizable, assert_violated, puts, script,
};

#[test]
fn accepted_writes_and_reads_in_order_are_linearizable() {
    assert_linearizable("nothing", script());
    assert_linearizable(
        "in turn",
        script()
            .read((1, 2), 0, "")
            .write((3, 5), "a", Some(0), "one", ACCEPTED(1))
            .read((6, 7), 1, "one")
            .write((8, 9), "b", None, "two", ACCEPTED(2))
            .read((10, 11), 2, "two"),
    );
    assert_linearizable(
        "a read sees a write that is not answered yet, another does not",
        script().write((1, 10), "a", None, "one", ACCEPTED(1)).read((2, 3), 0, "").read(
            (4, 5),
            1,
            "one",
        ),
    );
}

#[test]
fn reads_that_go_back_or_lose_a_write_are_detected() {
    assert_violated(
        "old state after an acceptance",
        Reason::Read,
        script().write((1, 2), "a", None, "one", ACCEPTED(1)).read((3, 4), 0, ""),
    );
    assert_violated(
        "back between two reads",
        Reason::Read,
        script().write((1, 10), "a", None, "one", ACCEPTED(1)).read((2, 3), 1, "one").read(
            (4, 5),
            0,
            "",
        ),
    );
    assert_violated(
        "another content",
        Reason::Read,
        script().write((1, 2), "a", None, "one", ACCEPTED(1)).read((3, 4), 1, "two"),
    );
    assert_violated(
        "two contents of one revision",
        Reason::TwoContents,
        script().write((1, 2), "a", None, "one", ACCEPTED(1)).read((3, 4), 1, "one").read(
            (3, 4),
            1,
            "two",
        ),
    );
    assert_violated(
        "a lost write, under the next revision",
        Reason::Read,
        script()
            .any((1, 2), "a", Base::default(), puts("y", "kept"), ACCEPTED(1))
            .write((3, 4), "b", None, "two", ACCEPTED(2))
            .read((5, 6), 2, "two"),
    );
    assert_violated(
        "a value from the future",
        Reason::Read,
        script().read((1, 2), 1, "one").write((3, 4), "a", None, "one", ACCEPTED(1)),
    );
}

#[test]
fn unknown_writes_may_take_effect_late_or_never() {
    let unknown =
        || script().write((1, 0), "a", Some(0), "one", Answer::Unknown).read((2, 3), 0, "");
    assert_linearizable("never", unknown().read((90, 91), 0, ""));
    assert_linearizable("late", unknown().read((90, 91), 1, "one"));
    assert_linearizable(
        "beaten",
        unknown().write((4, 5), "b", Some(0), "two", ACCEPTED(1)).read((6, 7), 1, "two"),
    );
    assert_violated(
        "on a base that was replaced",
        Reason::Read,
        unknown().write((4, 5), "b", Some(0), "two", ACCEPTED(1)).read((6, 7), 2, "one"),
    );
    assert_violated(
        "applied and undone",
        Reason::Read,
        unknown().read((4, 5), 1, "one").read((6, 7), 0, ""),
    );
    assert_violated(
        "before it was sent",
        Reason::Read,
        script().read((1, 2), 1, "one").write((3, 0), "a", None, "one", Answer::Unknown),
    );
    assert_violated(
        "twice",
        Reason::Read,
        script()
            .write((1, 0), "a", None, "one", Answer::Unknown)
            .write((3, 4), "b", None, "two", ACCEPTED(2))
            .read((5, 6), 2, "two")
            .read((7, 8), 3, "one"),
    );
    assert_linearizable(
        "rejected, and applied by the next attempt",
        script().write((1, 2), "a", None, "one", Answer::Rejected).read((3, 4), 0, "").write(
            (5, 6),
            "a",
            None,
            "one",
            ACCEPTED(1),
        ),
    );
    assert_violated(
        "rejected but applied",
        Reason::Read,
        script().write((1, 2), "a", None, "one", Answer::Rejected).read((3, 4), 1, "one"),
    );
}

#[test]
fn order_follows_time_and_revisions_alike() {
    assert_violated(
        "a later write has a smaller revision",
        Reason::Acceptance,
        script().write((1, 2), "a", None, "one", ACCEPTED(2)).write(
            (3, 4),
            "b",
            None,
            "two",
            ACCEPTED(1),
        ),
    );
    assert_violated(
        "a revision that no request can have produced",
        Reason::Acceptance,
        script().write((1, 2), "a", None, "one", ACCEPTED(1)).write(
            (3, 4),
            "b",
            None,
            "two",
            ACCEPTED(3),
        ),
    );
    let mut rising = script()
        .write((1, 2), "a", None, "one", ACCEPTED(1))
        .write((3, 4), "b", None, "two", ACCEPTED(3))
        .read((5, 6), 4, "two")
        .write((7, 8), "c", Some(4), "three", ACCEPTED(5))
        .write((9, 10), "d", Some(5), "four", MOVED(6));
    rising.recorder.history_mut().numbering = Numbering::Rising;
    assert_linearizable("where others raise revisions too", rising);
    let mut rising = script()
        .write((1, 2), "a", None, "one", ACCEPTED(2))
        .read((3, 4), 3, "one")
        .read((5, 6), 2, "one");
    rising.recorder.history_mut().numbering = Numbering::Rising;
    assert_violated("a revision that decreases nevertheless", Reason::Read, rising);
}

#[test]
fn replacing_writes_keep_only_the_named_prefix() {
    let whole = Effect { replaces: true, keeps: Some("zone/".into()), ..puts("x", "new") };
    let base = Base::default();
    let begin = || {
        script()
            .any((1, 2), "a", base, puts("y", "gone"), ACCEPTED(1))
            .any((3, 4), "b", base, puts("zone/a", "drained"), ACCEPTED(2))
            .any((5, 6), "c", base, whole.clone(), ACCEPTED(3))
    };
    let seen = |mut s: Script, list: &[(&str, &str)]| {
        let number = s.recorder.send_read(7, "m");
        let objects = list.iter().map(|(k, v)| (k.to_string(), v.to_string())).collect();
        s.recorder.answer_read(8, number, (3, None), objects);
        s
    };
    assert_linearizable("as specified", seen(begin(), &[("x", "new"), ("zone/a", "drained")]));
    assert_violated(
        "all kept",
        Reason::Read,
        seen(begin(), &[("x", "new"), ("y", "gone"), ("zone/a", "drained")]),
    );
    assert_violated("nothing kept", Reason::Read, seen(begin(), &[("x", "new")]));
}
