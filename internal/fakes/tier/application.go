package tier

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	audit "oakseam/internal/audit/tier"
	"oakseam/internal/wait"
)

const (
	// tallyBits is how many adds all applications together make to one tally: each add has a bit of
	// the total for itself.
	tallyBits = 60
	// maxTallyTries bounds the calls of one add or read.
	maxTallyTries = 10
	// maxTallyPause bounds the pause of an application between two steps.
	maxTallyPause = 60 * time.Millisecond
	// One add in repeatInterval is sent again, to another core node, after it was acknowledged.
	repeatInterval = 4
)

// CoreAddress is a core machine and the address of its operators' API.
type CoreAddress struct {
	Machine string
	Address string // host:port
}

// ApplicationOptions configures an Application.
type ApplicationOptions struct {
	Number   int           // counted from 0
	Count    int           // of all applications
	Cores    []CoreAddress // in the order in which they are called, the nearest first
	Seed     uint64
	Recorder *audit.Recorder
}

// Application adds to tallies and reads them, like a program beside the tier in one of its zones. It
// is not safe for concurrent use.
type Application struct {
	opt    ApplicationOptions
	rng    *rand.Rand
	client http.Client
	adds   int // so far
}

// NewApplication returns an Application. Its number and the seed determine what it does.
func NewApplication(o ApplicationOptions) *Application {
	return &Application{opt: o, rng: rand.New(rand.NewPCG(o.Seed, uint64(o.Number))),
		client: http.Client{Timeout: answerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// Run adds to tallies and reads them until ctx ends. A step that has begun is completed.
func (a *Application) Run(ctx context.Context) {
	for wait.For(ctx, time.Duration(a.rng.Int64N(int64(maxTallyPause)))) {
		if a.rng.IntN(2) == 0 {
			a.add()
			continue
		}
		a.read(tallyName(a.rng.IntN(a.tallies())), false)
	}
}

// ReadAll reads each tally that the application added to, as the last step of a run. It retries
// until a tally is read or ctx ends.
func (a *Application) ReadAll(ctx context.Context) {
	for n := range a.tallies() {
		for !a.read(tallyName(n), true) && wait.For(ctx, retryPause) {
		}
	}
}

func tallyName(number int) string { return fmt.Sprintf("tally-%d", number+1) }

// share is how many adds one application makes to one tally.
func (a *Application) share() int { return tallyBits / a.opt.Count }

// tallies returns how many tallies the application has added to, one at least.
func (a *Application) tallies() int { return max(1, (a.adds+a.share()-1)/a.share()) }

// add makes the next add: each try goes to another core machine with the same id.
func (a *Application) add() {
	tally, bit := a.adds/a.share(), a.opt.Number*a.share()+a.adds%a.share()
	a.adds++
	add := audit.TallyAdd{Tally: tallyName(tally), Member: fmt.Sprintf("member-%d-%d", a.opt.Number+1, a.adds), Amount: 1 << bit}
	repeats := 0
	if a.rng.IntN(repeatInterval) == 0 {
		repeats = 1
	}
	for number := 0; number < maxTallyTries && repeats >= 0; number++ {
		try := a.tryAdd(&add, number)
		add.Tries = append(add.Tries, try)
		if !turnsAway(try.Status) {
			repeats--
		}
	}
	a.opt.Recorder.RecordTallyAdd(add)
}

// turnsAway reports whether the caller turns to another core machine after a status.
func turnsAway(status int) bool {
	return status == 0 || status == http.StatusTooManyRequests || status >= http.StatusInternalServerError
}

// tryAdd makes one call of an add, at the core machine that comes after the ones tried before.
func (a *Application) tryAdd(add *audit.TallyAdd, number int) audit.TallyTry {
	core := a.core(number)
	try := audit.TallyTry{Core: core.Machine, Sent: a.opt.Recorder.Now()}
	body := fmt.Sprintf(`{"memberId":%q,"heldBy":%d}`, add.Member, add.Amount)
	try.Status, _ = a.call(http.MethodPost, "http://"+core.Address+"/api/Tallies.Modify/"+add.Tally, body)
	try.At = a.opt.Recorder.Now()
	return try
}

// core returns the core machine for the try with a number. Once all were tried, it pauses.
func (a *Application) core(number int) CoreAddress {
	if number > 0 && number%len(a.opt.Cores) == 0 {
		time.Sleep(retryPause)
	}
	return a.opt.Cores[number%len(a.opt.Cores)]
}

// read reads a tally and reports whether it got a total.
func (a *Application) read(tally string, final bool) bool {
	for number := range maxTallyTries {
		read := a.tryRead(tally, number)
		read.Final = final
		a.opt.Recorder.RecordTallyRead(read)
		if !turnsAway(read.Status) {
			return read.Status == http.StatusOK
		}
	}
	return false
}

// tryRead makes one call that reads a tally.
func (a *Application) tryRead(tally string, number int) audit.TallyRead {
	core := a.core(number)
	read := audit.TallyRead{Tally: tally, Core: core.Machine, Sent: a.opt.Recorder.Now()}
	status, body := a.call(http.MethodGet, "http://"+core.Address+"/api/Tallies.Show/"+tally, "")
	read.At = a.opt.Recorder.Now()
	var shown struct{ Total *uint64 }
	if status == http.StatusOK && (json.Unmarshal([]byte(body), &shown) != nil || shown.Total == nil) {
		status = 0 // an answer without a total is none
	}
	if read.Status = status; status == http.StatusOK {
		read.Total = *shown.Total
	}
	return read
}

// call makes one call. Status 0 means that no complete answer arrived.
func (a *Application) call(method, url, body string) (int, string) {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	return completeAnswer(&a.client, request)
}
