package fleet

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	"pipitmux/internal/emulator"
	"pipitmux/internal/standin"
	"pipitmux/logic"
)

// Backend is emulator.Outside.
func (f *fleet) SetBackend(no int, how emulator.MachineState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(f.machines) <= no {
		at := len(f.machines)
		var ms []*standin.Machine
		for i := range f.nodes {
			m, err := standin.NewMachine("127.0.0.1", func(c net.Conn) { f.serve(c, at, i) })
			if err != nil {
				f.day.Fail(err)
				return
			}
			ms = append(ms, m)
		}
		f.machines = append(f.machines, ms)
	}
	for i, m := range f.machines[no] {
		switch how {
		case emulator.Up:
			if err := m.Up(); err != nil {
				f.day.Fail(fmt.Errorf("backend %d comes back: %w", no, err))
			}
			if f.cuts[[2]int{i, no}] {
				f.jobs.Go(m.Blackhole)
			}
		case emulator.Down:
			m.Down()
		case emulator.Silent:
			f.jobs.Go(m.Blackhole) // it fills a queue, which takes a moment
		}
	}
}

// Cut is emulator.Outside.
func (f *fleet) SetPartition(node, backend int, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := [2]int{node, backend}
	if f.cuts[at] == cut || backend >= len(f.machines) {
		return
	}
	m := f.machines[backend][node]
	if f.cuts[at] = cut; cut {
		f.jobs.Go(m.Blackhole)
	} else if f.day.BackendUp(backend) {
		if err := m.Up(); err != nil {
			f.day.Fail(fmt.Errorf("backend %d can be reached again: %w", backend, err))
		}
	}
}

// serve is a backend's side of one connection.
func (f *fleet) serve(c net.Conn, backend, node int) {
	f.day.AdjustConnections(backend, 1)
	defer f.day.AdjustConnections(backend, -1)
	requests := make(chan string, 1) // ids
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
	fresh := true
	for id := range requests {
		done := make(chan []byte, 1)
		gone := f.day.BackendReceived(backend, node, id, fresh, func(r logic.Result, report []float64) { done <- answer(id, r, report, f.fields) })
		fresh = false
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
		case <-requests: // the connection has ended, or was used against the protocol
			gone()
			return
		case <-f.quit:
			return
		}
	}
}

// answer is what a backend says; nil stands for a reset.
func answer(id string, r logic.Result, report []float64, fields []string) []byte {
	var head strings.Builder
	if report != nil {
		head.WriteString("X-Backend-Load: ")
		for i, v := range report {
			if i > 0 {
				head.WriteByte(',')
			}
			name := fields[i]
			switch name {
			case "pending":
				name = "queue"
			case logic.ReportInFlight:
				name = "inflight"
			}
			fmt.Fprintf(&head, "%s=%g", name, v)
		}
		head.WriteString("\r\n")
	}
	body := "for " + id
	switch r {
	case logic.OK:
		return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head.String(), len(body), body)
	case logic.QueueFull:
		return fmt.Appendf(nil, "HTTP/1.1 503 Full\r\n%sX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", head.String())
	case logic.Failed:
		return fmt.Appendf(nil, "HTTP/1.1 500 Failed\r\n%sContent-Length: 0\r\n\r\n", head.String())
	}
	return nil
}
