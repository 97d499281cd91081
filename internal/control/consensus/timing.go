package consensus

// The intervals and timeouts, in nanoseconds of a monotonic clock. Safety depends on none of them.
const (
	resendAfter            = int64(250e6)  // before a proposal or a read is sent again to those that have not answered
	proposalTimeout        = int64(2e9)    // after which a proposal without progress is abandoned; the next one has a higher ballot
	probeInterval          = int64(100e6)  // between probes of a member that an operation was forwarded to
	forwardSilenceTimeout  = int64(250e6)  // after which such a member that answers nothing is skipped
	forwardProgressTimeout = int64(700e6)  // after which such a member that answers, but decides nothing, is skipped
	orphanedVoteTimeout    = int64(500e6)  // after which another member finishes a proposal that was voted on and not committed
	staggerDelay           = int64(150e6)  // by which each member waits longer than the one before it
	fetchRetryAfter        = int64(500e6)  // before missing changes are requested again
	fetchDelay             = int64(250e6)  // for which a peer must have been ahead before changes are requested from it
	foundersWait           = int64(400e6)  // for promises of all reachable founders, before those that have promised form the first epoch
	startupWait            = int64(400e6)  // since the start, for the members that have not replied yet, before a majority is enough
	membershipWait         = int64(200e6)  // for promises of all reachable members, before a change of members is checked against those that came
	membershipInterval     = int64(400e6)  // between proposed changes of members
	removalTimeout         = int64(3e9)    // after which a silent member that its zone can do without is removed
	requestTimeout         = int64(2500e6) // after which an operation or a read is answered as unavailable
)

// The bounds of queues and batches.
const (
	maxPending       = 512       // pending operations, and pending reads; more are refused at once
	maxBatchItems    = 4096      // items in a value, beyond which no further operation is added to it
	maxRecentChanges = 512       // recent changes that are kept for peers that catch up
	maxRecentItems   = 16384     // items in them
	maxRecentBytes   = 16 << 20  // bytes in them
	chunkBytes       = 256 << 10 // bytes in a chunk of a snapshot
	itemOverhead     = 96        // bytes that an item takes in a chunk beside its body, about
	maxJoinLag       = 64        // log indexes by which a process may be behind to become a member
	maxProposerLag   = 4         // log indexes by which the preferred proposer may seem behind: its status is older than what it decided since
	maxRetries       = 4         // rejected proposals in a row, beyond which the random delay before the next grows no more
)
