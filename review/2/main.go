// Command 2 sends long requests that must run at most once to servers that begin before they have read the
// whole body, while some of them lose their answers. See claim.txt.
package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"oakseam/review/lab"
)

const (
	host    = "review.example"
	service = "meter-backend"

	servers   = 8
	troubled  = 4    // servers that lose answers: a share of 0.5
	lostShare = 0.05 // of the answers of requests that they ran
	length    = 40 * time.Second
	clients   = 12

	bodyBytes  = 1 << 20  // a quarter of maxBodyBytes
	readFirst  = 64 << 10 // of the body, before the server begins
	closeShare = 0.33     // of the answers that end their connection
	work       = 40 * time.Millisecond
	readLater  = 20 * time.Millisecond // after its answer the server pauses this long, then reads the rest
)

const configuration = `{"configRevision":1,"virtualServers":[{"name":"reading-reconcile","hostHeader":"` + host + `","pathPrefix":"/reconcile/",
"trafficClass":"non_idempotent","timeoutMs":6000,"targetLatencyMs":800,"priority":2,"poolName":"` + service + `","retryLimit":2}],
"pools":[{"name":"` + service + `","healthMonitor":"/health","maxConnections":96,"protocol":"h1","tlsProfile":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

type runs struct {
	mu   sync.Mutex
	of   map[string][]int // servers that ran a request, by attempt id
	lost int
}

// answer begins the request with the first part of its body, runs it, answers, and reads the rest of the body
// later. Where the answer is lost it resets the connection instead of the answer.
func (r *runs) answer(tier *lab.Tier, number int) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		control := http.NewResponseController(w)
		if control.EnableFullDuplex() != nil {
			return
		}
		if _, err := io.CopyN(io.Discard, request.Body, readFirst); err != nil {
			return // too little came to begin with
		}
		id := request.Header.Get("Oakseam-Attempt-Id")
		loses := lab.Trouble() && number < troubled && rand.Float64() < lostShare
		r.mu.Lock()
		r.of[id] = append(r.of[id], number)
		if loses {
			r.lost++
		}
		r.mu.Unlock()
		tier.Record("server %d runs %s, its answer is lost: %t", number, id, loses)
		time.Sleep(work)
		if loses {
			if c, _, err := control.Hijack(); err == nil {
				c.(*net.TCPConn).SetLinger(0) // a reset
				c.Close()
			}
			return
		}
		w.Header().Set("Content-Length", "5")
		if rand.Float64() < closeShare {
			w.Header().Set("Connection", "close")
		}
		io.WriteString(w, "done\n")
		control.Flush()
		time.Sleep(readLater)
		io.Copy(io.Discard, request.Body)
	}
}

func run() (int, error) {
	tier, platform, err := lab.Case()
	if err != nil {
		return 2, err
	}
	defer tier.Close()
	defer platform.Close()
	tier.SmallBuffers = true
	ran := &runs{of: map[string][]int{}}
	for i := range servers {
		if err := tier.Serve(platform, i, service, 6, ran.answer(tier, i)); err != nil {
			return 2, err
		}
	}
	if err := tier.Begin(configuration); err != nil {
		return 2, err
	}
	edges := tier.Of("edge")
	client := &http.Client{Timeout: 7 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}
	body := bytes.Repeat([]byte("reading "), bodyBytes/8)
	var next, answered atomic.Int64
	var mu sync.Mutex
	statuses := map[string]int{} // of the requests' answers, by attempt id; 0: none
	send := func() {
		id := fmt.Sprintf("%016x", next.Add(1))
		request, _ := http.NewRequest(http.MethodPost, "http://"+edges[rand.IntN(len(edges))].Front()+"/reconcile/1", bytes.NewReader(body))
		request.Host = host
		request.Header.Set("Oakseam-Attempt-Id", id)
		request.Header.Set("Oakseam-Time-Budget", "6000")
		response, err := client.Do(request)
		status := 0
		if err == nil {
			status = response.StatusCode
			io.Copy(io.Discard, response.Body)
			response.Body.Close()
		}
		tier.Record("client: %s: %d (%v)", id, status, err)
		mu.Lock()
		statuses[id] = status
		mu.Unlock()
		if status == http.StatusOK {
			answered.Add(1)
		}
	}
	until := time.Now().Add(length)
	var done sync.WaitGroup
	for range clients {
		done.Go(func() {
			for time.Now().Before(until) {
				send()
				time.Sleep(30 * time.Millisecond)
			}
		})
	}
	done.Wait()
	time.Sleep(time.Second)
	ran.mu.Lock()
	defer ran.mu.Unlock()
	twice, refused := 0, 0
	for id, at := range ran.of {
		if len(at) > 1 {
			if twice++; twice <= 5 {
				fmt.Printf("request %s ran %d times, on servers %v; its client got %d\n", id, len(at), at, statuses[id])
			}
			tier.Record("request %s ran %d times, on servers %v", id, len(at), at)
		}
		if s := statuses[id]; s == http.StatusServiceUnavailable {
			refused++
			tier.Record("request %s was refused with %d and ran on servers %v", id, s, at)
		}
	}
	fmt.Printf("%d requests, %d answered with 200; %d answers lost; %d requests ran more than once, %d were answered 503 though they ran\n",
		next.Load(), answered.Load(), ran.lost, twice, refused)
	if twice > 0 {
		return 1, nil
	}
	return 0, nil
}

func main() {
	code, err := run()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}
