//! Chunks of a job under two owners, one of which may be paused and unaware.

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
struct JobWorld {
    job: Job,
    version: u32,
    chunks: [Option<usize>; CHUNKS as usize],
    overwritten: bool,
    ended_twice: bool,
    ended_short: bool,
    loads_left: u32,
    losses_left: u32,
    owners: [Option<Owner>; OWNERS],
    conditional: bool,
}

#[derive(Debug, Clone, Default)]
struct Owner {
    queue: JobQueue,
    calls: Vec<JobAction>,
    /// Version and state of the job that an end was decided on.
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

fn new_job_world(conditional: bool) -> JobWorld {
    JobWorld {
        job: new_job(),
        version: 0,
        chunks: [None; CHUNKS as usize],
        overwritten: false,
        ended_twice: false,
        ended_short: false,
        loads_left: 3,
        losses_left: 1,
        owners: [None, None],
        conditional,
    }
}

fn job_steps(world: &JobWorld) -> Vec<JobWorld> {
    let mut next = Vec::new();
    if world.job.state == JobState::Open {
        let mut cancelled = world.clone();
        cancelled.job.state = JobState::Cancelling;
        cancelled.version += 1;
        next.push(cancelled);
    }
    for index in 0..OWNERS {
        if world.loads_left > 0 && !world.job.state.is_final() {
            next.push(load(world, index));
        }
        if let Some(owner) = &world.owners[index] {
            if world.job.state == JobState::Cancelling {
                let mut seen = world.clone();
                seen.owners[index].as_mut().unwrap().queue.cancel(&world.job.id);
                next.push(seen);
            }
            next.extend(run_one(world, index));
            let mut ticked = world.clone();
            let state = ticked.owners[index].as_mut().unwrap();
            let calls = state.queue.tick();
            state.calls.extend(calls);
            next.push(ticked);
            for call in 0..owner.calls.len() {
                next.extend(make_call(world, index, call));
            }
        }
    }
    next
}

/// An owner takes the job over, from the chunks that it sees committed.
fn load(world: &JobWorld, index: usize) -> JobWorld {
    let mut loaded = world.clone();
    loaded.loads_left -= 1;
    let committed: Vec<u32> = (0..CHUNKS).filter(|c| world.chunks[*c as usize].is_some()).collect();
    let mut owner = Owner::default();
    owner.queue.add(world.job.clone(), &committed);
    loaded.owners[index] = Some(owner);
    loaded
}

/// An owner's side runs one item.
fn run_one(world: &JobWorld, index: usize) -> Option<JobWorld> {
    let mut ran = world.clone();
    let queue = &mut ran.owners[index].as_mut()?.queue;
    let service = "copywriter".into();
    let offer = PullRequest { service: &service, models: &[], max_items: 1 };
    let key = queue.take(&offer, Millis(0)).pop()?;
    let end = ItemEnd::Answered { status: 200, body: serde_json::Value::Null };
    queue.note_item(&key, Ok(end), Millis(0));
    Some(ran)
}

/// The store takes one of an owner's calls, and its answer arrives or is lost.
fn make_call(world: &JobWorld, index: usize, call: usize) -> Vec<JobWorld> {
    let mut done = world.clone();
    let owner = done.owners[index].as_mut().unwrap();
    let action = owner.calls.remove(call);
    match action.clone() {
        JobAction::OpenChunk { job, chunk } => {
            owner.queue.note_chunk_opened(&job, chunk, vec!["x".to_owned()], false);
            vec![done]
        }
        JobAction::CommitChunk { job, chunk, .. } => {
            let slot = &mut done.chunks[chunk as usize];
            match (*slot, world.conditional) {
                (None, _) => *slot = Some(index),
                (Some(_), true) => {}
                (Some(before), false) => {
                    done.overwritten |= before != index;
                    *slot = Some(index);
                }
            }
            let mut lost = done.clone();
            owner_of(&mut done, index).queue.note_chunk_committed(&job, chunk);
            let mut next = vec![done];
            if lost.losses_left > 0 {
                lost.losses_left -= 1;
                owner_of(&mut lost, index).calls.push(action);
                next.push(lost);
            }
            next
        }
        JobAction::EndJob { job } => end_job(world, done, index, &job),
    }
}

fn owner_of(world: &mut JobWorld, index: usize) -> &mut Owner {
    world.owners[index].as_mut().unwrap()
}

/// Ends a job in two steps, so that a cancel may come between the read and the write.
fn end_job(
    world: &JobWorld,
    mut done: JobWorld,
    index: usize,
    job: &mulberry_protocol::name::JobId,
) -> Vec<JobWorld> {
    let read = world.owners[index].as_ref().unwrap().read;
    let Some((version, state)) = read else {
        let seen = (world.version, world.job.state);
        let owner = owner_of(&mut done, index);
        owner.read = Some(seen);
        owner.calls.push(JobAction::EndJob { job: job.clone() });
        return vec![done];
    };
    let current = world.version == version || !world.conditional;
    let owner = owner_of(&mut done, index);
    owner.read = None;
    if state.is_final() {
        owner.queue.remove(job);
    } else if current {
        owner.queue.remove(job);
        done.ended_twice |= world.job.state.is_final();
        done.ended_short |= world.chunks.iter().any(Option::is_none);
        done.version += 1;
        done.job.state = match state {
            JobState::Cancelling => JobState::Cancelled,
            _ => JobState::Completed,
        };
    } else {
        owner.queue.note_end_failed(job);
    }
    vec![done]
}

fn job_problem(world: &JobWorld) -> Option<&'static str> {
    if world.overwritten {
        Some("a committed chunk changed")
    } else if world.ended_twice {
        Some("a job ended twice")
    } else if world.ended_short {
        Some("a job ended without all of its chunks")
    } else {
        None
    }
}

#[test]
fn chunks_and_ends_hold_under_two_owners_a_cancel_and_a_lost_answer() {
    let (states, problem) = explore(new_job_world(true), job_steps, job_problem);
    assert_eq!(problem, None);
    assert!(states > 1_000, "only {states} states");
}

#[test]
fn without_conditions_the_exploration_finds_the_fault() {
    let (_, problem) = explore(new_job_world(false), job_steps, job_problem);
    assert!(problem.is_some());
}
