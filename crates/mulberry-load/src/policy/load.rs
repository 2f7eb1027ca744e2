//! Draws the arrivals of online requests: a base rate that varies slowly, with bursts of a few seconds.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Parameters of the online load of one pool of engines.
#[derive(Debug, Clone)]
pub(crate) struct LoadShape {
    /// Mean requests per second outside bursts.
    pub base_per_s: f64,
    /// Factor by which a burst multiplies the rate.
    pub burst_factor: f64,
    /// Mean time between bursts, in seconds.
    pub burst_interval_s: f64,
    /// Range of the duration of a burst, in seconds.
    pub burst_s: std::ops::Range<f64>,
    /// An interval in which the rate is multiplied: start and end in seconds, and the factor.
    pub surge: Option<(f64, f64, f64)>,
    /// Duration of the load, in seconds.
    pub seconds: f64,
}

impl Default for LoadShape {
    fn default() -> Self {
        Self {
            base_per_s: 30.0,
            burst_factor: 3.0,
            burst_interval_s: 14.0,
            burst_s: 2.0..5.0,
            surge: None,
            seconds: 120.0,
        }
    }
}

/// An online request to send at a fixed time.
#[derive(Debug, Clone)]
pub(crate) struct Arrival {
    pub at_us: u64,
    pub prefix: u32,
    pub prompt: String,
    pub prompt_tokens: u32,
    pub answer_tokens: u32,
}

/// Number of distinct prefixes; each prompt starts with one of them.
const PREFIXES: u32 = 40;

/// Bytes per token.
const TOKEN_BYTES: usize = 4;

/// Period of the sinusoidal base rate, in seconds.
const BASE_PERIOD_S: f64 = 45.0;

/// Draws the arrivals of a seed, in order of time, by thinning a Poisson process at the peak rate.
pub(crate) fn draw_arrivals(shape: &LoadShape, seed: u64) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let bursts = draw_bursts(shape, &mut rng);
    let peak = shape.base_per_s * 1.4 * shape.burst_factor * shape.surge.map_or(1.0, |s| s.2);
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    loop {
        at += -(1.0 - rng.random::<f64>()).ln() / peak;
        if at >= shape.seconds {
            return arrivals;
        }
        let base_factor = 1.0 + 0.4 * (at / BASE_PERIOD_S * std::f64::consts::TAU).sin();
        let burst = bursts.iter().any(|(from, to)| (*from..*to).contains(&at));
        let surge = shape.surge.filter(|(from, to, _)| (*from..*to).contains(&at));
        let rate = shape.base_per_s
            * base_factor
            * if burst { shape.burst_factor } else { 1.0 }
            * surge.map_or(1.0, |s| s.2);
        if rng.random::<f64>() * peak > rate {
            continue;
        }
        arrivals.push(draw_request((at * 1e6) as u64, &mut rng));
    }
}

fn draw_bursts(shape: &LoadShape, rng: &mut ChaCha8Rng) -> Vec<(f64, f64)> {
    let mut bursts = Vec::new();
    let mut at = 0.0;
    while at < shape.seconds {
        at += -(1.0 - rng.random::<f64>()).ln() * shape.burst_interval_s;
        let duration_s = rng.random_range(shape.burst_s.clone());
        bursts.push((at, at + duration_s));
        at += duration_s;
    }
    bursts
}

fn draw_request(at_us: u64, rng: &mut ChaCha8Rng) -> Arrival {
    let prefix = rng.random_range(0..PREFIXES);
    // Prefixes differ in length; the same prefix always has the same length.
    let prefix_tokens = 32 + (prefix as usize * 37) % 480;
    let own_tokens = rng.random_range(10..120);
    let mut prompt = format!("prefix {prefix:04} ").repeat(prefix_tokens * TOKEN_BYTES / 12);
    let number: u64 = rng.random();
    prompt.push_str(&format!("own {number:020} ").repeat(own_tokens * TOKEN_BYTES / 25 + 1));
    let prompt_tokens = prompt.len().div_ceil(TOKEN_BYTES) as u32;
    Arrival { at_us, prefix, prompt, prompt_tokens, answer_tokens: rng.random_range(16..180) }
}
