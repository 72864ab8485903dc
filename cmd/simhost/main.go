// Command simhost runs instances of the decision module for the simulator. It reads batches of
// events on standard input and writes one reply for each batch on standard output, in the line
// protocol of package simproto. The instances share no state.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"

	"oakseam/internal/simproto"
	"oakseam/logic"
)

func main() {
	debug.SetGCPercent(400) // run the collector less often: the process holds many small instances
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "simhost: %v\n", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends, or returns the first error.
func run(in io.Reader, out io.Writer) error {
	reader := simproto.NewReader(in)
	w := bufio.NewWriterSize(out, 1<<20)
	h := host{nodes: map[int]*logic.Balancer{}}
	for {
		batch, err := reader.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if h.reply, err = h.answer(h.reply[:0], batch); err != nil {
			return err
		}
		if _, err := w.Write(h.reply); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
	}
}

// host holds the running instances by number. An instance whose decision code failed is kept as
// nil until it is stopped or started again.
type host struct {
	nodes map[int]*logic.Balancer
	reply []byte // buffer of the present reply
}

// answer handles a batch and appends the reply to dst.
func (h *host) answer(dst []byte, batch *simproto.Batch) ([]byte, error) {
	for i := range batch.Items {
		item := &batch.Items[i]
		switch item.Op {
		case simproto.OpStart:
			dst = h.start(dst, item)
			continue
		case simproto.OpStop:
			delete(h.nodes, item.Node)
			continue
		}
		balancer, ok := h.nodes[item.Node]
		if !ok {
			return dst, &simproto.LineError{Line: item.Line, Err: fmt.Errorf("instance %d was never started", item.Node)}
		}
		if balancer != nil && item.Op == simproto.OpEvent {
			dst = h.event(dst, balancer, item, batch.Now)
		}
	}
	return simproto.AppendFinished(dst, batch.Seq), nil
}

// start creates an instance. Settings that cannot be used are reported as its failure.
func (h *host) start(dst []byte, item *simproto.Item) []byte {
	settings, err := simproto.ParseSettings(item.Settings)
	if err == nil {
		h.nodes[item.Node], err = logic.New(settings, item.Seed)
	}
	if err != nil {
		h.nodes[item.Node] = nil
		return simproto.AppendBug(dst, item.Node, err.Error())
	}
	return dst
}

// event passes an event to an instance and appends its actions to dst. A panic is reported as
// the failure of the instance, in place of its actions.
func (h *host) event(dst []byte, balancer *logic.Balancer, item *simproto.Item, now time.Duration) (reply []byte) {
	begin := len(dst)
	defer func() {
		if p := recover(); p != nil {
			h.nodes[item.Node] = nil
			fmt.Fprintf(os.Stderr, "simhost: instance %d: panic: %v\n%s", item.Node, p, debug.Stack())
			reply = simproto.AppendBug(dst[:begin], item.Node, fmt.Sprintf("panic: %v", p))
		}
	}()
	for _, a := range balancer.Handle(now, item.Event) {
		dst = simproto.AppendAction(dst, item.Node, a)
	}
	return dst
}
