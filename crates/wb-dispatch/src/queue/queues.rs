//! The queues of all classes of a service.

use std::collections::BTreeMap;
use std::time::Duration;

use wb_share::FairClock;
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

/// A flow: a class and an expected duration.
type FlowKey = (ClassName, ExpectedDuration);

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
    clock: FairClock<FlowKey>,
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
        let Some(queues) = self.classes.get_mut(class) else {
            return false;
        };
        let flow = queues.flow_mut(duration);
        if flow.count() == 0 {
            self.clock.wake(&(class.clone(), duration));
        }
        flow.push(caller, entry);
        true
    }

    /// Removes the next request of an expected duration, of the class with the lowest tag.
    pub fn pop(&mut self, duration: ExpectedDuration, now: Moment) -> Option<Dequeued> {
        let class = self.next_class(duration)?;
        let queues = self.classes.get_mut(&class)?;
        let params = queues.params;
        let flow = queues.flow_mut(duration);
        let entry = flow.pop(params.max_wait / 2, now)?;
        let key = (class.clone(), duration);
        let tag = self.clock.charge(&key, cost(duration), params.weight);
        self.clock.advance(1);
        Some(Dequeued { entry, class, tag })
    }

    /// Puts back the request that was dequeued last and can't be assigned.
    pub fn requeue(&mut self, duration: ExpectedDuration, caller: CallerName, next: Dequeued) {
        let Some(queues) = self.classes.get_mut(&next.class) else {
            return;
        };
        let flow = queues.flow_mut(duration);
        flow.push_front(caller, next.entry);
        self.clock.set_tag(&(next.class, duration), next.tag);
    }

    /// Lowest tag among the classes with queued requests of an expected duration.
    pub fn lowest_tag(&self, duration: ExpectedDuration) -> Option<f64> {
        let class = self.next_class(duration)?;
        Some(self.clock.tag(&(class, duration)))
    }

    /// The class with the lowest tag among those with queued requests of an expected duration.
    fn next_class(&self, duration: ExpectedDuration) -> Option<ClassName> {
        let classes = self.classes.iter();
        let backlogged = classes.filter(|(_, class)| class.flow(duration).count() > 0);
        let tagged = backlogged.map(|(name, _)| {
            let tag = self.clock.tag(&(name.clone(), duration));
            (name, tag)
        });
        let lowest = tagged.min_by(|(_, a), (_, b)| a.total_cmp(b));
        lowest.map(|(name, _)| name.clone())
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
