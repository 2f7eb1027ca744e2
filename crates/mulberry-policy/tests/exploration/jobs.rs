//! Model of a job with two owners, one of which may be paused and not know that it was replaced.

use mulberry_policy::job_queue::JobAction;
use mulberry_policy::job_queue::JobQueue;
use mulberry_policy::job_queue::PullRequest;
use mulberry_protocol::digest::Digest;
use mulberry_protocol::job::ItemEnd;
use mulberry_protocol::job::Job;
use mulberry_protocol::job::JobState;
use mulberry_protocol::time::Millis;

use crate::explore;

const OWNERS: usize = 2;
const CHUNKS: u32 = 2;

#[derive(Debug, Clone)]
struct JobModel {
    job: Job,
    version: u32,
    chunks: [Option<usize>; CHUNKS as usize],
    overwritten: bool,
    ended_twice: bool,
    ended_incomplete: bool,
    /// Number of times that an owner may still take over the job.
    loads_left: u32,
    /// Number of responses that may still be lost.
    losses_left: u32,
    owners: [Option<Owner>; OWNERS],
    /// Whether the store checks the conditions of writes; if not, the model must find a fault.
    conditional: bool,
}

#[derive(Debug, Clone, Default)]
struct Owner {
    queue: JobQueue,
    calls: Vec<JobAction>,
    /// Version and state of the job as read before its end is written.
    read: Option<(u32, JobState)>,
}

fn new_job() -> Job {
    Job {
        id: "a".into(),
        client: "kavka".into(),
        input: "file".into(),
        digest: Digest::of(b""),
        path: "/v1/completions".to_owned(),
        service: "copywriter".into(),
        model: None,
        idempotent: true,
        items: CHUNKS,
        chunk_items: 1,
        created_at_s: 0,
        due_at_s: 1,
        state: JobState::Open,
        completed: 0,
        failed: 0,
        cancelled_by: None,
        metadata: Vec::new(),
    }
}

fn new_job_model(conditional: bool) -> JobModel {
    JobModel {
        job: new_job(),
        version: 0,
        chunks: [None; CHUNKS as usize],
        overwritten: false,
        ended_twice: false,
        ended_incomplete: false,
        loads_left: 3,
        losses_left: 1,
        owners: [None, None],
        conditional,
    }
}

fn job_steps(model: &JobModel) -> Vec<JobModel> {
    let mut next = Vec::new();
    if model.job.state == JobState::Open {
        let mut cancelled = model.clone();
        cancelled.job.state = JobState::Cancelling;
        cancelled.version += 1;
        next.push(cancelled);
    }
    for index in 0..OWNERS {
        if model.loads_left > 0 && !model.job.state.is_final() {
            next.push(load(model, index));
        }
        if let Some(owner) = &model.owners[index] {
            if model.job.state == JobState::Cancelling {
                let mut seen = model.clone();
                seen.owners[index].as_mut().unwrap().queue.cancel(&model.job.id);
                next.push(seen);
            }
            next.extend(run_item(model, index));
            let mut ticked = model.clone();
            let state = ticked.owners[index].as_mut().unwrap();
            let calls = state.queue.tick();
            state.calls.extend(calls);
            next.push(ticked);
            for call in 0..owner.calls.len() {
                next.extend(make_call(model, index, call));
            }
        }
    }
    next
}

/// An owner takes over the job, given the chunks that are committed.
fn load(model: &JobModel, index: usize) -> JobModel {
    let mut loaded = model.clone();
    loaded.loads_left -= 1;
    let committed: Vec<u32> = (0..CHUNKS).filter(|c| model.chunks[*c as usize].is_some()).collect();
    let mut owner = Owner::default();
    owner.queue.add(model.job.clone(), &committed);
    loaded.owners[index] = Some(owner);
    loaded
}

/// A side runs one item for an owner.
fn run_item(model: &JobModel, index: usize) -> Option<JobModel> {
    let mut ran = model.clone();
    let queue = &mut ran.owners[index].as_mut()?.queue;
    let service = "copywriter".into();
    let offer = PullRequest { service: &service, models: &[], max_items: 1 };
    let key = queue.take(&offer, Millis(0)).pop()?;
    let end = ItemEnd::Answered { status: 200, body: serde_json::Value::Null };
    queue.record_item_end(&key, Ok(end), Millis(0));
    Some(ran)
}

/// The store executes one of an owner's calls, and its response arrives or is lost.
fn make_call(model: &JobModel, index: usize, call: usize) -> Vec<JobModel> {
    let mut done = model.clone();
    let owner = done.owners[index].as_mut().unwrap();
    let action = owner.calls.remove(call);
    match action.clone() {
        JobAction::OpenChunk { job, chunk } => {
            owner.queue.record_chunk_opened(&job, chunk, vec!["x".to_owned()], false);
            vec![done]
        }
        JobAction::CommitChunk { job, chunk, .. } => {
            let slot = &mut done.chunks[chunk as usize];
            match (*slot, model.conditional) {
                (None, _) => *slot = Some(index),
                (Some(_), true) => {}
                (Some(before), false) => {
                    done.overwritten |= before != index;
                    *slot = Some(index);
                }
            }
            let mut lost = done.clone();
            owner_of(&mut done, index).queue.record_chunk_committed(&job, chunk);
            let mut next = vec![done];
            if lost.losses_left > 0 {
                lost.losses_left -= 1;
                owner_of(&mut lost, index).calls.push(action);
                next.push(lost);
            }
            next
        }
        JobAction::EndJob { job } => end_job(model, done, index, &job),
    }
}

fn owner_of(model: &mut JobModel, index: usize) -> &mut Owner {
    model.owners[index].as_mut().unwrap()
}

/// Ends a job in two steps, a read and a write, between which a cancel may come.
fn end_job(
    model: &JobModel,
    mut done: JobModel,
    index: usize,
    job: &mulberry_protocol::name::JobId,
) -> Vec<JobModel> {
    let read = model.owners[index].as_ref().unwrap().read;
    let Some((version, state)) = read else {
        let seen = (model.version, model.job.state);
        let owner = owner_of(&mut done, index);
        owner.read = Some(seen);
        owner.calls.push(JobAction::EndJob { job: job.clone() });
        return vec![done];
    };
    let is_current = model.version == version || !model.conditional;
    let owner = owner_of(&mut done, index);
    owner.read = None;
    if state.is_final() {
        owner.queue.remove(job);
    } else if is_current {
        owner.queue.remove(job);
        done.ended_twice |= model.job.state.is_final();
        done.ended_incomplete |= model.chunks.iter().any(Option::is_none);
        done.version += 1;
        done.job.state = match state {
            JobState::Cancelling => JobState::Cancelled,
            _ => JobState::Completed,
        };
    } else {
        owner.queue.record_end_failed(job);
    }
    vec![done]
}

fn job_problem(model: &JobModel) -> Option<&'static str> {
    if model.overwritten {
        Some("a committed chunk changed")
    } else if model.ended_twice {
        Some("a job ended twice")
    } else if model.ended_incomplete {
        Some("a job ended without all of its chunks")
    } else {
        None
    }
}

#[test]
fn chunks_and_ends_are_consistent_with_two_owners_a_cancel_and_a_lost_response() {
    let (states, problem) = explore(new_job_model(true), job_steps, job_problem);
    assert_eq!(problem, None);
    assert!(states > 1_000, "only {states} states");
}

#[test]
fn the_exploration_finds_the_fault_of_unconditional_writes() {
    let (_, problem) = explore(new_job_model(false), job_steps, job_problem);
    assert!(problem.is_some());
}
