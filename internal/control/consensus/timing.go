package consensus

// The times of the agreement, nanoseconds of a monotonic clock. None of them is needed for its safety.
const (
	resendAfter            = int64(250e6) // to those that have not answered a step of a proposal, or a read
	proposalTimeout        = int64(2e9)   // a proposal that gets no further: the next try has a higher ballot
	probeInterval          = int64(100e6) // between askings of one that was handed an order whether it still answers
	forwardSilenceTimeout  = int64(250e6) // one that was handed an order and has answered nothing for so long is passed over
	forwardProgressTimeout = int64(700e6) // so is one that answers, and has decided nothing for so long
	orphanedVoteTimeout    = int64(500e6) // a vote that nobody tells the end of is brought to its end by another
	turnDelay              = int64(150e6) // each member waits for those before it
	fetchRetryAfter        = int64(500e6)
	fetchDelay             = int64(250e6) // a peer that has more is asked
	foundersWait           = int64(400e6)
	startupWait            = int64(400e6) // since the start, for the members that haven't told yet how far they are
	membershipWait         = int64(200e6) // for members that are heard and haven't promised yet, before a list is judged by those that have
	membershipInterval     = int64(400e6) // between proposals of a list
	removalSilence         = int64(3e9)   // a member that has a successor in its zone goes
	requestTimeout         = int64(2500e6)
	maxPending             = 512 // orders, and reads, beyond which more are refused at once
	maxBatchItems          = 4096
	maxRecentChanges       = 512
	maxRecentItems         = 16384
	maxRecentBytes         = 16 << 20
	chunkBytes             = 256 << 10
	maxJoinLag             = 64 // numbers by which one that comes in may be behind
	maxProposerLag         = 4  // numbers by which one that proposes for all may be behind: who does is ahead of the others
)
