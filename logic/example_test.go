package logic_test

import (
	"fmt"
	"time"

	"oakseam/logic"
)

// A node creates a balancer and reports a server, a request and an outcome.
func Example() {
	b, err := logic.New(logic.Settings{
		Nodes: 2, Tick: time.Millisecond, SecondCopies: true, CanCancel: true,
		Classes: []logic.Class{{Name: "get", Aim: 100 * time.Millisecond, Deadline: time.Second,
			Worth: 1, Effect: logic.Safe}},
	}, 42)
	if err != nil {
		panic(err)
	}
	b.Handle(0, logic.ServerList{Kind: logic.ListFull, Servers: []logic.Server{{ID: "a", Capacity: 1}}})
	actions := b.Handle(time.Millisecond, logic.Request{ID: "r1", Class: "get", ClientTimeout: time.Second})
	for _, a := range actions {
		switch a := a.(type) {
		case logic.Send:
			fmt.Println("send", a.ID, "to", a.Server)
		case logic.SetTimer:
			fmt.Println("set a timer") // after a.After call Handle with Wake{a.Token}
		}
	}
	b.Handle(9*time.Millisecond, logic.Outcome{ID: "r1", Result: logic.OK, Final: true, Server: "a",
		Latency: 8 * time.Millisecond})
	// Output:
	// set a timer
	// send r1 to a
}
