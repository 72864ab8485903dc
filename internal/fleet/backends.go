package fleet

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	"oakseam/internal/emulator"
	"oakseam/internal/fakes"
	"oakseam/logic"
)

// SetBackend implements emulator.Environment. It starts the machines of new backends, one for each node, and
// sets the state of a backend's machines.
func (f *fleet) SetBackend(number int, state emulator.MachineState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(f.machines) <= number {
		backend := len(f.machines)
		var machines []*fakes.Machine
		for i := range f.nodes {
			m, err := fakes.NewMachine("127.0.0.1", func(c net.Conn) { f.serve(c, backend, i) })
			if err != nil {
				f.live.Fail(err)
				return
			}
			machines = append(machines, m)
		}
		f.machines = append(f.machines, machines)
	}
	for i, m := range f.machines[number] {
		switch state {
		case emulator.Up:
			if err := m.Up(); err != nil {
				f.live.Fail(fmt.Errorf("backend %d can't listen again: %w", number, err))
			}
			if f.cuts[[2]int{i, number}] {
				f.background.Go(m.Blackhole)
			}
		case emulator.Down:
			m.Down()
		case emulator.Silent:
			f.background.Go(m.Blackhole) // in the background, because filling the accept queue takes a moment
		}
	}
}

// SetPartition implements emulator.Environment. It makes a backend unreachable for one node, or reachable again.
func (f *fleet) SetPartition(node, backend int, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	path := [2]int{node, backend}
	if f.cuts[path] == cut || backend >= len(f.machines) {
		return
	}
	m := f.machines[backend][node]
	if f.cuts[path] = cut; cut {
		f.background.Go(m.Blackhole)
	} else if f.live.BackendUp(backend) {
		if err := m.Up(); err != nil {
			f.live.Fail(fmt.Errorf("backend %d can't listen again after a partition: %w", backend, err))
		}
	}
}

// serve handles a backend's side of one connection. It answers one request at a time.
func (f *fleet) serve(c net.Conn, backend, node int) {
	f.live.AdjustConnections(backend, 1)
	defer f.live.AdjustConnections(backend, -1)
	requests := make(chan string, 1) // ids of the requests received
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		defer close(requests)
		in := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			select {
			case requests <- r.Header.Get("X-Correlation-Id"):
			case <-stop:
				return
			}
		}
	}()
	newConnection := true
	for id := range requests {
		done := make(chan []byte, 1)
		hangUp := f.live.BackendReceived(backend, node, id, newConnection, func(r logic.Result, report []float64) { done <- response(id, r, report, f.fields) })
		newConnection = false
		select {
		case text := <-done:
			if text == nil {
				if t, ok := c.(*net.TCPConn); ok {
					t.SetLinger(0)
				}
				return
			}
			if _, err := c.Write(text); err != nil {
				return
			}
		case <-requests: // the connection ended, or a second request came before the response
			hangUp()
			return
		case <-f.quit:
			return
		}
	}
}

// response returns the bytes of a backend's response, or nil if the connection is to be reset.
func response(id string, r logic.Result, report []float64, fields []string) []byte {
	var header strings.Builder
	if report != nil {
		header.WriteString("X-Backend-Load: ")
		for i, value := range report {
			if i > 0 {
				header.WriteByte(',')
			}
			name := fields[i]
			switch name {
			case "pending":
				name = "queue"
			case logic.ReportInFlight:
				name = "inflight"
			}
			fmt.Fprintf(&header, "%s=%g", name, value)
		}
		header.WriteString("\r\n")
	}
	body := "for " + id
	switch r {
	case logic.OK:
		return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header.String(), len(body), body)
	case logic.QueueFull:
		return fmt.Appendf(nil, "HTTP/1.1 503 Full\r\n%sX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", header.String())
	case logic.Failed:
		return fmt.Appendf(nil, "HTTP/1.1 500 Failed\r\n%sContent-Length: 0\r\n\r\n", header.String())
	}
	return nil
}
