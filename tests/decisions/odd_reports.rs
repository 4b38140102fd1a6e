//! Figures of engines, and of processes of other versions, near the limits of their types.

use rstest::rstest;
use skylarkthread::board::{
    Endpoint, Engine, EntryBoard, Health, Job, LatestReport, Phase, SidecarBoard,
};
use skylarkthread::frame::{Report, Start};
use skylarkthread::gate::{self, Action, Gate};
use skylarkthread::id::{Fingerprint, GenerationId, Incarnation, Nonce, Tokens};
use skylarkthread::place::{self, Need, Placer};
use skylarkthread::settings::Placement;
use skylarkthread::sidecar::retry_millis;
use skylarkthread::store::ListedState;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const MAX: u32 = u32::MAX;

fn start(nonce: u64, input: u32) -> Start {
    Start {
        generation: GenerationId {
            instance: "e".parse().expect("the name is valid"),
            incarnation: Incarnation(1),
            nonce: Nonce(nonce),
        },
        service: "s".parse().expect("the name is valid"),
        spec: "m@v1".into(),
        workspace: "w".parse().expect("the name is valid"),
        weight: MAX,
        rank: u8::MAX,
        prompt: "".into(),
        input: Tokens(input),
        limit: Tokens(MAX),
        fingerprint: Fingerprint(1),
        parts: Vec::new(),
        alone: false,
        left: u64::MAX,
    }
}

fn job(now: Instant, nonce: u64, phase: Phase, input: u32) -> Job {
    Job {
        start: start(nonce, input),
        phase,
        arrived: now,
        deadline: now + Duration::from_secs(5),
        tokens: Vec::new(),
        last_active: now,
        last_read: now,
        prefilled: false,
        submissions: 1,
        begun: None,
        end_sent: false,
    }
}

/// Creates the state of an engine with generations of `input` tokens in these phases.
fn board(now: Instant, engine: Engine, input: u32, phases: &[Phase]) -> SidecarBoard {
    let mut board = SidecarBoard { engine, ..SidecarBoard::default() };
    for (nonce, phase) in phases.iter().enumerate() {
        board.jobs.insert(job(now, nonce as u64, *phase, input));
    }
    board
}

fn engine(capacity: u32, block: u32, prefill_us: u64) -> Engine {
    let prefill = Duration::from_micros(prefill_us);
    let loaded = vec!["m@v1".into()];
    Engine { alive: true, capacity, block, batch: MAX, prefill, loaded, ..Engine::default() }
}

#[rstest]
fn gate_decides_on_figures_of_any_size(
    #[values(0, 1000, MAX)] capacity: u32,
    #[values(1, MAX - 1, MAX)] block: u32,
    #[values(0, u64::MAX)] prefill_us: u64,
    #[values(1, MAX)] input: u32,
    #[values(Phase::Queued, Phase::Running, Phase::Held)] phase: Phase,
) {
    let now = Instant::now();
    let engine = engine(capacity, block, prefill_us);
    for others in [vec![], vec![phase], vec![phase, phase, Phase::Running]] {
        let mut board = board(now, engine.clone(), input, &others);
        let new = start(9, input);
        let _ = Gate::default().admit(now, &board, &new);
        let wait = gate::expected_wait(&board, &new);
        assert!(wait <= Duration::from_secs(1200), "{wait:?}");
        gate::forecast(&board);
        gate::backlog(&board);
        Gate::default().step(now, &mut board);
    }
}

#[rstest]
#[case::blocks(MAX / 2 + 2, 1)]
#[case::prompts(1, MAX / 2 + 2)]
fn generations_whose_sum_no_count_holds_do_not_fit_the_memory(
    #[case] block: u32,
    #[case] input: u32,
) {
    let now = Instant::now();
    let running = [Phase::Running, Phase::Running];
    let mut board = board(now, engine(MAX, block, 0), input, &running);
    let actions = Gate::default().step(now, &mut board);
    assert!(matches!(actions[..], [Action::Hold(_)]), "{actions:?}");
}

#[rstest]
fn reports_of_any_size_are_compared(
    #[values(
        Placement::Forecast,
        Placement::RoundRobin,
        Placement::LeastRequests,
        Placement::TwoChoices
    )]
    policy: Placement,
    #[values(0, MAX)] sent: u32,
) {
    let report = Report {
        alive: true,
        pool: "m".into(),
        running: MAX,
        waiting: MAX,
        backlog: MAX,
        forecast: MAX,
        ..Report::default()
    };
    let mut board = EntryBoard::default();
    for name in ["e-0", "e-1"] {
        board.endpoints.insert(Endpoint {
            instance: name.parse().expect("the name is valid"),
            centre: "a".parse().expect("the name is valid"),
            peer: SocketAddr::from(([127, 0, 0, 1], 1)),
            listed: Some(ListedState::Live),
            latest: Some(LatestReport {
                report: report.clone(),
                incarnation: Incarnation(1),
                received: Instant::now(),
            }),
            linked: true,
            health: Health::default(),
            open_requests: MAX,
            sent_requests: sent,
            sent_tokens: sent,
        });
    }
    let need = Need { pool: "m".into(), spec: None, input: Tokens(MAX), prefix: 0, alone: true };
    let own = "g".parse().expect("the name is valid");
    let mut placer = Placer::new(policy, own, "a".parse().expect("the name is valid"));
    assert!(placer.choose(&board, &need, &[], &mut rand::rng()).is_ok());
    assert!(!place::can_start_now(&board, &need));
}

#[test]
fn retry_delay_that_no_count_holds_is_the_longest() {
    assert_eq!(retry_millis(Duration::MAX), u64::MAX);
}
