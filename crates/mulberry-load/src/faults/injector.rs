//! Injects faults at random times drawn from the seed. Faults may overlap and repeat. At the end,
//! ends all faults and restarts all stopped processes.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use mulberry_ctl::CtlContext;
use mulberry_ctl::CtlError;
use mulberry_ctl::bundle::check::check_text;
use mulberry_ctl::bundle::roll::roll;
use mulberry_ctl::bundle::sign_off::sign_off;
use mulberry_ctl::bundle::submit::submit;
use mulberry_policy::fault_injection::InjectedFault;
use mulberry_standin::engine::EngineFaults;
use mulberry_standin::object_api::ObjectApiFaults;
use mulberry_standin::service::ServiceFaults;
use mulberry_trial::fleet::Fleet;
use mulberry_trial::plan::AUTHOR;
use mulberry_trial::plan::SAMPLE_BUNDLE;
use mulberry_trial::plan::SIGNER;

use super::CRASH_MARK;
use super::FaultPlan;
use super::journal::Journal;
use super::journal::PeriodKind;
use super::journal::RollLog;
use super::journal::unix_ms;
use crate::error::LoadError;

/// Interval between checks for due actions.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Mean interval between faults, in milliseconds.
const MEAN_FAULT_INTERVAL_MS: f64 = 700.0;

/// Duration of a phase with all kinds of faults, in milliseconds.
const FAULT_PHASE_MS: u64 = 5_000;

/// Duration of a phase with planned stops only, in milliseconds.
const PLANNED_PHASE_MS: u64 = 5_000;

/// Mean interval between rolls, in milliseconds.
const MEAN_ROLL_INTERVAL_MS: f64 = 2_500.0;

/// Action that ends a fault or planned stop.
enum Recovery {
    RestartSide(String),
    RestartEntry(String),
    /// Restarts a process once its planned stop is complete.
    RestartStopped {
        done: Rc<Cell<bool>>,
        name: String,
        is_entry: bool,
    },
    HealStore,
    HealEngine(usize),
    HealService(usize),
    HealVmList,
    /// Only ends the period; the fault ends by itself.
    EndPeriod,
}

/// A scheduled action and the index of the period that it ends.
struct PendingRecovery {
    at: Instant,
    recovery: Recovery,
    period: usize,
}

struct Injector<'a> {
    fleet: Fleet,
    journal: &'a Rc<Journal>,
    plan: &'a FaultPlan,
    rng: ChaCha8Rng,
    pending: Vec<PendingRecovery>,
    store_faulty: bool,
    rolls: u64,
}

/// Injects faults and rolls for the planned time, ends all faults, and returns the deployment.
pub(super) async fn inject(
    fleet: Fleet,
    plan: &FaultPlan,
    journal: &Rc<Journal>,
) -> Result<Fleet, LoadError> {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    rng.set_stream(400);
    let mut injector =
        Injector { fleet, journal, plan, rng, pending: Vec::new(), store_faulty: false, rolls: 0 };
    let started = Instant::now();
    let end = started + Duration::from_secs(plan.seconds);
    let mut next_fault = Instant::now() + injector.draw_delay(MEAN_FAULT_INTERVAL_MS);
    let mut next_roll = Instant::now() + injector.draw_delay(MEAN_ROLL_INTERVAL_MS);
    while Instant::now() < end {
        tokio::time::sleep(TICK_INTERVAL).await;
        injector.run_due_recoveries(false)?;
        if Instant::now() >= next_fault {
            // Phases that have planned stops but no faults test the guarantees that hold while
            // nothing fails.
            let since = started.elapsed().as_millis() as u64;
            let planned_only = since % (FAULT_PHASE_MS + PLANNED_PHASE_MS) >= FAULT_PHASE_MS;
            injector.inject_random_fault(planned_only).await;
            next_fault = Instant::now() + injector.draw_delay(MEAN_FAULT_INTERVAL_MS);
        }
        if Instant::now() >= next_roll {
            injector.start_rolls();
            next_roll = Instant::now() + injector.draw_delay(MEAN_ROLL_INTERVAL_MS);
        }
    }
    // Ends all faults at once, but waits for planned stops to complete.
    while !injector.pending.is_empty() {
        injector.run_due_recoveries(true)?;
        tokio::time::sleep(TICK_INTERVAL).await;
    }
    injector.heal_store();
    Ok(injector.fleet)
}

async fn roll_one(author: &CtlContext, signer: &CtlContext, text: String) -> Result<u64, CtlError> {
    let checked = check_text(text, "trial bundle")?;
    let digest = submit(author, &checked).await?;
    sign_off(signer, &digest).await?;
    roll(author, &digest).await
}

impl Injector<'_> {
    fn draw_delay(&mut self, mean_ms: f64) -> Duration {
        let delay_ms = -mean_ms * (1.0 - self.rng.random::<f64>()).ln();
        Duration::from_millis(delay_ms as u64 + 50)
    }

    fn schedule(&mut self, duration_ms: std::ops::Range<u64>, recovery: Recovery, period: usize) {
        let duration = Duration::from_millis(self.rng.random_range(duration_ms));
        self.pending.push(PendingRecovery { at: Instant::now() + duration, recovery, period });
    }

    fn run_due_recoveries(&mut self, all: bool) -> Result<(), LoadError> {
        let mut kept = Vec::new();
        for pending in std::mem::take(&mut self.pending) {
            let not_due = match &pending.recovery {
                Recovery::RestartStopped { done, .. } => !done.get(),
                _ => pending.at > Instant::now() && !all,
            };
            if not_due {
                kept.push(pending);
                continue;
            }
            match pending.recovery {
                Recovery::RestartSide(name) => self.fleet.restart_side(&name)?,
                Recovery::RestartEntry(name) => self.fleet.restart_entry(&name)?,
                Recovery::RestartStopped { name, is_entry: true, .. } => {
                    self.fleet.restart_entry(&name)?
                }
                Recovery::RestartStopped { name, is_entry: false, .. } => {
                    self.fleet.restart_side(&name)?
                }
                Recovery::HealStore => self.heal_store(),
                Recovery::HealEngine(index) => self.set_engine_faults(index, 0),
                Recovery::HealService(index) => {
                    self.set_service_faults(index, ServiceFaults::default())
                }
                Recovery::HealVmList => self.fleet.update_vm_list(),
                Recovery::EndPeriod => {}
            }
            self.journal.end_period(pending.period);
        }
        self.pending.append(&mut kept);
        Ok(())
    }

    fn heal_store(&mut self) {
        self.store_faulty = false;
        self.set_store_faults(ObjectApiFaults::default());
    }

    fn set_store_faults(&self, faults: ObjectApiFaults) {
        let ignore_conditions = self.plan.injected == Some(InjectedFault::UnconditionalWrites);
        self.fleet.object_api.set_faults(ObjectApiFaults { ignore_conditions, ..faults });
    }

    fn set_engine_faults(&self, index: usize, slow_percent: u32) {
        if let Some(engine) = self.fleet.engines().get(index) {
            let crash_on = CRASH_MARK.to_owned();
            engine.set_faults(EngineFaults { crash_on, slow_percent, ..EngineFaults::default() });
        }
    }

    fn set_service_faults(&self, index: usize, faults: ServiceFaults) {
        if let Some(service) = self.fleet.services().get(index) {
            service.set_faults(faults);
        }
    }

    async fn inject_random_fault(&mut self, planned_only: bool) {
        let drawn = self.rng.random_range(0..14);
        match if planned_only { 2 + drawn % 5 } else { drawn } {
            0 => self.kill_side().await,
            1 => self.kill_entry().await,
            2 | 3 => self.stop_sides(1),
            4 => self.stop_sides(2),
            5 | 6 => self.stop_entry(),
            7 => self.crash_engine(),
            8 => self.slow_engine(),
            9 => self.break_service(),
            10 => self.pause_entry(),
            11 => self.pause_side(),
            12 => self.break_vm_list(),
            _ => self.break_store(),
        }
    }

    fn running_sides(&self) -> Vec<String> {
        let running = self.fleet.sides.iter().filter(|(_, s)| s.process.is_some());
        running.map(|(name, _)| name.clone()).collect()
    }

    fn running_entries(&self) -> Vec<String> {
        let running = self.fleet.entries.iter().filter(|(_, e)| e.process.is_some());
        running.map(|(name, _)| name.clone()).collect()
    }

    /// Returns a random running side of a service that has another one running.
    fn pick_side(&mut self) -> Option<String> {
        let running = self.running_sides();
        let service = |name: &str| name.rsplit_once('-').map(|(s, _)| s.to_owned());
        let spare: Vec<&String> = running
            .iter()
            .filter(|n| running.iter().filter(|o| service(o) == service(n)).count() > 1)
            .collect();
        if spare.is_empty() {
            return None;
        }
        Some(spare[self.rng.random_range(0..spare.len())].clone())
    }

    /// Returns a random running entry if at least two run.
    fn pick_entry(&mut self) -> Option<String> {
        let running = self.running_entries();
        if running.len() < 2 {
            return None;
        }
        Some(running[self.rng.random_range(0..running.len())].clone())
    }

    async fn kill_side(&mut self) {
        let Some(name) = self.pick_side() else { return };
        let period = self.journal.begin_period(PeriodKind::Fault, format!("kill side {name}"));
        self.fleet.kill_side(&name).await;
        self.schedule(500..2_500, Recovery::RestartSide(name), period);
    }

    async fn kill_entry(&mut self) {
        let Some(name) = self.pick_entry() else { return };
        let period = self.journal.begin_period(PeriodKind::Fault, format!("kill {name}"));
        self.fleet.kill_entry(&name).await;
        self.schedule(500..2_500, Recovery::RestartEntry(name), period);
    }

    fn stop_sides(&mut self, count: usize) {
        for _ in 0..count {
            let Some(name) = self.pick_side() else { return };
            let Some(process) = self.fleet.take_side(&name) else { return };
            let what = format!("stop side {name}");
            let period = self.journal.begin_period(PeriodKind::PlannedStop, what);
            let done = Rc::new(Cell::new(false));
            let ended = done.clone();
            actix_rt::spawn(async move {
                process.stop().await;
                ended.set(true);
            });
            let recovery = Recovery::RestartStopped { done, name, is_entry: false };
            self.schedule(0..1, recovery, period);
        }
    }

    fn stop_entry(&mut self) {
        let Some(name) = self.pick_entry() else { return };
        let Some(process) = self.fleet.take_entry(&name) else { return };
        let period = self.journal.begin_period(PeriodKind::PlannedStop, format!("stop {name}"));
        let done = Rc::new(Cell::new(false));
        let ended = done.clone();
        actix_rt::spawn(async move {
            process.stop().await;
            ended.set(true);
        });
        self.schedule(0..1, Recovery::RestartStopped { done, name, is_entry: true }, period);
    }

    fn crash_engine(&mut self) {
        let engines = self.fleet.engines();
        let index = self.rng.random_range(0..engines.len());
        let period = self.journal.begin_period(PeriodKind::Fault, format!("crash engine {index}"));
        engines[index].crash();
        self.schedule(400..401, Recovery::EndPeriod, period);
    }

    fn slow_engine(&mut self) {
        let index = self.rng.random_range(0..self.fleet.engines().len());
        let period = self.journal.begin_period(PeriodKind::Fault, format!("slow engine {index}"));
        self.set_engine_faults(index, 400);
        self.schedule(500..2_500, Recovery::HealEngine(index), period);
    }

    fn break_service(&mut self) {
        let index = self.rng.random_range(0..self.fleet.services().len());
        let drop_answers = self.rng.random_bool(0.5);
        let delay_ms = if drop_answers { 0 } else { 400 };
        let what = format!("service {index}: drops {drop_answers}, delay {delay_ms} ms");
        let period = self.journal.begin_period(PeriodKind::Fault, what);
        self.set_service_faults(index, ServiceFaults { delay_ms, drop_answers });
        self.schedule(300..1_500, Recovery::HealService(index), period);
    }

    fn pause_entry(&mut self) {
        let Some(name) = self.pick_entry() else { return };
        let duration_ms = self.rng.random_range(800..3_000);
        let what = format!("pause control of {name} for {duration_ms} ms");
        let period = self.journal.begin_period(PeriodKind::Fault, what);
        if let Some(process) = self.fleet.entries.get(&name).and_then(|e| e.process.as_ref()) {
            process.pause(Duration::from_millis(duration_ms));
        }
        self.schedule(duration_ms..duration_ms + 1, Recovery::EndPeriod, period);
    }

    fn pause_side(&mut self) {
        let Some(name) = self.pick_side() else { return };
        let duration_ms = self.rng.random_range(500..2_500);
        let what = format!("pause control of side {name} for {duration_ms} ms");
        let period = self.journal.begin_period(PeriodKind::Fault, what);
        if let Some(process) = self.fleet.sides.get(&name).and_then(|s| s.process.as_ref()) {
            process.pause(Duration::from_millis(duration_ms));
        }
        self.schedule(duration_ms..duration_ms + 1, Recovery::EndPeriod, period);
    }

    fn break_vm_list(&mut self) {
        let period = self.journal.begin_period(PeriodKind::Fault, "VM list forgets half");
        let vms = self.fleet.vm_list.visible();
        let kept = vms.into_iter().enumerate().filter(|(i, _)| i % 2 == 0).map(|(_, vm)| vm);
        self.fleet.vm_list.set(kept.collect());
        self.schedule(1_000..4_000, Recovery::HealVmList, period);
    }

    fn break_store(&mut self) {
        if self.store_faulty {
            return;
        }
        let none = ObjectApiFaults::default;
        let (what, faults) = match self.rng.random_range(0..6) {
            0 => ("outage", ObjectApiFaults { outage: true, ..none() }),
            1 => ("slow", ObjectApiFaults { slow_ms: 300, ..none() }),
            2 => ("lost answers", ObjectApiFaults { lose_answer_in: 2, ..none() }),
            3 => {
                let faults = ObjectApiFaults { writes_per_s: 5, reads_per_s: 20, ..none() };
                ("rates", faults)
            }
            4 => ("compacted watches", ObjectApiFaults { compact_watches: true, ..none() }),
            // Dropped watches make every process read again, and so see the old versions.
            _ => {
                let stale = ObjectApiFaults { stale_reads: true, compact_watches: true, ..none() };
                ("old versions", stale)
            }
        };
        let period = self.journal.begin_period(PeriodKind::Fault, format!("store: {what}"));
        self.store_faulty = true;
        self.set_store_faults(faults);
        self.schedule(500..4_000, Recovery::HealStore, period);
    }

    /// Starts a roll of a new version, or sometimes two rolls that race.
    fn start_rolls(&mut self) {
        let rolls = if self.rng.random_bool(0.3) { 2 } else { 1 };
        for _ in 0..rolls {
            self.rolls += 1;
            let version = format!("2026-12-02.{}", self.rolls);
            let text = SAMPLE_BUNDLE
                .replace("2026-12-01", &version)
                .replace("version = \"3\"", &format!("version = \"3.{}\"", self.rolls));
            let author = self.fleet.operator_context(AUTHOR);
            let signer = self.fleet.operator_context(SIGNER);
            let journal = self.journal.clone();
            actix_rt::spawn(async move {
                match roll_one(&author, &signer, text).await {
                    Ok(number) => {
                        journal.rolls.borrow_mut().push(RollLog { number, at_ms: unix_ms() });
                    }
                    // A refused or lost roll is only recorded; the operator rolls again later.
                    Err(e) => journal.refused_rolls.borrow_mut().push(e.to_string()),
                }
            });
        }
    }
}
