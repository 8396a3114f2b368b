//! Questions to the advice service are distributed over the instances.

use std::time::Duration;

use azurepath_decide::batch::advice::{Dispatcher, Question};
use azurepath_decide::batch::order::Lateness;
use azurepath_decide::batch::{JobId, StepId};
use azurepath_decide::name::Name;
use azurepath_decide::time::Time;

fn question(job: u64, takes_ms: u64, priority: u32) -> Question {
    Question {
        step: StepId {
            job: JobId(job),
            step: 0,
        },
        workers: Vec::new(),
        takes: Duration::from_millis(takes_ms),
        lateness: Lateness::OnTime,
        priority,
    }
}

fn names(count: usize) -> Vec<Name> {
    (0..count)
        .map(|number| Name::from(format!("i{number}")))
        .collect()
}

#[test]
fn by_priority() {
    let mut dispatcher = Dispatcher::default();
    let now = Time::default();
    let instance = Name::from("a");
    dispatcher.mark_idle(&instance, now);
    dispatcher.add(question(1, 900, 0));
    dispatcher.add(question(2, 15, 2));
    dispatcher.add(question(3, 15, 0));
    let mut late = question(4, 15, 0);
    late.lateness = Lateness::Late;
    dispatcher.add(late);
    let mut order = Vec::new();
    while let Some(question) = dispatcher.take(&instance, now) {
        order.push(question.step.job.0);
    }
    // Among questions of the same rank, quick ones come first; those of late jobs come last.
    assert_eq!(order, [3, 1, 2, 4]);
}

#[test]
fn limited_slow_questions() {
    // Three of nine instances take no slow questions, so quick questions never wait for slow ones.
    let mut dispatcher = Dispatcher::default();
    let now = Time::default();
    let instances = names(9);
    for instance in &instances {
        dispatcher.mark_idle(instance, now);
    }
    for job in 0..20 {
        dispatcher.add(question(job, 900, 1));
    }
    let taken = instances
        .iter()
        .filter(|name| dispatcher.take(name, now).is_some());
    assert_eq!(taken.count(), 6);
    dispatcher.add(question(99, 15, 0));
    assert_eq!(
        dispatcher
            .take(&instances[8], now)
            .map(|question| question.step.job.0),
        Some(99)
    );
}

#[test]
fn lost_instances() {
    // An instance that does not return is no longer counted, nor is its slow question.
    let mut dispatcher = Dispatcher::default();
    let instances = names(3);
    let now = Time::default();
    for instance in &instances {
        dispatcher.mark_idle(instance, now);
    }
    for job in 0..9 {
        dispatcher.add(question(job, 900, 1));
    }
    assert!(dispatcher.take(&instances[0], now).is_some());
    assert!(dispatcher.take(&instances[1], now).is_some());
    assert!(dispatcher.take(&instances[2], now).is_none());
    let later = Time::from_millis(10_000);
    dispatcher.mark_idle(&instances[2], later);
    assert_eq!(dispatcher.instances(), 1);
    assert!(dispatcher.take(&instances[2], later).is_some());
}
