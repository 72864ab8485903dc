package logic

import "time"

const (
	// The paper's example figures; where a class states its worth, V and c2 keep their ratio to R.
	exampleR, exampleV, exampleC2 = 20.0, 50.0, 10.0
	retryPrice                    = 3.0 // but c2 this many times: a copy also delays all who wait behind it

	realChance  = 0.60 // below this chance of an answer in time a request is refused at once,
	chanceLeast = 0.50 // where the class is worth more than most, no lower than this
	chanceMost  = 0.70 // and where it is worth less, no higher than this
	trialShare  = 0.10 // but for this part: who refuses all learns nothing more
	clearBeat   = 0.05 // a payoff that is higher by this part of R+V is clearly better
	nearBest    = 0.03 // alternatives within this part of R+V of the best are as good as it
	thetaSteps  = 16   // time-outs tried between 0 and the time left
	thetaSpread = 0.10 // a chosen time-out is spread by up to this part, against retry waves
	subsetLeast = 8    // servers that a node of a large fleet sends to, at least,
	coverLeast  = 4    // and so many that each server has this many nodes on the mean
	heldLeast   = 4.0  // a server that holds part of a prompt may have so many requests of this node,
	heldTimes   = 1.5  // and so many times its part of them, by capacity, and still be preferred
	scanAll     = 16   // up to this many servers are all looked at, else a sample of that size
	drawTries   = 6    // draws by capacity before the last one is taken as it is

	roomGain  = 1.25  // sends earned by a request served in time, where usually all are: less is sent
	roomLeast = 0.5   // when less comes back, so that no jam outlives its cause; so many a second at least
	roomMost  = 10.0  // sends that may be saved up; twice that may be owed, or a burst in vain lasts
	jamMissed = 0.1   // where more than this part of the worth let in is missed, sends are held to that
	usualStep = 0.003 // how fast the part usually served in time is followed
	briefMost = 0.15  // up to this part of a class's tries are late ones

	retryShare = 0.10 // retries earned by each request served in time: the retry budget
	retryBurst = 10.0 // retries that may be saved up

	halfLife   = 8 * time.Second        // of what was learned of one server
	kindLife   = 20 * time.Second       // of what was learned of a kind of server
	priorCount = 2.0                    // answers that the kind's curve counts for in a server's
	baseCount  = 4.0                    // answers that the built-in curve counts for in a kind's
	curveLife  = 250 * time.Millisecond // a computed curve is reused for this long
	votesMost  = 50                     // so many tries fix what a class's clients usually wait
	missStep   = 0.02                   // how fast the part of the worth missed is followed
	scaleStep  = 0.06                   // how fast a class's median latency is followed

	outlierAfter = 2               // bad answers in a row that set a server aside,
	outlierRare  = 0.01            // where chance would bring them less often than this,
	outlierFirst = 2 * time.Second // for this long at first, doubling
	outlierMost  = 8 * time.Second // and at most for this long
	badStep      = 0.05            // how fast the part of a server's answers that are bad is followed

	quotaSlack = 1.3             // nodes get uneven parts of the traffic: so much of an even part is within
	quotaLeast = 10.0            // and of small parts so many requests, or chance alone would exceed them
	quotaSaved = 3 * time.Second // a tenant's part may be saved up for this long

	coldShare = 1.5              // times its part of the traffic, by its warmth, goes to a cold server
	coldBurst = 0.5              // of the window of the cold rule may be saved up and sent at once
	peakLife  = 30 * time.Second // half-life of the most that a warm server was seen to serve
	thinRate  = 5.0              // a node that sends a server fewer a second learns too late what it bears
	halfFull  = 0.5              // unless servers tell that less than this part of their places is taken
	fullLife  = 8 * time.Second  // half-life of the most that the ready servers could do
	borneStep = 0.04             // part of the lost capacity that an answer in half its aim shows to be
	borneFall = 0.20             // no loss, and that one later or missed shows to be one after all
	rateLife  = 5 * time.Second  // half-life of this node's own throughput

	reportLife = 300 * time.Millisecond // half-life of what a load report tells
	trustStep  = 0.03                   // how fast the worth of load reports is followed

	askFirst    = time.Second / 2        // first pause after a failed call to discovery, doubling
	askMost     = 900 * time.Millisecond // longest such pause: two, with two turns of 2 s, stay below 6 s
	askSpread   = 20 * time.Millisecond  // first calls are spread over this for each node
	askPatience = 15 * time.Second       // a call without an answer for this long is made again
	lingerFor   = time.Minute            // an outcome that has not come by then never will
	minWithin   = 100 * time.Microsecond // no attempt is sent with less time than this

	// Sends out to a server at first and at most, the cut of a slow answer, the doublings one answer counts
	// at most (none alone cuts), latencies until what is out may be lost; how fast latency is followed.
	limitFirst, limitMost, limitCut, slowMost, silentAfter = 2.0, 64.0, 0.5, 4.0, 16.0
	paceStep, strainStep                                   = 0.2, 0.08 // of one server, of all
)

// Tokens of the module's own timers; those of requests come after.
const tokenAsk, firstRequestToken uint64 = 1, 2
