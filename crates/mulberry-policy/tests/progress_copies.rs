//! Tests of the replication of partial output: the standby holds an item's output as the owner had
//! it, or none of it.

use std::sync::Arc;

use indexmap::IndexMap;

use mulberry_policy::item_state::ItemOutput;
use mulberry_policy::progress_copies::CopySender;
use mulberry_policy::progress_copies::MAX_COPY_BYTES;
use mulberry_policy::progress_copies::ProgressCopies;
use mulberry_protocol::batch_job::CopyBatch;
use mulberry_protocol::batch_job::ResultState;
use mulberry_protocol::name::JobId;

/// An item at the owner: its name, its text, the generation of the text, and whether it has ended.
#[derive(Clone, Copy)]
struct Item(&'static str, &'static str, u64, bool);

/// How a batch is delivered.
#[derive(Clone, Copy, PartialEq)]
enum Delivery {
    /// The batch arrives at the standby.
    Arrives,
    /// The batch is lost, and the sender knows of it.
    Lost,
    /// The batch arrives at a standby that has just restarted.
    AtRestarted,
}

struct Case {
    name: &'static str,
    /// The owner's items at each copy, and how the batch is delivered.
    steps: &'static [(&'static [Item], Delivery)],
    /// Names and texts of the copies that the standby holds at the end.
    held: &'static [(&'static str, &'static str)],
}

use Delivery::Arrives;
use Delivery::AtRestarted;
use Delivery::Lost;

const CASES: &[Case] = &[
    Case {
        name: "output grows between copies",
        steps: &[
            (&[Item("a", "1", 0, false)], Arrives),
            (&[Item("a", "1\n2\n3", 0, false), Item("b", "x", 0, false)], Arrives),
        ],
        held: &[("a", "1\n2\n3"), ("b", "x")],
    },
    Case {
        name: "the copy of a listed item is dropped",
        steps: &[
            (&[Item("a", "1", 0, false), Item("b", "x", 0, false)], Arrives),
            (&[Item("b", "x\ny", 0, false)], Arrives),
        ],
        held: &[("b", "x\ny")],
    },
    Case {
        name: "a batch is lost and everything is sent again",
        steps: &[
            (&[Item("a", "1", 0, false)], Arrives),
            (&[Item("a", "1\n2", 0, false)], Lost),
            (&[Item("a", "1\n2\n3", 0, false)], Arrives),
        ],
        held: &[("a", "1\n2\n3")],
    },
    Case {
        name: "the standby restarts between two copies",
        steps: &[
            (&[Item("a", "1", 0, false)], Arrives),
            (&[Item("a", "1\n2", 0, false)], AtRestarted),
            (&[Item("a", "1\n2\n3", 0, false)], Arrives),
        ],
        held: &[("a", "1\n2\n3")],
    },
    Case {
        name: "output replaced by that of other runs is not joined with it",
        steps: &[
            (&[Item("a", "1\n2", 0, false)], Arrives),
            (&[Item("a", "9\n8\n7\n6", 1, false)], Arrives),
        ],
        held: &[("a", "9\n8\n7\n6")],
    },
    Case {
        name: "an item ends while results cannot be written",
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
            origin: None,
            generation: item.2,
            ended: item.3.then_some(ResultState::Completed),
        };
        (&job, output)
    });
    sender.next_batch(term, outputs)
}

fn texts(copies: &mut ProgressCopies, term: u64) -> IndexMap<String, String> {
    let drained = copies.drain_for_successor(term).into_iter().flat_map(|(_, items)| items);
    drained.map(|i| (i.item.to_string(), i.text)).collect()
}

#[test]
fn the_standby_holds_the_output_that_the_owner_had() {
    for case in CASES {
        let mut sender = CopySender::default();
        let mut copies = ProgressCopies::default();
        for (items, delivery) in case.steps {
            let Some(batch) = next_batch(&mut sender, 3, items) else { continue };
            if *delivery == AtRestarted {
                copies = ProgressCopies::default();
            }
            if *delivery == Lost || !copies.apply(batch) {
                sender.reset();
            }
        }
        let held: IndexMap<String, String> =
            case.held.iter().map(|(item, text)| (item.to_string(), text.to_string())).collect();
        assert_eq!(texts(&mut copies, 4), held, "{}", case.name);
    }
}

#[test]
fn copies_are_kept_while_the_sender_owns_the_jobs() {
    let mut copies = ProgressCopies::default();
    let batch = next_batch(&mut CopySender::default(), 3, &[Item("a", "1", 0, false)]).unwrap();
    assert!(copies.apply(batch));
    assert!(texts(&mut copies, 3).is_empty());
    assert_eq!(texts(&mut copies, 4).len(), 1);
    assert!(texts(&mut copies, 5).is_empty(), "copies are drained once");
}

#[test]
fn an_owner_that_lost_the_lease_does_not_replace_copies_of_the_next_one() {
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
fn an_owner_is_refused_once_its_copies_went_to_the_next_one() {
    let mut copies = ProgressCopies::default();
    let mut old = CopySender::default();
    assert!(copies.apply(next_batch(&mut old, 3, &[Item("a", "1", 0, false)]).unwrap()));
    assert_eq!(texts(&mut copies, 4).len(), 1);
    for _ in 0..2 {
        assert!(!copies.apply(next_batch(&mut old, 3, &[Item("a", "1\n2", 0, false)]).unwrap()));
        old.reset();
    }
    assert!(texts(&mut copies, 5).is_empty(), "no copy is drained twice");
}

#[test]
fn unchanged_output_is_not_sent_again() {
    let mut sender = CopySender::default();
    let items = [Item("a", "1", 0, false)];
    assert!(next_batch(&mut sender, 3, &items).is_some());
    assert_eq!(next_batch(&mut sender, 3, &items), None);
}

#[test]
fn a_large_first_copy_is_split_into_batches() {
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
