package watch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/controlplane/revisions"
	"oakseam/internal/controlplane/servers"
	"oakseam/internal/tier/protocol"
	"oakseam/internal/tier/rpc"
)

// This file plays core nodes that apply the same logs at different speeds and many followers whose
// calls go to any of them, are answered in any order, or are lost. At every moment a follower must hold
// exactly what the logs led to at the version that it states.

// replicationCore is a core node: the state machines of one service partition and of the directory.
type replicationCore struct {
	lists     *servers.Machine
	directory *revisions.Machine
	applied   int // commands of the log
}

// replicationWorld is the state of one run.
type replicationWorld struct {
	rng         *rand.Rand
	log         []replicationCommand
	reference   *replicationCore
	listsAt     map[uint64]string // what the lists are at a version, as text
	directoryAt map[uint64]string
	cores       []*replicationCore
	followers   []*Follower
	pending     []pendingReply
	corrupt     func(*Follower, *protocol.WatchReply) // makes a delivery wrong; nil: none is
	violations  []string
}

type replicationCommand struct {
	publication []byte // for the lists, or nil
	directory   []byte // for the directory, or nil
}

type pendingReply struct {
	follower *Follower
	reply    protocol.WatchReply
}

const (
	replicationFollowers = 300
	replicationCores     = 3
	replicationSteps     = 6000
)

func newReplicationCore() *replicationCore {
	return &replicationCore{lists: servers.New(nil), directory: revisions.New(nil)}
}

func newReplicationWorld(seed uint64) *replicationWorld {
	w := &replicationWorld{
		rng: rand.New(rand.NewPCG(seed, 1)), reference: newReplicationCore(), listsAt: map[uint64]string{}, directoryAt: map[uint64]string{},
	}
	for range replicationCores {
		w.cores = append(w.cores, newReplicationCore())
	}
	for i := range replicationFollowers {
		w.followers = append(w.followers, New(Options{Name: fmt.Sprint("edge-", i), Pool: rpc.NewPool(rpc.Options{})}))
	}
	w.record()
	return w
}

// record notes what the reference holds at its versions.
func (w *replicationWorld) record() {
	lists, version := w.reference.lists.Lists()
	w.listsAt[version] = listsText(lists)
	directory := w.reference.directory.Directory()
	w.directoryAt[directory.Version] = directoryText(directory)
}

func listsText(lists []protocol.ServerList) string {
	text := ""
	for _, l := range lists {
		text += fmt.Sprintf("%s %d %+v;", l.Service, l.Version, l.Servers)
	}
	return text
}

func directoryText(d protocol.Directory) string {
	nodes := slices.SortedFunc(slices.Values(d.Nodes), func(a, b protocol.Node) int { return int(a.ID) - int(b.ID) })
	return fmt.Sprintf("%+v %+v %v %v", nodes, d.Retiring, d.Partitions, d.EvacuatedZones)
}

// append adds a random command to the log and applies it to the reference.
func (w *replicationWorld) append(t *testing.T) {
	t.Helper()
	sequence := uint64(len(w.log) + 1)
	var command replicationCommand
	var err error
	if w.rng.IntN(2) == 0 {
		s := servers.Service{Name: service}
		for id := range 12 {
			if w.rng.IntN(6) > 0 {
				s.Servers = append(s.Servers, protocol.Server{ID: fmt.Sprintf("s-%02d", id), Draining: w.rng.IntN(8) == 0})
			}
		}
		p := servers.Publication{Epoch: 1, Sequence: sequence, Services: []servers.Service{s}}
		command.publication, err = p.Encode()
	} else {
		node := protocol.Node{ID: replica.NodeID(w.rng.IntN(9) + 1), Class: protocol.Storage}
		node.Name, node.Address = fmt.Sprint("storage-", node.ID), fmt.Sprint("10.0.0.", node.ID, ":", w.rng.IntN(2))
		c := revisions.Command{Register: &node}
		switch w.rng.IntN(6) {
		case 0, 1:
			c = revisions.Command{Forget: node.ID}
		case 2:
			zone := fmt.Sprint("zone-", w.rng.IntN(3))
			evacuated, version := w.reference.directory.Zone(zone)
			c = revisions.Command{Evacuate: &revisions.Evacuation{Zone: zone, Base: version, Evacuated: !evacuated}}
		}
		command.directory, err = c.Encode()
	}
	assert.NilError(t, err)
	w.log = append(w.log, command)
	w.reference.applyNext(w.log)
	w.record()
}

// applyNext applies the next command of the log, if there is one.
func (c *replicationCore) applyNext(log []replicationCommand) {
	if c.applied == len(log) {
		return
	}
	command := log[c.applied]
	c.applied++
	if command.publication != nil {
		c.lists.Apply(command.publication)
	} else {
		c.directory.Apply(command.directory)
	}
}

// restart replaces a core node by one that restored its snapshots.
func (c *replicationCore) restart(t *testing.T) {
	t.Helper()
	lists, directory := c.lists.Snapshot(), c.directory.Snapshot()
	assert.NilError(t, c.lists.Restore(lists))
	assert.NilError(t, c.directory.Restore(directory))
}

// reply answers a call as the Watch call of a core node does.
func (c *replicationCore) reply(args protocol.WatchArgs) protocol.WatchReply {
	partition := protocol.ServicePartition(service)
	reply := protocol.WatchReply{Vouched: true}
	if directory := c.directory.Directory(); directory.Version > args.Directory {
		if change, ok := c.directory.DirectorySince(args.Directory); ok {
			reply.DirectoryChange = change
		} else {
			reply.Directory = &directory
		}
	}
	if lists, version := c.lists.Lists(); version > args.Services[partition] {
		reply.Services[partition] = version
		if changes, ok := c.lists.Since(args.Services[partition]); ok {
			reply.ListChanges = changes
		} else {
			reply.Lists = lists
		}
	}
	return reply
}

// call has a follower call a random core node. The reply is delivered later.
func (w *replicationWorld) call(f *Follower) {
	reply := w.cores[w.rng.IntN(len(w.cores))].reply(f.watchArgs(false))
	w.pending = append(w.pending, pendingReply{f, reply})
}

// deliver delivers one of the pending replies, or loses it, and checks what its follower holds then.
func (w *replicationWorld) deliver(lose bool) {
	if len(w.pending) == 0 {
		return
	}
	i := w.rng.IntN(len(w.pending))
	p := w.pending[i]
	w.pending = slices.Delete(w.pending, i, i+1)
	if lose {
		return
	}
	if w.corrupt != nil {
		w.corrupt(p.follower, &p.reply)
	}
	p.follower.merge(&p.reply)
	w.check(p.follower)
}

// check compares what a follower holds with what the logs led to at its versions.
func (w *replicationWorld) check(f *Follower) {
	partition := protocol.ServicePartition(service)
	if version := f.services[partition]; version > 0 && listsText(f.lists[partition]) != w.listsAt[version] {
		w.violations = append(w.violations, fmt.Sprintf("%s: lists at version %d", f.options.Name, version))
	}
	if version := f.directory.Version; version > 0 && directoryText(f.directory) != w.directoryAt[version] {
		w.violations = append(w.violations, fmt.Sprintf("%s: directory at version %d", f.options.Name, version))
	}
}

// run plays random events, then lets everything catch up.
func (w *replicationWorld) run(t *testing.T) {
	t.Helper()
	for range replicationSteps {
		core, f := w.cores[w.rng.IntN(len(w.cores))], w.followers[w.rng.IntN(len(w.followers))]
		switch event := w.rng.IntN(100); {
		case event < 3:
			w.append(t)
		case event < 15:
			core.applyNext(w.log)
		case event < 16:
			core.restart(t)
		case event < 17:
			f.RefreshLists()
		case event < 58:
			w.call(f)
		default:
			w.deliver(w.rng.IntN(10) == 0)
		}
	}
	for _, core := range w.cores {
		for core.applied < len(w.log) {
			core.applyNext(w.log)
		}
	}
	for len(w.pending) > 0 {
		w.deliver(false)
	}
	for _, f := range w.followers {
		for range 3 { // a change may not apply, the whole is then requested
			w.call(f)
			w.deliver(false)
		}
	}
}

// checkCaughtUp reports the followers that have not reached the newest versions.
func (w *replicationWorld) checkCaughtUp(t *testing.T) {
	t.Helper()
	_, version := w.reference.lists.Lists()
	for _, f := range w.followers {
		assert.Equal(t, f.services[protocol.ServicePartition(service)], version, f.options.Name)
		assert.Equal(t, f.directory.Version, w.reference.directory.Directory().Version, f.options.Name)
	}
}

func TestFollowersHoldWhatTheLogsLedTo(t *testing.T) {
	for seed := range uint64(8) {
		w := newReplicationWorld(seed)
		w.run(t)
		assert.Equal(t, len(w.violations), 0, "seed %d: %v", seed, w.violations)
		w.checkCaughtUp(t)
	}
}

// Wrong variants must be caught: changes of which one is lost, a change of the directory without the
// nodes that left or the evacuated zones, and one that is applied to whatever version is held.
func TestWrongChangesAreCaught(t *testing.T) {
	for name, corrupt := range map[string]func(*Follower, *protocol.WatchReply){
		"a change of lists is lost": func(_ *Follower, r *protocol.WatchReply) {
			if len(r.ListChanges) < 2 {
				return
			}
			r.ListChanges = slices.Clone(r.ListChanges)
			r.ListChanges[0].Servers, r.ListChanges[0].Removed = nil, nil
		},
		"nodes that left are not named": func(_ *Follower, r *protocol.WatchReply) {
			if r.DirectoryChange != nil {
				change := *r.DirectoryChange
				change.RemovedNodes = nil
				r.DirectoryChange = &change
			}
		},
		"evacuated zones are left out": func(_ *Follower, r *protocol.WatchReply) {
			if r.DirectoryChange != nil {
				change := *r.DirectoryChange
				change.EvacuatedZones = nil
				r.DirectoryChange = &change
			}
		},
		"a change of the directory is applied to any version": func(f *Follower, r *protocol.WatchReply) {
			if r.DirectoryChange != nil {
				change := *r.DirectoryChange
				change.Base = f.directory.Version
				r.DirectoryChange = &change
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newReplicationWorld(2)
			w.corrupt = corrupt
			w.run(t)
			assert.Assert(t, len(w.violations) > 0)
		})
	}
}
