package logic

import "time"

const (
	// The paper's example payoffs. If a class states its worth, the last two keep their ratio to the reward.
	exampleReward, examplePenalty, exampleRetryCost = 20.0, 50.0, 10.0
	retryCostFactor                                 = 3.0 // a copy also delays all requests queued behind it

	admitChance       = 0.60 // a request with a lower chance of an answer in time is rejected at once;
	minAdmitChance    = 0.50 // lower bound of this threshold, for classes worth more than the mean
	maxAdmitChance    = 0.70 // and its upper bound, for classes worth less
	probeShare        = 0.10 // share of hopeless requests sent all the same: without any, nothing is learned
	clearMargin       = 0.05 // a payoff higher by this share of reward+penalty is clearly better
	tieMargin         = 0.03 // payoffs within this share of reward+penalty of the best count as equal
	timeoutSteps      = 16   // the time left is divided into this many timeouts to compare
	timeoutJitter     = 0.10 // relative jitter of a chosen timeout, against retry waves
	minSubset         = 8    // minimum number of servers that a node of a large fleet sends to
	minNodesPerServer = 4    // mean number of nodes that send to a server, at least
	minAffinityLoad   = 4.0  // a server with part of a prompt may hold this many requests of this node,
	affinityScale     = 1.5  // plus this multiple of its share by capacity, and still be preferred
	sampleSize        = 16   // up to this many servers are all examined, of more a sample of this size
	maxDraws          = 6    // draws by capacity before the last one is accepted as it is

	sendTokenGain   = 1.25  // send tokens earned by an answer in time where most are in time: if fewer come,
	minSendRate     = 0.5   // less is sent, so that overload can't outlive its cause; tokens per second
	maxSendTokens   = 10.0  // tokens saved up; debt ends at twice this, or a failed burst blocks for long
	overloadShare   = 0.1   // the tokens limit sends only where more than this share of the worth is missed
	onTimeStep      = 0.003 // EWMA step of the share usually answered in time
	maxLateTryShare = 0.15  // up to this share of a class's tries are taken for late ones

	retryTokenGain = 0.10 // retry tokens earned by each request answered in time: the retry budget
	maxRetryTokens = 10.0 // retry tokens saved up

	serverHalfLife = 8 * time.Second        // of the latencies of one server
	kindHalfLife   = 20 * time.Second       // of the latencies of a kind of server
	priorWeight    = 2.0                    // answers that the kind's curve counts as in a server's curve
	builtinWeight  = 4.0                    // answers that the built-in curve counts as in a kind's curve
	curveTTL       = 250 * time.Millisecond // a computed curve is reused for this long
	maxVotes       = 50                     // tries after which a class's usual client timeout is settled
	missedStep     = 0.02                   // EWMA step of the share of the worth missed
	medianStep     = 0.06                   // relative step of a class's median latency

	ejectAfter  = 2               // consecutive failures that eject a server as an outlier,
	ejectChance = 0.01            // if chance alone would bring them less often than this
	minEjection = 2 * time.Second // first ejection, doubled each time
	maxEjection = 8 * time.Second // longest ejection
	failureStep = 0.05            // EWMA step of the share of a server's answers that fail

	quotaSlack = 1.3             // nodes get uneven shares of traffic: this multiple of an even one is fine,
	minQuota   = 10.0            // and at least this many requests, as chance alone exceeds small quotas
	quotaBurst = 3 * time.Second // a tenant's quota may be saved up for this long

	coldFactor       = 1.5              // a cold server gets this multiple of its traffic share by warmth
	coldBurst        = 0.5              // share of the cold rule's window that may be saved up for a burst
	peakHalfLife     = 30 * time.Second // of the highest rate that warm servers were seen to serve
	sparseRate       = 5.0              // a node that sends a server fewer per second learns its limit late,
	lowUtilization   = 0.5              // but up to this share of slots in use no loss counts, then ever more
	capacityHalfLife = 8 * time.Second  // of the highest capacity of the ready servers
	toleranceGain    = 0.04             // share of lost capacity that an answer in half its aim shows to be
	toleranceLoss    = 0.20             // no loss, and that one later or missed shows to be one after all
	rateHalfLife     = 5 * time.Second  // of this node's own throughput

	reportHalfLife = 300 * time.Millisecond // of a load report
	reportStep     = 0.03                   // EWMA step of how well load reports predict latency

	minAskWait = time.Second / 2        // first pause after a failed call to discovery, then doubled
	maxAskWait = 900 * time.Millisecond // longest pause: two, with two calls of 2 s, stay below 6 s
	askJitter  = 20 * time.Millisecond  // first calls are spread over this much per node
	askTimeout = 15 * time.Second       // a call without an answer for this long is repeated
	outcomeTTL = time.Minute            // an outcome that is still missing after this never comes
	minTimeout = 100 * time.Microsecond // no attempt is sent with less time than this

	initialLimit, maxLimit = 2.0, 64.0 // requests out to a server at first and at most

	limitDecrease = 0.5  // factor of the limit after a slow answer
	maxSlowdown   = 4.0  // doublings of latency that one answer counts as at most: none alone cuts the limit
	silentFactor  = 16.0 // expected latencies without a send after which all that is out may be lost

	slowdownStep, fleetSlowdownStep = 0.2, 0.08 // EWMA steps of the slowdown of one server, of all
)

// Timer tokens: askToken is the discovery timer, tokens of requests come after firstRequestToken.
const askToken, firstRequestToken uint64 = 1, 2
