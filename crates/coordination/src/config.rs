//! Parameters of load reports and leases, with their units and defaults.
use quartzhub_policy::Span;

/// Parameters of load reports and leases.
#[derive(Debug, Clone)]
pub struct CoordinationConfig {
    /// Interval between datagrams of reports. The receiver of each one responds with its own
    /// reports, so that random selection leaves no node without reports. In all, a node sends four
    /// or five datagrams of reports per second, regardless of the size of the fleet.
    pub report_interval: Span,
    /// Time in which the weight of a report halves. Load changes within seconds.
    pub report_half_life: Span,
    /// Age above which a report is ignored.
    pub max_report_age: Span,
    /// Minimum number of reporting nodes for the fleet's load to be known. Fewer could be one
    /// faulty node and its neighbor.
    pub min_reporting_nodes: usize,
    /// Upper bound of one node's report, as a multiple of the median of the positive values of all
    /// reports.
    pub max_report_medians: f64,
    /// Transmissions of a report by each node that has received it.
    pub max_report_transmissions: u32,
    /// Fraction of every budget, from 0 to 1, that is divided evenly among the configured nodes and
    /// needs no lease.
    pub reserved_fraction: f64,
    /// Number of nodes of which a majority has to grant a lease. With five, two may have failed.
    pub quorum_group_size: usize,
    /// Time for which a lease is valid for its holder, counted from its request.
    pub lease_duration: Span,
    /// Interval between requests of a lease.
    pub renewal_interval: Span,
    /// Maximum deviation of a clock's rate from the exact rate, as a fraction of it.
    pub max_clock_drift: f64,
    /// Maximum stall of a process between reading its clock and writing the attempt that this
    /// reading allows.
    pub max_pause: Span,
    /// Time after a request by a share's owner during which no other node is granted a lease on the
    /// share, not even a renewal.
    pub owner_priority: Span,
    /// Maximum number of other nodes' shares that a node leases.
    pub max_borrowed_shares: usize,
    /// Sustained rate of datagrams accepted from one sender, per second.
    pub datagrams_per_second: f64,
    /// Burst of datagrams accepted from one sender above that rate.
    pub datagram_burst: f64,
}

impl Default for CoordinationConfig {
    fn default() -> CoordinationConfig {
        CoordinationConfig {
            report_interval: Span::ms(400),
            report_half_life: Span::ms(1_000),
            max_report_age: Span::ms(3_000),
            min_reporting_nodes: 4,
            max_report_medians: 3.0,
            max_report_transmissions: 4,
            reserved_fraction: 0.25,
            quorum_group_size: 5,
            lease_duration: Span::ms(3_000),
            renewal_interval: Span::ms(1_000),
            max_clock_drift: 0.05,
            max_pause: Span::ms(250),
            owner_priority: Span::ms(4_000),
            max_borrowed_shares: 8,
            datagrams_per_second: 60.0,
            datagram_burst: 120.0,
        }
    }
}
