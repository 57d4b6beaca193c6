//! Shares of teams where there is too little room. What callers get, on virtual time, against the
//! order of arrival at the same load.

mod support;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use support::USUAL;
use support::at;
use support::prove;
use support::request;
use support::service;
use wb_balance::AttemptOutcome;
use wb_balance::Balancer;
use wb_balance::Decision;
use wb_balance::Evidence;
use wb_balance::RequestInfo;
use wb_balance::ServerKey;
use wb_balance::TeamShare;
use wb_balance::WaitKey;
use wb_balance::balancer::Released;
use wb_types::id::Moment;

/// Step of the virtual time.
const STEP: Duration = Duration::from_millis(5);
/// Time budget of a request.
const TIME_BUDGET: Duration = Duration::from_secs(3);
/// Time in which a server sheds a request.
const SHED_TIME: Duration = Duration::from_millis(10);

/// A team, and the load that it sends.
#[derive(Clone, Debug)]
struct Team {
    name: String,
    weight: f64,
    priority: u8,
    /// Whether its requests name no team, as those on public routes.
    public: bool,
    /// Requests per second at a moment.
    rate: fn(f64, Moment) -> f64,
}

impl Team {
    /// A team that sends what it is due, `rate` requests a second.
    fn steady(name: &str, rate: f64) -> Self {
        Self {
            name: name.to_owned(),
            weight: rate,
            priority: 1,
            public: false,
            rate: |weight, _| weight,
        }
    }
}

/// What the callers of a team got.
#[derive(Clone, Debug, Default)]
struct Got {
    sent: usize,
    in_time: usize,
    served: usize,
    repeats: usize,
    refused_repeats: usize,
    waits: Vec<Duration>,
    /// For how long those that were refused in the end had been held.
    held: Vec<Duration>,
}

impl Got {
    fn share(&self) -> f64 {
        self.in_time as f64 / self.sent.max(1) as f64
    }

    fn wait(&self, quantile: f64) -> Duration {
        quantile_of(&self.waits, quantile)
    }
}

fn quantile_of(times: &[Duration], quantile: f64) -> Duration {
    let mut times = times.to_vec();
    times.sort();
    let index = (times.len() as f64 * quantile) as usize;
    times
        .get(index.min(times.len().saturating_sub(1)))
        .copied()
        .unwrap_or_default()
}

struct Running {
    server: ServerKey,
    request: RequestInfo,
    team: usize,
    end: Moment,
    shed: bool,
}

/// A load on one balancer.
struct Play {
    balancer: Balancer,
    teams: Vec<Team>,
    /// Whether requests name their teams; without, they are served as they arrive.
    named: bool,
    shed_share: f64,
    target_latency: Duration,
    random: StdRng,
    waiting: HashMap<WaitKey, (usize, RequestInfo, Moment)>,
    running: Vec<Running>,
    got: Vec<Got>,
}

impl Play {
    fn new(servers: usize, slots: u32, teams: &[Team], named: bool) -> Self {
        Self {
            balancer: service(servers, slots),
            teams: teams.to_vec(),
            named,
            shed_share: 0.0,
            target_latency: Duration::from_millis(1500),
            random: StdRng::seed_from_u64(7),
            waiting: HashMap::new(),
            running: Vec::new(),
            got: vec![Got::default(); teams.len()],
        }
    }

    fn run(&mut self, from: Moment, until: Moment) {
        let mut now = from;
        while now < until {
            self.step(now, true);
            now += STEP;
        }
    }

    /// Lets all requests end.
    fn finish(mut self, from: Moment) -> Vec<Got> {
        let mut now = from;
        while now < from + TIME_BUDGET * 2 {
            self.step(now, false);
            now += STEP;
        }
        assert_eq!(self.balancer.queued_count(), 0);
        self.got
    }

    fn step(&mut self, now: Moment, sending: bool) {
        let ended: Vec<Running> = self.running.extract_if(.., |one| one.end <= now).collect();
        for one in ended {
            self.end(one, now);
        }
        for released in self.balancer.release_queued(now) {
            self.released(released, now);
        }
        for team in 0..self.teams.len() {
            let of = &self.teams[team];
            let expected = (of.rate)(of.weight, now) * STEP.as_secs_f64();
            if sending && self.random.random_bool(expected.min(1.0)) {
                self.arrive(team, now);
            }
        }
    }

    fn arrive(&mut self, team: usize, now: Moment) {
        let of = &self.teams[team];
        let share = TeamShare {
            team: of.name.as_str().into(),
            weight: of.weight,
        };
        let request = RequestInfo {
            team: (self.named && !of.public).then_some(share),
            priority: of.priority,
            deadline: now + TIME_BUDGET,
            target_latency: self.target_latency,
            ..request(false, now)
        };
        self.got[team].sent += 1;
        let decision = self.balancer.admit(request.clone(), now);
        self.decided(decision, team, request, now);
    }

    fn decided(&mut self, decision: Decision, team: usize, request: RequestInfo, now: Moment) {
        match decision {
            Decision::Send(assignment) => self.start(assignment.key, team, request, now),
            Decision::Wait(key) => {
                self.waiting.insert(key, (team, request, now));
            }
            Decision::Refuse(_) => self.got[team].held.push(now - request.arrived),
        }
    }

    fn released(&mut self, released: Released, now: Moment) {
        let (team, request, since) = self.waiting.remove(&released.key).expect("it waited");
        match released.result {
            Ok(assignment) => {
                self.got[team].waits.push(now - since);
                self.start(assignment.key, team, request, now);
            }
            Err(_) => self.got[team].held.push(now - request.arrived),
        }
    }

    fn start(&mut self, server: ServerKey, team: usize, request: RequestInfo, now: Moment) {
        let shed = self.shed_share > 0.0 && self.random.random_bool(self.shed_share);
        let end = now + if shed { SHED_TIME } else { USUAL };
        self.running.push(Running {
            server,
            request,
            team,
            end,
            shed,
        });
    }

    fn end(&mut self, one: Running, now: Moment) {
        let Running {
            server,
            mut request,
            team,
            shed,
            ..
        } = one;
        if !shed {
            let outcome = AttemptOutcome::Success(USUAL);
            self.balancer.finish(server, "orders", outcome, now);
            let in_time = now <= request.arrived + request.target_latency;
            self.got[team].in_time += usize::from(in_time);
            self.got[team].served += 1;
            return;
        }
        self.balancer
            .finish(server, "orders", AttemptOutcome::Shed, now);
        request.attempts_left -= 1;
        request.tried.push(server);
        if request.attempts_left == 0 {
            self.got[team].held.push(now - request.arrived);
            return;
        }
        let decision = self.balancer.retry(request.clone(), now);
        let sent = !matches!(decision, Decision::Refuse(_));
        self.got[team].repeats += usize::from(sent);
        self.got[team].refused_repeats += usize::from(!sent);
        self.decided(decision, team, request, now);
    }
}

/// One team that sends seven times what it is due, and thirty small ones.
fn hot_and_small() -> Vec<Team> {
    let hot = Team {
        rate: |weight, _| weight * 7.0,
        ..Team::steady("hot", 20.0)
    };
    let small = (0..30).map(|index| Team::steady(&format!("small-{index}"), 2.0));
    std::iter::once(hot).chain(small).collect()
}

/// What the first team got, and all others together.
fn first_and_others(got: &[Got]) -> (Got, Got) {
    let mut others = Got::default();
    for one in &got[1..] {
        others.sent += one.sent;
        others.in_time += one.in_time;
        others.served += one.served;
        others.repeats += one.repeats;
        others.waits.extend(&one.waits);
        others.held.extend(&one.held);
    }
    (got[0].clone(), others)
}

fn report(load: &str, named: bool, got: &[Got]) -> (Got, Got) {
    let (hot, small) = first_and_others(got);
    let order = if named { "shares" } else { "first come" };
    let least = got[1..].iter().map(Got::share).fold(1.0, f64::min);
    for (name, of) in [("first", &hot), ("others", &small)] {
        println!(
            "{load}, {order}: {name}: {} of {} in time ({:.3}), {} repeats, wait p50 {:?} p95 {:?}, {} refused, held p25 {:?} p50 {:?} p95 {:?}",
            of.in_time,
            of.sent,
            of.share(),
            of.repeats,
            of.wait(0.5),
            of.wait(0.95),
            of.held.len(),
            quantile_of(&of.held, 0.25),
            quantile_of(&of.held, 0.5),
            quantile_of(&of.held, 0.95),
        );
    }
    println!("{load}, {order}: least of the others {least:.3}");
    (hot, small)
}

/// Plays a hot team and thirty small ones for ten seconds on slots for 100 requests a second; the teams
/// are due 80.
fn play_hot_team(named: bool) -> Vec<Got> {
    let mut play = Play::new(5, 6, &hot_and_small(), named);
    play.run(at(0), at(10_000));
    play.finish(at(10_000))
}

#[test]
fn hot_team_on_too_few_slots_leaves_the_small_ones_theirs() {
    let first_come = play_hot_team(false);
    let shared = play_hot_team(true);
    let (_, small_before) = report("hot team", false, &first_come);
    let (hot, small) = report("hot team", true, &shared);
    assert!(small_before.share() < 0.8, "there is room for all");
    assert!(small.share() >= 0.98, "{}", small.share());
    let least = shared[1..].iter().map(Got::share).fold(1.0, f64::min);
    assert!(least >= 0.9, "{least}");
    assert!(small.wait(0.95) <= USUAL, "{:?}", small.wait(0.95));
    // The hot team gets what it is due, and what the others leave.
    assert!(hot.in_time as f64 >= 0.95 * 380.0, "{}", hot.in_time);
    // No slot stays empty while somebody waits.
    let all: usize = shared.iter().map(|one| one.in_time).sum();
    assert!(all as f64 >= 0.98 * 1000.0, "{all} on slots for 1,000");
}

#[test]
fn hot_team_leaves_small_ones_theirs_on_servers_too_slow_for_the_latency_target() {
    let play = |named| {
        let mut play = Play::new(5, 6, &hot_and_small(), named);
        play.target_latency = USUAL - Duration::from_millis(50);
        play.run(at(0), at(20_000));
        play.finish(at(20_000))
    };
    let (first_come, shared) = (play(false), play(true));
    let (_, before) = first_and_others(&first_come);
    let (hot, small) = first_and_others(&shared);
    println!(
        "slow servers: small {} of {} (first come {}), wait p95 {:?}, hot {} of {}, held p50 {:?} p95 {:?}",
        small.served,
        small.sent,
        before.served,
        small.wait(0.95),
        hot.served,
        hot.sent,
        quantile_of(&hot.held, 0.5),
        quantile_of(&hot.held, 0.95),
    );
    assert!(small.served as f64 >= 0.98 * small.sent as f64);
    let all = (hot.served + small.served) as f64;
    assert!(all >= 0.98 * 2000.0, "{all} on slots for 2,000");
}

#[test]
fn hot_public_route_leaves_the_teams_theirs() {
    let mut teams = hot_and_small();
    teams[0].public = true;
    let mut play = Play::new(5, 6, &teams, true);
    play.run(at(0), at(10_000));
    let got = play.finish(at(10_000));
    let (public, small) = report("hot public route", true, &got);
    assert!(small.share() >= 0.98, "{}", small.share());
    let all = public.in_time + small.in_time;
    assert!(all as f64 >= 0.98 * 1000.0, "{all} on slots for 1,000");
}

#[test]
fn hot_team_learns_soon_that_there_is_no_room() {
    let (hot, _) = first_and_others(&play_hot_team(true));
    let half = quantile_of(&hot.held, 0.5);
    assert_eq!(half, Duration::ZERO, "half of them are refused at once");
    let longest = quantile_of(&hot.held, 0.95);
    assert!(longest <= Duration::from_millis(1600), "{longest:?}");
}

#[test]
fn teams_within_what_they_are_due_are_served_as_they_arrive() {
    let teams: Vec<Team> = (0..30)
        .map(|index| Team::steady(&format!("small-{index}"), 2.0))
        .collect();
    for named in [false, true] {
        let mut play = Play::new(5, 6, &teams, named);
        play.run(at(0), at(10_000));
        let got = play.finish(at(10_000));
        let served: usize = got.iter().map(|one| one.in_time).sum();
        let sent: usize = got.iter().map(|one| one.sent).sum();
        assert!(served >= sent - 2, "{served} of {sent}, named {named}");
    }
}

/// Plays the same teams while all servers shed half of what they get.
fn play_shedding(named: bool) -> Vec<Got> {
    let mut play = Play::new(20, 6, &hot_and_small(), named);
    play.run(at(0), at(5000));
    play.got = vec![Got::default(); play.teams.len()];
    play.shed_share = 0.5;
    play.run(at(5000), at(15_000));
    play.finish(at(15_000))
}

#[test]
fn small_teams_get_their_part_of_the_repeats_while_all_servers_shed() {
    let first_come = play_shedding(false);
    let shared = play_shedding(true);
    let (hot_before, small_before) = report("all shed", false, &first_come);
    let (hot, small) = report("all shed", true, &shared);
    let part = |of: &Got| of.repeats as f64 / of.sent as f64;
    // Before, each request gets as much, whoever sends it.
    assert!((part(&hot_before) / part(&small_before) - 1.0).abs() < 0.35);
    assert!(
        part(&small) >= 1.4 * part(&small_before),
        "{} {}",
        part(&small),
        part(&small_before)
    );
    let all = (hot.repeats + small.repeats) as f64;
    let all_before = (hot_before.repeats + small_before.repeats) as f64;
    assert!(all >= 0.93 * all_before, "{all} of {all_before} repeats");
}

#[test]
fn team_of_the_highest_rank_goes_first_whatever_it_is_due() {
    let mut first = Team::steady("urgent", 5.0);
    first.priority = 0;
    first.weight = 0.1;
    first.rate = |_, _| 5.0;
    let others = (0..10).map(|index| Team::steady(&format!("large-{index}"), 20.0));
    let teams: Vec<Team> = std::iter::once(first).chain(others).collect();
    let mut play = Play::new(5, 6, &teams, true);
    play.run(at(0), at(10_000));
    let got = play.finish(at(10_000));
    let (urgent, _) = report("urgent team", true, &got);
    assert!(urgent.share() >= 0.98, "{}", urgent.share());
    assert!(urgent.wait(0.95) <= USUAL, "{:?}", urgent.wait(0.95));
}

#[test]
fn teams_of_low_weight_are_not_starved_by_large_ones_of_their_rank() {
    let little = (0..10).map(|index| Team::steady(&format!("little-{index}"), 1.0));
    let large = Team::steady("large", 190.0);
    let teams: Vec<Team> = std::iter::once(large).chain(little).collect();
    let mut play = Play::new(5, 6, &teams, true);
    play.run(at(0), at(60_000));
    let got = play.finish(at(60_000));
    let (large, little) = report("little teams", true, &got);
    assert!(large.share() < 0.6, "there is room for all");
    assert!(
        little.share() >= large.share(),
        "{} {}",
        little.share(),
        large.share()
    );
}

/// Sends for two of four seconds, twice what it is due.
fn at_times(weight: f64, now: Moment) -> f64 {
    let sends = now.as_secs() % 4 < 2;
    if sends { weight * 4.0 } else { 0.0 }
}

#[test]
fn team_that_comes_and_goes_gets_no_more_than_a_steady_one() {
    let coming = Team {
        rate: at_times,
        ..Team::steady("coming", 25.0)
    };
    let steady = (0..3).map(|index| Team {
        rate: |weight, _| weight * 2.0,
        ..Team::steady(&format!("steady-{index}"), 25.0)
    });
    let teams: Vec<Team> = std::iter::once(coming).chain(steady).collect();
    let mut play = Play::new(5, 6, &teams, true);
    play.run(at(0), at(24_000));
    let got = play.finish(at(24_000));
    let (coming, steady) = report("coming and going", true, &got);
    let each = steady.in_time as f64 / 3.0;
    assert!(
        coming.in_time as f64 <= 1.1 * each,
        "{} {each}",
        coming.in_time
    );
    assert!(
        coming.in_time as f64 >= 0.4 * each,
        "{} {each}",
        coming.in_time
    );
}

/// A request of a team, that waits for long.
fn patient(team: usize, weight: f64, now: Moment) -> RequestInfo {
    RequestInfo {
        team: Some(TeamShare {
            team: format!("team-{team}").into(),
            weight,
        }),
        target_latency: Duration::from_secs(900),
        deadline: now + Duration::from_secs(1000),
        ..request(false, now)
    }
}

#[test]
fn full_queue_refuses_the_last_in_order() {
    let mut balancer = service(1, 1);
    let slot = support::assignment_of(balancer.admit(patient(0, 1.0, at(0)), at(0)));
    let mut keys = Vec::new();
    while let Decision::Wait(key) = balancer.admit(patient(0, 1.0, at(1)), at(1)) {
        keys.push(key);
    }
    assert_eq!(keys.len(), 2000);
    let small = match balancer.admit(patient(1, 1.0, at(2)), at(2)) {
        Decision::Wait(key) => key,
        other => panic!("expected to wait, got {other:?}"),
    };
    let released = balancer.release_queued(at(2));
    let refused: Vec<WaitKey> = released.iter().map(|one| one.key).collect();
    assert_eq!(refused, vec![keys[1999]]);
    balancer.finish(slot.key, "orders", AttemptOutcome::Success(USUAL), at(3));
    assert_eq!(balancer.release_queued(at(3))[0].key, small);
}

#[test]
fn request_that_is_next_is_not_refused_for_a_long_queue_of_another_team() {
    let mut balancer = service(1, 2);
    prove(&mut balancer, 1, at(0));
    for _ in 0..200 {
        let hot = RequestInfo {
            deadline: at(10_000),
            ..patient(0, 1.0, at(1))
        };
        balancer.admit(hot, at(1));
    }
    let short = RequestInfo {
        deadline: at(1000),
        ..patient(1, 1.0, at(2))
    };
    assert!(matches!(balancer.admit(short, at(2)), Decision::Wait(_)));
}

#[test]
fn requests_that_are_overtaken_beyond_their_deadline_are_refused_soon() {
    let mut balancer = service(1, 2);
    prove(&mut balancer, 1, at(0));
    let mut queued = 0;
    let hot = |now| RequestInfo {
        deadline: at(3000),
        ..patient(0, 1.0, now)
    };
    while let Decision::Wait(_) | Decision::Send(_) = balancer.admit(hot(at(1)), at(1)) {
        queued += 1;
    }
    for team in 1..=10 {
        let small = RequestInfo {
            deadline: at(3000),
            ..patient(team, 1.0, at(2))
        };
        assert!(matches!(balancer.admit(small, at(2)), Decision::Wait(_)));
    }
    let refused = balancer.release_queued(at(60));
    assert!(
        (8..=11).contains(&refused.len()),
        "{} of {queued}",
        refused.len()
    );
    assert!(refused.iter().all(|one| one.result.is_err()));
}

/// Callers of each team at three homes: `only` sends to the first home only.
fn play_homes(named: bool) -> BTreeMap<String, Got> {
    let hot = |home: usize| Team {
        rate: if home == 0 {
            |weight, _| weight * 7.0
        } else {
            |weight, _| weight * 3.5
        },
        ..Team::steady("hot", 10.0)
    };
    let mut all: BTreeMap<String, Got> = BTreeMap::new();
    for home in 0..3 {
        let small = (0..20).map(|index| Team::steady(&format!("small-{index}"), 1.0));
        let only = Team::steady("only", 3.0);
        let mut teams = vec![hot(home)];
        teams.extend(small);
        teams.extend((home == 0).then_some(only));
        let mut play = Play::new(5, 2, &teams, named);
        play.run(at(0), at(10_000));
        for (team, got) in teams.iter().zip(play.finish(at(10_000))) {
            let sum = all.entry(team.name.clone()).or_default();
            sum.sent += got.sent;
            sum.in_time += got.in_time;
            sum.waits.extend(got.waits);
        }
    }
    all
}

#[test]
fn teams_get_what_they_are_due_over_three_homes_that_queue_apart() {
    let (before, after) = (play_homes(false), play_homes(true));
    for (name, got) in &after {
        println!(
            "three homes: {name}: {:.3} in time, first come {:.3}, wait p95 {:?}",
            got.share(),
            before[name].share(),
            got.wait(0.95),
        );
        assert!(
            name == "hot" || got.share() >= 0.93,
            "{name}: {}",
            got.share()
        );
    }
}

/// A balancer with a retry budget of eighty sends, of which a hot team has used all that it may after a
/// small one, due as much, has asked for its first.
fn hot_on_the_budget(now: Moment) -> Balancer {
    let mut balancer = service(50, 4);
    prove(&mut balancer, 50, now);
    let small = RequestInfo {
        attempts_left: 1,
        ..patient(1, 1.0, now)
    };
    let hot = RequestInfo {
        attempts_left: 1,
        ..patient(0, 1.0, now)
    };
    balancer.admit(small.clone(), now);
    balancer.admit(hot.clone(), now);
    let repeat = |balancer: &mut Balancer, of: &RequestInfo| {
        let decision = balancer.retry(of.clone(), now);
        matches!(decision, Decision::Send(_))
    };
    assert!(repeat(&mut balancer, &small));
    let used = (0..100).filter(|_| repeat(&mut balancer, &hot)).count();
    assert!((38..=42).contains(&used), "{used}");
    balancer
}

#[test]
fn hot_team_leaves_small_ones_their_hedged_sends() {
    let now = at(20_000);
    let mut balancer = hot_on_the_budget(now);
    let hedge = |team| RequestInfo {
        idempotent: true,
        attempts_left: 1,
        deadline: now + USUAL,
        ..patient(team, 1.0, now)
    };
    match balancer.hedge(hedge(0), now) {
        Decision::Refuse(refusal) => assert!(refusal.over_share, "{refusal:?}"),
        other => panic!("expected a refusal, got {other:?}"),
    }
    let decision = balancer.hedge(hedge(1), now);
    assert!(matches!(decision, Decision::Send(_)), "{decision:?}");
}

/// Plays requests of two priorities, of which `urgent` of 200 a second have the higher one, while all
/// servers shed half of what they get. The retry budget is that of two hundred a second in ten seconds.
fn play_ranks(urgent: f64) -> Vec<Got> {
    let mut first = Team::steady("urgent", urgent);
    first.priority = 0;
    let teams = [first, Team::steady("usual", 200.0 - urgent)];
    let mut play = Play::new(20, 6, &teams, false);
    play.run(at(0), at(10_000));
    play.got = vec![Got::default(); teams.len()];
    play.shed_share = 0.55;
    play.run(at(10_000), at(18_500));
    play.finish(at(18_500))
}

/// Sends that the retry budget of [`play_ranks`] allows in a window.
const REPEATS_MAX: usize = 2000 / 5 + 50;

#[test]
fn repeats_are_not_kept_for_a_priority_that_hardly_anybody_has() {
    let got = play_ranks(1.0);
    let (urgent, usual) = (&got[0], &got[1]);
    println!(
        "few urgent: {} and {} repeats",
        urgent.repeats, usual.repeats
    );
    assert!(urgent.refused_repeats == 0, "{}", urgent.refused_repeats);
    assert!(
        usual.repeats as f64 >= 0.85 * REPEATS_MAX as f64,
        "{}",
        usual.repeats
    );
}

#[test]
fn repeats_are_kept_for_a_priority_that_many_have() {
    let got = play_ranks(60.0);
    let (urgent, usual) = (&got[0], &got[1]);
    println!(
        "many urgent: {} and {} repeats",
        urgent.repeats, usual.repeats
    );
    let served = |of: &Got| of.repeats as f64 / (of.repeats + of.refused_repeats) as f64;
    assert!(urgent.repeats as f64 >= 0.3 * REPEATS_MAX as f64);
    assert!(
        served(urgent) >= 2.0 * served(usual),
        "{} {}",
        served(urgent),
        served(usual)
    );
    let all = urgent.repeats + usual.repeats;
    assert!(all as f64 >= 0.85 * REPEATS_MAX as f64, "{all}");
}

#[test]
fn hot_team_leaves_the_trials_that_need_a_repeat_to_small_ones() {
    let now = at(20_000);
    let mut balancer = hot_on_the_budget(now);
    let server = support::assignment_of(balancer.admit(request(false, now), now)).key;
    let cut = AttemptOutcome::Failure(Evidence::Cut);
    balancer.finish(server, "orders", cut, now);
    while balancer.suspect_count() == 0 {
        balancer.record_evidence(server, Evidence::Cut, now);
    }
    let later = now + Duration::from_millis(300);
    let again = patient(0, 1.0, later);
    while !matches!(balancer.retry(again.clone(), later), Decision::Refuse(_)) {}
    let trial = |balancer: &mut Balancer, team| {
        let request = RequestInfo {
            idempotent: true,
            ..patient(team, 1.0, later)
        };
        let assignment = support::assignment_of(balancer.admit(request, later));
        assignment.trial
    };
    assert!(!trial(&mut balancer, 0), "a trial of the hot team");
    assert!(trial(&mut balancer, 1), "no trial of the small team");
}
