//! Sums of what nodes say, in which no one counts for more than a multiple of the middle one.

#[derive(Debug, Clone, Copy)]
pub struct Said {
    pub weight: f64,
    pub out: f64,
    pub done: f64,
}

fn median(mut all: Vec<f64>) -> f64 {
    let middle = all.len() / 2;
    *all.select_nth_unstable_by(middle, f64::total_cmp).1
}

/// Attempts out over answers a second: the time that one takes. Of `n` nodes one can move either sum by at most `most` medians
/// in `n`, however it lies; a node that says it has done nothing counts only as far as it has attempts out.
pub fn takes(said: &[Said], most: f64) -> Option<f64> {
    let bound = |of: fn(&Said) -> f64| {
        let positive: Vec<f64> = said.iter().map(of).filter(|n| *n > 0.0).collect();
        (positive.len() * 2 > said.len()).then(|| most * median(positive))
    };
    let (out, done) = (bound(|said| said.out)?, bound(|said| said.done)?);
    let sum = |of: &dyn Fn(&Said) -> f64| said.iter().map(|said| said.weight * of(said)).sum::<f64>();
    let (out, done) = (sum(&|said| said.out.min(out)), sum(&|said| said.done.min(done)));
    (done > 0.0).then(|| out / done)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_of_ten_moves_the_time_by_less_than_four_tenths_whatever_it_says() {
        let honest = vec![Said { weight: 1.0, out: 2.0, done: 20.0 }; 9];
        let plain = takes(&honest, 3.0).expect("nine said something");
        assert!((plain - 0.1).abs() < 1e-9);
        for (out, done) in [(1e6, 0.0), (0.0, 1e6), (1e6, 1e6), (0.0, 0.0)] {
            let with = [honest.clone(), vec![Said { weight: 1.0, out, done }]].concat();
            let lied = takes(&with, 3.0).expect("ten said something");
            assert!((lied / plain - 1.0).abs() < 0.4, "{out} {done}: {lied}");
        }
    }
}
