// Command simhost runs many instances of the decision module on the
// simulator's wire: batches of events on standard input, one reply for each
// on standard output. The instances share nothing.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"

	"pipitmux/internal/wire"
	"pipitmux/logic"
)

func main() {
	debug.SetGCPercent(400) // many small instances in one process: collect less often
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "simhost: %v\n", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	r := wire.NewReader(in)
	w := bufio.NewWriterSize(out, 1<<20)
	h := host{nodes: map[int]*logic.Balancer{}}
	for {
		b, err := r.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if h.reply, err = h.answer(h.reply[:0], b); err != nil {
			return err
		}
		if _, err := w.Write(h.reply); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
	}
}

// host holds the running instances. One whose decision code has failed stays
// as nil until it is stopped or started anew.
type host struct {
	nodes map[int]*logic.Balancer
	reply []byte
}

// answer adds the reply to a batch to dst.
func (h *host) answer(dst []byte, b *wire.Batch) ([]byte, error) {
	for i := range b.Items {
		it := &b.Items[i]
		switch it.Op {
		case wire.OpStart:
			dst = h.start(dst, it)
			continue
		case wire.OpStop:
			delete(h.nodes, it.Node)
			continue
		}
		n, ok := h.nodes[it.Node]
		if !ok {
			return dst, &wire.LineError{Line: it.Line, Err: fmt.Errorf("instance %d was never started", it.Node)}
		}
		if n != nil && it.Op == wire.OpEvent {
			dst = h.event(dst, n, it, b.Now)
		}
	}
	return wire.AppendEnd(dst, b.Seq), nil
}

func (h *host) start(dst []byte, it *wire.Item) []byte {
	s, err := wire.ParseSettings(it.Settings)
	if err == nil {
		h.nodes[it.Node], err = logic.New(s, it.Seed)
	}
	if err != nil {
		h.nodes[it.Node] = nil
		return wire.AppendFault(dst, it.Node, err.Error())
	}
	return dst
}

// event lets an instance decide; a panic is reported as its failure.
func (h *host) event(dst []byte, n *logic.Balancer, it *wire.Item, now time.Duration) (res []byte) {
	whole := len(dst)
	defer func() {
		if p := recover(); p != nil {
			h.nodes[it.Node] = nil
			fmt.Fprintf(os.Stderr, "simhost: instance %d: panic: %v\n%s", it.Node, p, debug.Stack())
			res = wire.AppendFault(dst[:whole], it.Node, fmt.Sprintf("panic: %v", p))
		}
	}()
	for _, a := range n.Handle(now, it.Event) {
		dst = wire.AppendAction(dst, it.Node, a)
	}
	return dst
}
