package replica_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"
)

func TestDebugSeed(t *testing.T) {
	s := os.Getenv("SEED")
	if s == "" {
		t.Skip()
	}
	n, _ := strconv.Atoi(s)
	o := options{seed: uint64(n)}
	w := newWorld(o)
	w.found()
	w.every(5e6, 15e6, w.client.next)
	w.every(15e6, 40e6, w.administer)
	w.every(5e6, 100e6, w.fault)
	w.run(faultyFor, func() bool { return false })
	w.heal()
	w.run(faultyFor+healedFor, w.recovered)
	for _, o := range w.client.history {
		fmt.Printf("%d kind %d exp %d val %d call %d done %d eff %d known %v failed %v succ %v\n", o.number, o.kind, o.expected, o.value, o.call, o.done, w.client.effect[o.number], o.known, o.failed, o.succeeded)
	}
}

var trace = os.Getenv("SEED") != ""
