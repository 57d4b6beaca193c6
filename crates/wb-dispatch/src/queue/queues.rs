//! All queues of a service.

use std::collections::BTreeMap;
use std::time::Duration;

use wb_types::id::CallerName;
use wb_types::id::ClassName;
use wb_types::id::Moment;
use wb_types::request::ExpectedDuration;

use super::QueueEntry;
use super::flow::Flow;
use crate::dispatch::RequestKey;

/// What a piece of long work costs a class, in pieces of short work.
const LONG_COST: f64 = 10.0;

fn cost(length: ExpectedDuration) -> f64 {
    match length {
        ExpectedDuration::Short => 1.0,
        ExpectedDuration::Long => LONG_COST,
    }
}

/// What a queue needs to know of a row.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Terms {
    weight: f64,
    wait: Duration,
}

/// The queues of one class.
#[derive(Clone, Debug)]
struct Class {
    terms: Terms,
    short: Flow,
    long: Flow,
}

impl Class {
    fn flow(&self, length: ExpectedDuration) -> &Flow {
        match length {
            ExpectedDuration::Short => &self.short,
            ExpectedDuration::Long => &self.long,
        }
    }

    fn flow_mut(&mut self, length: ExpectedDuration) -> &mut Flow {
        match length {
            ExpectedDuration::Short => &mut self.short,
            ExpectedDuration::Long => &mut self.long,
        }
    }
}

/// Work that comes off a queue.
#[derive(Clone, Debug, PartialEq)]
pub struct Dequeued {
    /// The work.
    pub entry: QueueEntry,
    /// Its class.
    pub class: ClassName,
    /// Tag at which it was served.
    pub tag: f64,
}

/// Weighted fair queues over the classes of a service.
#[derive(Clone, Debug, Default)]
pub struct FairQueues {
    classes: BTreeMap<ClassName, Class>,
    clock: f64,
}

impl FairQueues {
    /// Sets the weight and longest wait of a class.
    pub fn set_class(&mut self, class: &ClassName, weight: u32, wait: Duration) {
        let terms = Terms {
            weight: f64::from(weight.max(1)),
            wait,
        };
        if let Some(known) = self.classes.get_mut(class) {
            known.terms = terms;
            return;
        }
        let class_queues = Class {
            terms,
            short: Flow::default(),
            long: Flow::default(),
        };
        self.classes.insert(class.clone(), class_queues);
    }

    /// Queues work of a class that was set.
    pub fn push(
        &mut self,
        class: &ClassName,
        length: ExpectedDuration,
        caller: CallerName,
        waiting: QueueEntry,
    ) -> bool {
        let clock = self.clock;
        let Some(class) = self.classes.get_mut(class) else {
            return false;
        };
        let flow = class.flow_mut(length);
        if flow.count() == 0 {
            flow.tag = flow.tag.max(clock);
        }
        flow.push(caller, waiting);
        true
    }

    /// Takes the next work of a length: of the class with the lowest tag.
    pub fn pop(&mut self, length: ExpectedDuration, now: Moment) -> Option<Dequeued> {
        let busy = self
            .classes
            .iter_mut()
            .filter(|(_, class)| class.flow(length).count() > 0);
        let (name, class) = busy.min_by(|(_, a), (_, b)| {
            let (a, b) = (a.flow(length).tag, b.flow(length).tag);
            a.total_cmp(&b)
        })?;
        let terms = class.terms;
        let flow = class.flow_mut(length);
        let entry = flow.pop(terms.wait / 2, now)?;
        let tag = flow.tag;
        flow.tag = tag + cost(length) / terms.weight;
        let class = name.clone();
        self.clock = self.clock.max(tag);
        Some(Dequeued { entry, class, tag })
    }

    /// Puts work back that came off last and could not be placed.
    pub fn requeue(&mut self, length: ExpectedDuration, caller: CallerName, next: Dequeued) {
        let Some(class) = self.classes.get_mut(&next.class) else {
            return;
        };
        let flow = class.flow_mut(length);
        flow.tag = next.tag;
        flow.push_front(caller, next.entry);
    }

    /// Lowest tag among the classes with waiting work of a length.
    pub fn lowest_tag(&self, length: ExpectedDuration) -> Option<f64> {
        let classes = self.classes.values().map(|class| class.flow(length));
        let tags = classes.filter(|flow| flow.count() > 0).map(|flow| flow.tag);
        tags.min_by(f64::total_cmp)
    }

    /// Takes out all work that has waited too long.
    pub fn expire(&mut self, now: Moment) -> Vec<QueueEntry> {
        let mut out = Vec::new();
        for class in self.classes.values_mut() {
            let wait = class.terms.wait;
            class.short.expire(wait, now, &mut out);
            class.long.expire(wait, now, &mut out);
        }
        out
    }

    /// Takes out one piece of work.
    pub fn remove(&mut self, class: &ClassName, length: ExpectedDuration, key: RequestKey) -> bool {
        let class = self.classes.get_mut(class);
        class.is_some_and(|class| class.flow_mut(length).remove(key))
    }

    /// Requests of a length that wait.
    pub fn queued(&self, length: ExpectedDuration) -> usize {
        let classes = self.classes.values();
        classes.map(|class| class.flow(length).count()).sum()
    }

    /// Requests of a class that wait.
    pub fn queued_in_class(&self, class: &ClassName) -> usize {
        let class = self.classes.get(class);
        class.map_or(0, |class| class.short.count() + class.long.count())
    }
}
