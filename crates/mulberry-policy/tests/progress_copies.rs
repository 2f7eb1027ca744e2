//! Copies of open items' output: the standby holds what the owner had, or nothing of it.

use std::sync::Arc;

use indexmap::IndexMap;

use mulberry_policy::job_log::ItemOutput;
use mulberry_policy::progress_copies::CopySender;
use mulberry_policy::progress_copies::MAX_COPY_BYTES;
use mulberry_policy::progress_copies::ProgressCopies;
use mulberry_protocol::batch_job::CopyBatch;
use mulberry_protocol::batch_job::ResultState;
use mulberry_protocol::name::JobId;

/// An item at the owner: its name, its text, the chain of its runs, and whether it has ended.
#[derive(Clone, Copy)]
struct Item(&'static str, &'static str, u64, bool);

/// What becomes of a batch.
#[derive(Clone, Copy, PartialEq)]
enum Fate {
    Arrives,
    /// It is lost, and the sender knows.
    Lost,
    /// It arrives at a process that has just started again.
    AtRestarted,
}

struct Case {
    pattern: &'static str,
    /// What the owner holds at each copy, and what becomes of the batch.
    steps: &'static [(&'static [Item], Fate)],
    /// What the standby hands out: names and texts.
    held: &'static [(&'static str, &'static str)],
}

use Fate::Arrives;
use Fate::AtRestarted;
use Fate::Lost;

const CASES: &[Case] = &[
    Case {
        pattern: "output grows between copies",
        steps: &[
            (&[Item("a", "1", 0, false)], Arrives),
            (&[Item("a", "1\n2\n3", 0, false), Item("b", "x", 0, false)], Arrives),
        ],
        held: &[("a", "1\n2\n3"), ("b", "x")],
    },
    Case {
        pattern: "a listed item needs no copy any more",
        steps: &[
            (&[Item("a", "1", 0, false), Item("b", "x", 0, false)], Arrives),
            (&[Item("b", "x\ny", 0, false)], Arrives),
        ],
        held: &[("b", "x\ny")],
    },
    Case {
        pattern: "a batch is lost and everything is sent again",
        steps: &[
            (&[Item("a", "1", 0, false)], Arrives),
            (&[Item("a", "1\n2", 0, false)], Lost),
            (&[Item("a", "1\n2\n3", 0, false)], Arrives),
        ],
        held: &[("a", "1\n2\n3")],
    },
    Case {
        pattern: "the standby starts again between two copies",
        steps: &[
            (&[Item("a", "1", 0, false)], Arrives),
            (&[Item("a", "1\n2", 0, false)], AtRestarted),
            (&[Item("a", "1\n2\n3", 0, false)], Arrives),
        ],
        held: &[("a", "1\n2\n3")],
    },
    Case {
        pattern: "output is replaced by that of other runs: no text is joined of two",
        steps: &[
            (&[Item("a", "1\n2", 0, false)], Arrives),
            (&[Item("a", "9\n8\n7\n6", 1, false)], Arrives),
        ],
        held: &[("a", "9\n8\n7\n6")],
    },
    Case {
        pattern: "an item ends while results can't be written",
        steps: &[
            (&[Item("a", "1\n2", 0, false)], Arrives),
            (&[Item("a", "1\n2\n3", 0, true)], Arrives),
        ],
        held: &[("a", "1\n2\n3")],
    },
];

fn job() -> JobId {
    JobId::new("j")
}

fn next_batch(sender: &mut CopySender, term: u64, items: &[Item]) -> Option<CopyBatch> {
    let job = job();
    let names: Vec<Arc<str>> = items.iter().map(|i| Arc::from(i.0)).collect();
    let outputs = items.iter().zip(&names).map(|(item, name)| {
        let output = ItemOutput {
            item: name,
            text: item.1,
            events: 1,
            last_event: Some(item.1.len() as u64),
            generation: item.2,
            ended: item.3.then_some(ResultState::Completed),
        };
        (&job, output)
    });
    sender.next_batch(term, outputs)
}

fn texts(copies: &mut ProgressCopies, term: u64) -> IndexMap<String, String> {
    let handed = copies.drain_for_successor(term).into_iter().flat_map(|(_, items)| items);
    handed.map(|i| (i.item.to_string(), i.text)).collect()
}

#[test]
fn the_standby_holds_what_the_owner_had() {
    for case in CASES {
        let mut sender = CopySender::default();
        let mut copies = ProgressCopies::default();
        for (items, fate) in case.steps {
            let Some(batch) = next_batch(&mut sender, 3, items) else { continue };
            if *fate == AtRestarted {
                copies = ProgressCopies::default();
            }
            if *fate == Lost || !copies.apply(batch) {
                sender.reset();
            }
        }
        let held: IndexMap<String, String> =
            case.held.iter().map(|(name, text)| (name.to_string(), text.to_string())).collect();
        assert_eq!(texts(&mut copies, 4), held, "{}", case.pattern);
    }
}

#[test]
fn nothing_is_handed_out_while_the_sender_owns_the_jobs() {
    let mut copies = ProgressCopies::default();
    let batch = next_batch(&mut CopySender::default(), 3, &[Item("a", "1", 0, false)]).unwrap();
    assert!(copies.apply(batch));
    assert!(texts(&mut copies, 3).is_empty());
    assert_eq!(texts(&mut copies, 4).len(), 1);
    assert!(texts(&mut copies, 5).is_empty(), "handed out once");
}

#[test]
fn an_owner_that_lost_the_lease_leaves_no_copies_over_later_ones() {
    let mut copies = ProgressCopies::default();
    let mut old = CopySender::default();
    assert!(copies.apply(next_batch(&mut old, 3, &[Item("a", "1", 0, false)]).unwrap()));
    let mut new = CopySender::default();
    assert!(copies.apply(next_batch(&mut new, 4, &[Item("a", "9", 0, false)]).unwrap()));
    let late = next_batch(&mut old, 3, &[Item("a", "1\n2", 0, false)]).unwrap();
    assert!(!copies.apply(late));
    old.reset();
    let late = next_batch(&mut old, 3, &[Item("a", "1\n2", 0, false)]).unwrap();
    assert!(!copies.apply(late));
    assert_eq!(texts(&mut copies, 5).get("a").map(String::as_str), Some("9"));
}

#[test]
fn an_owner_that_has_not_heard_of_the_next_one_is_refused() {
    let mut copies = ProgressCopies::default();
    let mut old = CopySender::default();
    assert!(copies.apply(next_batch(&mut old, 3, &[Item("a", "1", 0, false)]).unwrap()));
    assert_eq!(texts(&mut copies, 4).len(), 1);
    for _ in 0..2 {
        assert!(!copies.apply(next_batch(&mut old, 3, &[Item("a", "1\n2", 0, false)]).unwrap()));
        old.reset();
    }
    assert!(texts(&mut copies, 5).is_empty(), "nothing is passed on twice");
}

#[test]
fn unchanged_output_is_not_sent_again() {
    let mut sender = CopySender::default();
    let items = [Item("a", "1", 0, false)];
    assert!(next_batch(&mut sender, 3, &items).is_some());
    assert_eq!(next_batch(&mut sender, 3, &items), None);
}

#[test]
fn a_first_copy_of_much_output_comes_in_parts() {
    let text: &'static str = "x".repeat(MAX_COPY_BYTES).leak();
    let items = [Item("a", text, 0, false), Item("b", text, 0, false)];
    let mut sender = CopySender::default();
    let mut copies = ProgressCopies::default();
    for _ in 0..2 {
        let batch = next_batch(&mut sender, 3, &items).unwrap();
        assert_eq!(batch.items.iter().map(|(_, copies)| copies.len()).sum::<usize>(), 1);
        assert!(copies.apply(batch));
    }
    assert_eq!(texts(&mut copies, 4).len(), 2);
}
