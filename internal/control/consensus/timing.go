package consensus

// Intervals and timeouts, in nanoseconds of a monotonic clock. Safety does not depend on them.
const (
	resendAfter            = int64(250e6)  // until a proposal or read query is resent to the members that have not replied
	proposalTimeout        = int64(2e9)    // until a proposal phase without result is abandoned; the next proposal has a higher ballot
	probeInterval          = int64(100e6)  // between probes of a member that an operation was forwarded to
	forwardSilenceTimeout  = int64(250e6)  // until a member that was forwarded an operation and does not reply is skipped
	forwardProgressTimeout = int64(700e6)  // until a member that was forwarded an operation and makes no progress is skipped
	orphanedVoteTimeout    = int64(500e6)  // until another member takes over a proposal that was voted on but not committed
	staggerDelay           = int64(150e6)  // between members that act in turn, and between retries
	fetchRetryAfter        = int64(500e6)  // until missing changes are requested again
	fetchDelay             = int64(250e6)  // for which a peer must have been ahead before changes are requested from it
	foundersWait           = int64(400e6)  // for promises from all reachable founders, before a majority of them forms the first epoch
	startupWait            = int64(400e6)  // since the start, for replies from all members, before a majority is enough
	membershipWait         = int64(200e6)  // for promises from all reachable members, before a membership change is checked against those received
	membershipInterval     = int64(400e6)  // between proposed membership changes
	removalTimeout         = int64(3e9)    // until a silent member that its zone can do without is removed
	requestTimeout         = int64(2500e6) // until an operation or a read fails as unavailable
)

// Limits of queues, batches and catch-up.
const (
	maxPending       = 512       // pending operations, and separately pending reads; more are rejected
	maxBatchItems    = 4096      // items in a value; no operation is added to a value that has reached it
	maxRecentChanges = 512       // decided values kept for peers that catch up
	maxRecentItems   = 16384     // total items in the values kept
	maxRecentBytes   = 16 << 20  // total bytes in the values kept
	chunkBytes       = 256 << 10 // bytes in a chunk of a snapshot
	itemOverhead     = 96        // approximate encoded size of an item without its body, in bytes
	maxJoinLag       = 64        // log indexes by which a joining member may be behind
	maxProposerLag   = 4         // log indexes by which the preferred proposer may appear behind, as its reported status is not current
	maxRetries       = 4         // consecutive rejected proposals up to which the retry delay increases
)
