//! Which blocks of an event stream are passed on, where it begins and where another endpoint continues it.

use mulberry_policy::event_sequence::BlockForm;
use mulberry_policy::event_sequence::BlockVerdict;
use mulberry_policy::event_sequence::EventSequence;
use mulberry_policy::event_sequence::is_continuation;

struct Case {
    name: &'static str,
    /// Numbers of the first run's events.
    before: &'static [u64],
    form: BlockForm,
    number: Option<u64>,
    /// The verdict on the block within the first run, and at the beginning of the next one.
    verdicts: [BlockVerdict; 2],
}

const CASES: &[Case] = &[
    Case {
        name: "the next event",
        before: &[1, 2, 3],
        form: BlockForm::Event,
        number: Some(4),
        verdicts: [BlockVerdict::New, BlockVerdict::New],
    },
    Case {
        name: "the last event once more",
        before: &[1, 2, 3],
        form: BlockForm::Event,
        number: Some(3),
        verdicts: [BlockVerdict::Repeated, BlockVerdict::Repeated],
    },
    Case {
        name: "a gap, all numbers followed each other before",
        before: &[1, 2, 3],
        form: BlockForm::Event,
        number: Some(6),
        verdicts: [BlockVerdict::New, BlockVerdict::Gap],
    },
    Case {
        name: "a gap, numbers had gaps before",
        before: &[1, 4, 5],
        form: BlockForm::Event,
        number: Some(9),
        verdicts: [BlockVerdict::New, BlockVerdict::New],
    },
    Case {
        name: "a gap, too little is known",
        before: &[7],
        form: BlockForm::Event,
        number: Some(9),
        verdicts: [BlockVerdict::New, BlockVerdict::New],
    },
    Case {
        name: "an event without a number",
        before: &[1, 2],
        form: BlockForm::Event,
        number: None,
        verdicts: [BlockVerdict::New, BlockVerdict::Foreign],
    },
    Case {
        name: "a comment",
        before: &[1, 2],
        form: BlockForm::Comment,
        number: None,
        verdicts: [BlockVerdict::New, BlockVerdict::New],
    },
    Case {
        name: "plain text",
        before: &[1, 2],
        form: BlockForm::Malformed,
        number: None,
        verdicts: [BlockVerdict::Foreign, BlockVerdict::Foreign],
    },
    Case {
        name: "plain text beside a number",
        before: &[1, 2],
        form: BlockForm::Malformed,
        number: Some(3),
        verdicts: [BlockVerdict::Foreign, BlockVerdict::Foreign],
    },
    Case {
        name: "nothing has come: the next run begins anew",
        before: &[],
        form: BlockForm::Event,
        number: None,
        verdicts: [BlockVerdict::New, BlockVerdict::New],
    },
];

/// Guards against ORDER of issue 37: blocks that are no events of the stream, and missing ones.
#[test]
fn block_is_passed_on_only_if_it_belongs_to_the_stream() {
    for case in CASES {
        let mut sequence = EventSequence::new(false, None);
        for number in case.before {
            let verdict = sequence.judge(BlockForm::Event, Some(*number));
            assert_eq!(verdict, BlockVerdict::New, "{}", case.name);
        }
        let mut next_run = sequence;
        next_run.begin_run();
        let verdicts = [&mut sequence, &mut next_run].map(|s| s.judge(case.form, case.number));
        assert_eq!(verdicts, case.verdicts, "{}", case.name);
    }
}

#[test]
fn stream_that_its_caller_takes_up_has_only_numbered_events_after_the_callers_last_one() {
    for (form, number, verdict) in [
        (BlockForm::Event, Some(3), BlockVerdict::Repeated),
        (BlockForm::Event, Some(4), BlockVerdict::New),
        (BlockForm::Event, Some(9), BlockVerdict::New),
        (BlockForm::Event, None, BlockVerdict::Foreign),
    ] {
        assert_eq!(EventSequence::new(true, Some(3)).judge(form, number), verdict, "{number:?}");
    }
}

#[test]
fn only_a_whole_event_stream_continues_one() {
    let heads = [(200, true), (200, false), (204, true), (206, true), (500, true)];
    assert_eq!(heads.map(|(s, t)| is_continuation(s, t)), [true, false, false, false, false]);
}
