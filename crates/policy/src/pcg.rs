//! A permuted congruential generator, the policy's only source of randomness.

/// The generator PCG-XSH-RR 64/32. The same seed gives the same numbers on every machine.
#[derive(Debug, Clone, Default)]
pub struct Pcg(u64);

impl Pcg {
    /// Returns a generator with this seed.
    pub fn new(seed: u64) -> Pcg {
        let mut pcg = Pcg(seed.wrapping_add(0x14057b7ef767814f));
        pcg.draw();
        pcg
    }

    fn draw(&mut self) -> u32 {
        let old = self.0;
        self.0 = old
            .wrapping_mul(6364136223846793005)
            .wrapping_add(0x14057b7ef767814f);
        ((((old >> 18) ^ old) >> 27) as u32).rotate_right((old >> 59) as u32)
    }

    /// Returns the next number in [0, 1).
    pub fn unit(&mut self) -> f64 {
        f64::from(self.draw()) / 4_294_967_296.0
    }
}

impl rand_core::RngCore for Pcg {
    fn next_u32(&mut self) -> u32 {
        self.draw()
    }

    fn next_u64(&mut self) -> u64 {
        u64::from(self.draw()) << 32 | u64::from(self.draw())
    }

    fn fill_bytes(&mut self, dst: &mut [u8]) {
        rand_core::impls::fill_bytes_via_next(self, dst);
    }
}
