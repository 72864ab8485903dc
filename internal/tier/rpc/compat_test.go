package rpc

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/tier/protocol"
)

// earlierBuild is the directory of the fixtures. Each file holds the frames of one direction of a
// connection as they go over the wire: the bodies are one gob stream. The bytes were written by the
// build before identifiers were renamed, and must not be regenerated: gob finds fields by the names
// of Go, so a renamed field would be lost in a tier that runs both builds.
const earlierBuild = "testdata/earlier_build"

// firstSequence is the sequence number of a fixture's first frame. It takes two bytes as a uvarint.
const firstSequence = 300

// earlierStream is the content of one fixture.
type earlierStream struct {
	file   string
	text   string // of each frame's header
	bodies []any
}

var (
	coreNode    = protocol.Node{ID: 1<<63 + 5, Name: "core-1", Class: 2, Address: "10.1.0.1:7380", Zone: "zone-a"}
	storageNode = protocol.Node{ID: 7, Name: "storage-1", Class: 3, Address: "10.1.0.2:7381", Zone: "zone-b"}
)

// earlierStreams returns the arguments and replies of each served call. Enumerated values are written as
// numbers, as these are what is sent.
func earlierStreams() []earlierStream {
	return []earlierStream{
		{"watch_request.bin", "Control.Watch", []any{
			&protocol.WatchArgs{Node: "edge-1", Revision: 41, Directory: 42, Services: [protocol.ServicePartitions]uint64{1, 2, 3, 4},
				Confirmed: true, DirectoryOnly: true, Patient: true, Wait: 5 * time.Second},
			&protocol.WatchArgs{},
		}},
		{"watch_reply.bin", "", []any{
			&protocol.WatchReply{
				Confirmed: true, Vouched: true, Age: 6 * time.Millisecond, Held: 7 * time.Millisecond, Revision: 43,
				Steps: []protocol.ConfigurationStep{{Base: 41, Revision: 42, Patch: []byte("first")}, {Base: 42, Revision: 43, Patch: []byte("second")}},
				Directory: &protocol.Directory{
					Version: 44, Nodes: []protocol.Node{coreNode, storageNode}, Retiring: []string{"storage-1"},
					Partitions: []protocol.PartitionMembers{{Change: 8, Step: 9, Voters: []replica.NodeID{7, 1<<63 + 6}}, {Change: 10, Step: 11, Voters: []replica.NodeID{7}}},
				},
				Services: [protocol.ServicePartitions]uint64{5, 6, 7, 8},
				Lists: []protocol.ServerList{{Service: "tiny", Version: 12, Servers: []protocol.Server{
					{ID: "s-1", Address: "10.2.0.1:9000", Zone: "zone-a", Capacity: 13, Draining: true, Warmup: 14 * time.Second}}}},
			},
			&protocol.WatchReply{},
		}},
		{"hello_request.bin", "Replica.Hello", []any{&protocol.HelloArgs{Self: coreNode}}},
		{"hello_reply.bin", "", []any{&protocol.HelloReply{Self: storageNode, Nodes: []protocol.Node{coreNode, storageNode}}}},
		{"deliver_request.bin", "Replica.Deliver", earlierDeliveries()},
		{"deliver_reply.bin", "", []any{&protocol.Nothing{}}},
		{"index_request.bin", "Replica.Index", []any{&protocol.IndexArgs{Group: "turns-3", Within: 15 * time.Millisecond}}},
		{"index_reply.bin", "", []any{&protocol.IndexReply{Outcome: 1, Owner: 16, Index: 17}}},
		{"propose_request.bin", "Replica.Propose", []any{&protocol.ProposeArgs{Group: "configuration", Command: []byte("command"), Within: 18 * time.Millisecond}}},
		{"propose_reply.bin", "", []any{
			&protocol.ProposeReply{Outcome: 1, Owner: 19, Result: []byte("result")},
			&protocol.ProposeReply{Outcome: 2, Owner: 20},
			&protocol.ProposeReply{Outcome: 3},
			&protocol.ProposeReply{Outcome: 4},
		}},
		{"admit_request.bin", "Turns.Admit", []any{&protocol.AdmitArgs{Partition: 21, Program: "program", Attempt: "attempt", Previous: "previous",
			Imported: true, Known: true, Budget: 22, Most: 23, Keep: 24 * time.Second, Token: 1<<63 + 25, Within: 26 * time.Millisecond}}},
		{"admit_reply.bin", "", []any{
			&protocol.AdmitReply{Outcome: 1, Owner: 27, History: []byte("history")},
			&protocol.AdmitReply{Outcome: 5, Owner: 28},
		}},
		{"finish_request.bin", "Turns.Finish", []any{&protocol.FinishArgs{Partition: 29, Program: "program", Attempt: "attempt", Whole: true, Tokens: 30,
			Previous: "previous", Imported: []byte("imported"), Input: []byte("input"), Output: []byte("output\n"), Token: 1<<63 + 31,
			Keep: 32 * time.Second, Within: 33 * time.Millisecond}}},
		{"finish_reply.bin", "", []any{&protocol.FinishReply{Outcome: 7, Owner: 34}}},
		{"find_request.bin", "Turns.Find", []any{&protocol.FindArgs{Attempt: "attempt", Within: 35 * time.Millisecond}}},
		{"find_reply.bin", "", []any{
			&protocol.FindReply{Found: true, History: []byte("history"), Without: []int{36, 37}},
			&protocol.FindReply{},
		}},
	}
}

// earlierDeliveries returns a call for each kind of message. The first message has every field set, which
// no sender does, so that none is left out.
func earlierDeliveries() []any {
	messages := []replica.Message{
		{Group: "turns-1", Kind: 0, From: 1<<63 + 1, To: 2, Term: 3, Index: 4, LogTerm: 5, Commit: 6,
			Entries: []replica.Entry{
				{Index: 7, Term: 8, Kind: 0, Data: []byte("command")},
				{Index: 9, Term: 10, Kind: 1},
				{Index: 11, Term: 12, Kind: 2, Data: []byte("members")},
			},
			Reject: true, Hint: 13, Forced: true, Sent: 14 * time.Millisecond,
			Snapshot: &replica.Snapshot{Index: 15, Term: 16,
				Members: replica.Members{Voters: []replica.NodeID{1, 1<<63 + 2}, Learners: []replica.NodeID{3}}, State: []byte("part")},
			Offset: 17, Size: 18, Returning: true, Life: 19, Asked: 20 * time.Millisecond, Newest: 21},
		{Group: "turns-1", Kind: 1, From: 2, To: 1, Term: 3, Reject: true, Sent: 4, Returning: true, Life: 5},
		{Group: "turns-1", Kind: 2, From: 1, To: 2, Term: 4, Index: 5, LogTerm: 3, Forced: true, Returning: true, Life: 6, Sent: 7},
		{Group: "turns-1", Kind: 3, From: 2, To: 1, Term: 4, Reject: true, Sent: 7},
		{Group: "turns-1", Kind: 4, From: 1, To: 2, Term: 4, Index: 5, LogTerm: 3, Commit: 4,
			Entries: []replica.Entry{{Index: 6, Term: 4, Kind: 0, Data: []byte("x")}}, Sent: 8, Life: 9, Asked: 10, Newest: 4},
		{Group: "turns-1", Kind: 5, From: 2, To: 1, Term: 4, Index: 5, LogTerm: 2, Reject: true, Hint: 3, Sent: 8, Life: 9, Asked: 10},
		{Group: "turns-1", Kind: 6, From: 1, To: 2, Term: 4, Snapshot: &replica.Snapshot{Index: 30, Term: 4,
			Members: replica.Members{Voters: []replica.NodeID{1, 2}, Learners: []replica.NodeID{3}}, State: []byte("rest")}, Offset: 31, Size: 35, Sent: 11},
		{Group: "turns-1", Kind: 7, From: 1, To: 2, Term: 4, Sent: 12},
		{Group: "turns-1", Kind: 8, From: 2, To: 1, Term: 4, Index: 30, Offset: 31, Sent: 11},
	}
	calls := []any{&protocol.DeliverArgs{Messages: messages}}
	for i := range messages {
		calls = append(calls, &protocol.DeliverArgs{Messages: messages[i : i+1]})
	}
	return calls
}

// A build must understand the calls and answers of the one before it, as both run side by side
// while a tier is replaced machine by machine.
func TestDecodesCallsOfEarlierBuild(t *testing.T) {
	for _, s := range earlierStreams() {
		t.Run(s.file, func(t *testing.T) {
			raw, err := os.ReadFile(filepath.Join(earlierBuild, s.file))
			assert.NilError(t, err)
			from := bytes.NewReader(raw)
			frames := frameReader{from: from, limit: len(raw)}
			var bodies decoder
			var written []byte
			for i, want := range s.bodies {
				frame, err := frames.next()
				assert.NilError(t, err)
				head, body, err := parseHeader(frame)
				assert.NilError(t, err)
				wantHead := header{sequence: uint64(firstSequence + i), text: s.text}
				if i == 0 {
					wantHead.flags = flagRestart
				}
				assert.Equal(t, head, wantHead)
				written = append(written, byte(len(frame)>>24), byte(len(frame)>>16), byte(len(frame)>>8), byte(len(frame)))
				written = append(appendHeader(written, head), body...)
				got := reflect.New(reflect.TypeOf(want).Elem()).Interface()
				assert.NilError(t, bodies.decode(head.flags, body, got))
				assert.DeepEqual(t, got, want)
			}
			_, err = frames.next()
			assert.ErrorIs(t, err, io.EOF)
			assert.Assert(t, bytes.Equal(written, raw), "the headers must be written as they were")
		})
	}
}

// An answer without a body, such as an error, must have the bytes that it had.
func TestErrorFrameIsThatOfEarlierBuild(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join(earlierBuild, "error_reply.bin"))
	assert.NilError(t, err)
	e := encoder{limit: 100}
	frame, err := e.frame(header{sequence: firstSequence, text: "an error"}, nil)
	assert.NilError(t, err)
	assert.DeepEqual(t, frame, raw)
	h, body, err := parseHeader(raw[prefixBytes:])
	assert.NilError(t, err)
	assert.Equal(t, h, header{flags: flagBodiless, sequence: firstSequence, text: "an error"})
	assert.Equal(t, len(body), 0)
}
