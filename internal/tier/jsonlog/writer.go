package jsonlog

import (
	"io"
	"sync"
	"time"
)

// maxQueuedBytes bounds the lines that wait to be written.
const maxQueuedBytes = 256 << 10

// queuedWriter writes lines in a goroutine of its own, so that a reader of the log that doesn't read,
// or is gone, never holds up or ends the process. Lines beyond maxQueuedBytes, and those that can't be
// written, are lost and counted.
type queuedWriter struct {
	to   io.Writer
	lost func(count int) []byte // the line that tells how many lines were lost

	mu     sync.Mutex
	queue  [][]byte
	bytes  int
	missed int           // lines lost since the last one that told it
	work   chan struct{} // buffered, one element: the queue may not be empty
	idle   chan struct{} // closed while nothing is queued or being written
	busy   bool
}

// newQueuedWriter returns a queuedWriter that writes to w.
func newQueuedWriter(w io.Writer, lost func(count int) []byte) *queuedWriter {
	idle := make(chan struct{})
	close(idle)
	q := &queuedWriter{to: w, lost: lost, work: make(chan struct{}, 1), idle: idle}
	go q.run()
	return q
}

// Write queues one line. It never fails.
func (q *queuedWriter) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.bytes+len(line) > maxQueuedBytes {
		q.missed++
		return len(line), nil
	}
	if !q.busy {
		q.busy, q.idle = true, make(chan struct{})
	}
	q.queue = append(q.queue, append([]byte(nil), line...))
	q.bytes += len(line)
	select {
	case q.work <- struct{}{}:
	default:
	}
	return len(line), nil
}

// run writes the queued lines.
func (q *queuedWriter) run() {
	for range q.work {
		for text, lines := q.next(); text != nil; text, lines = q.next() {
			if _, err := q.to.Write(text); err != nil {
				q.countLost(lines)
			}
		}
	}
}

// next takes the next line to write, nil if there is none. If lines were lost before it, the line that
// tells it comes first. next also returns how many lines are lost if the text can't be written.
func (q *queuedWriter) next() (text []byte, lines int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.queue) == 0 {
		if q.busy {
			q.busy = false
			close(q.idle)
		}
		return nil, 0
	}
	text, lines = q.queue[0], 1+q.missed
	q.queue = q.queue[1:]
	q.bytes -= len(text)
	if q.missed > 0 {
		text = append(q.lost(q.missed), text...)
		q.missed = 0
	}
	return text, lines
}

// countLost counts lines that could not be written.
func (q *queuedWriter) countLost(lines int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.missed += lines
}

// flush waits until all queued lines are written, at most for the given time.
func (q *queuedWriter) flush(timeout time.Duration) {
	q.mu.Lock()
	idle := q.idle
	q.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-idle:
	case <-timer.C:
	}
}
