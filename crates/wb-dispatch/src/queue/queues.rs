//! The queues of all classes of a service.

use std::collections::BTreeMap;
use std::time::Duration;

use wb_types::id::CallerName;
use wb_types::id::ClassName;
use wb_types::id::Moment;
use wb_types::request::ExpectedDuration;

use super::QueueEntry;
use super::flow::Flow;
use crate::dispatch::RequestKey;

/// Cost of a long request in fair queueing; a short one costs 1.
const LONG_COST: f64 = 10.0;

fn cost(duration: ExpectedDuration) -> f64 {
    match duration {
        ExpectedDuration::Short => 1.0,
        ExpectedDuration::Long => LONG_COST,
    }
}

/// Queueing parameters of a row.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ClassParams {
    weight: f64,
    max_wait: Duration,
}

/// The queues of one class.
#[derive(Clone, Debug)]
struct ClassQueues {
    params: ClassParams,
    short: Flow,
    long: Flow,
}

impl ClassQueues {
    fn flow(&self, duration: ExpectedDuration) -> &Flow {
        match duration {
            ExpectedDuration::Short => &self.short,
            ExpectedDuration::Long => &self.long,
        }
    }

    fn flow_mut(&mut self, duration: ExpectedDuration) -> &mut Flow {
        match duration {
            ExpectedDuration::Short => &mut self.short,
            ExpectedDuration::Long => &mut self.long,
        }
    }
}

/// A dequeued request.
#[derive(Clone, Debug, PartialEq)]
pub struct Dequeued {
    /// Its queue entry.
    pub entry: QueueEntry,
    /// Its class.
    pub class: ClassName,
    /// Tag of its flow before it was dequeued.
    pub tag: f64,
}

/// Weighted fair queues of the classes of a service.
#[derive(Clone, Debug, Default)]
pub struct FairQueues {
    classes: BTreeMap<ClassName, ClassQueues>,
    virtual_time: f64,
}

impl FairQueues {
    /// Sets the weight and maximum wait of a class, and adds the class if it is new.
    pub fn set_class(&mut self, class: &ClassName, weight: u32, max_wait: Duration) {
        let params = ClassParams {
            weight: f64::from(weight.max(1)),
            max_wait,
        };
        if let Some(known) = self.classes.get_mut(class) {
            known.params = params;
            return;
        }
        let class_queues = ClassQueues {
            params,
            short: Flow::default(),
            long: Flow::default(),
        };
        self.classes.insert(class.clone(), class_queues);
    }

    /// Queues a request; `false` if its class was not set.
    pub fn push(
        &mut self,
        class: &ClassName,
        duration: ExpectedDuration,
        caller: CallerName,
        entry: QueueEntry,
    ) -> bool {
        let virtual_time = self.virtual_time;
        let Some(class) = self.classes.get_mut(class) else {
            return false;
        };
        let flow = class.flow_mut(duration);
        if flow.count() == 0 {
            flow.tag = flow.tag.max(virtual_time);
        }
        flow.push(caller, entry);
        true
    }

    /// Removes the next request of an expected duration, of the class with the lowest tag.
    pub fn pop(&mut self, duration: ExpectedDuration, now: Moment) -> Option<Dequeued> {
        let backlogged = self
            .classes
            .iter_mut()
            .filter(|(_, class)| class.flow(duration).count() > 0);
        let (name, class) = backlogged.min_by(|(_, a), (_, b)| {
            let (a, b) = (a.flow(duration).tag, b.flow(duration).tag);
            a.total_cmp(&b)
        })?;
        let params = class.params;
        let flow = class.flow_mut(duration);
        let entry = flow.pop(params.max_wait / 2, now)?;
        let tag = flow.tag;
        flow.tag = tag + cost(duration) / params.weight;
        let class = name.clone();
        self.virtual_time = self.virtual_time.max(tag);
        Some(Dequeued { entry, class, tag })
    }

    /// Puts back the request that was dequeued last and can't be assigned.
    pub fn requeue(&mut self, duration: ExpectedDuration, caller: CallerName, next: Dequeued) {
        let Some(class) = self.classes.get_mut(&next.class) else {
            return;
        };
        let flow = class.flow_mut(duration);
        flow.tag = next.tag;
        flow.push_front(caller, next.entry);
    }

    /// Lowest tag among the classes with queued requests of an expected duration.
    pub fn lowest_tag(&self, duration: ExpectedDuration) -> Option<f64> {
        let classes = self.classes.values().map(|class| class.flow(duration));
        let tags = classes.filter(|flow| flow.count() > 0).map(|flow| flow.tag);
        tags.min_by(f64::total_cmp)
    }

    /// Removes and returns all requests that have waited too long or reached their deadline.
    pub fn expire(&mut self, now: Moment) -> Vec<QueueEntry> {
        let mut expired = Vec::new();
        for class in self.classes.values_mut() {
            let max_wait = class.params.max_wait;
            class.short.expire(max_wait, now, &mut expired);
            class.long.expire(max_wait, now, &mut expired);
        }
        expired
    }

    /// Removes a request; `false` if it is not queued.
    pub fn remove(
        &mut self,
        class: &ClassName,
        duration: ExpectedDuration,
        key: RequestKey,
    ) -> bool {
        let class = self.classes.get_mut(class);
        class.is_some_and(|class| class.flow_mut(duration).remove(key))
    }

    /// Number of queued requests of an expected duration.
    pub fn queued(&self, duration: ExpectedDuration) -> usize {
        let classes = self.classes.values();
        classes.map(|class| class.flow(duration).count()).sum()
    }

    /// Number of queued requests of a class.
    pub fn queued_in_class(&self, class: &ClassName) -> usize {
        let class = self.classes.get(class);
        class.map_or(0, |class| class.short.count() + class.long.count())
    }
}
