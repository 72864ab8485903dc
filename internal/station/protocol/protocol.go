// Package protocol holds the messages that the processes of the tier exchange over
// net/rpc. It knows neither program.
package protocol

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"pipitmux/internal/barograph/replica"
	"pipitmux/internal/station/hashing"
)

// Class is what a node does in the tier.
type Class uint8

// The classes of nodes.
const (
	Edge    Class = iota + 1 // carries traffic, keeps nothing
	Core                     // keeps configuration, services and duties
	Storage                  // keeps turns and budgets
)

// Port offsets in the range that the machine keeps free for the tier, one a role, since
// two roles of one machine run as two processes.
const (
	CorePort    = 0
	StoragePort = 1
)

// Node is one incarnation of a node of the control plane, and where it is reached.
type Node struct {
	ID      replica.NodeID
	Name    string
	Class   Class
	Address string // of its net/rpc listener
	Zone    string
}

// SameNode tells whether both are incarnations of one node: a later one takes the
// place of an earlier one.
func (n Node) SameNode(o Node) bool {
	return n.Class == o.Class && (n.Name == o.Name || n.Address == o.Address)
}

// PartitionMembers tells who keeps a partition of the turns. Who is about to become a voter
// stands among the voters before: nobody else is one.
type PartitionMembers struct {
	Change uint64 // index in the partition's own log up to which all was committed when this was told, 0: as first assigned
	Step   uint64 // counts what else was told at that index
	Voters []replica.NodeID
}

// Directory is what all processes are told of the control plane.
type Directory struct {
	Version    uint64
	Nodes      []Node // core and storage
	Retiring   []string
	Partitions []PartitionMembers // of the turns, by number; empty: not assigned yet
}

// Server is one process of a service.
type Server struct {
	ID       string
	Address  string
	Zone     string
	Capacity int
	Draining bool
	Warmup   time.Duration // how much longer it was slow when it was listed first
}

// ServerList holds the servers of a service.
type ServerList struct {
	Service string
	Version uint64 // rises with each change
	Servers []Server
}

// Groups of the control plane.
const (
	ConfigurationGroup replica.GroupID = "configuration"
	ListerTask         replica.GroupID = "duty-lister"
	// ServicePartitions is how many partitions hold the services.
	ServicePartitions = 4
	// turnGroupPrefix stands before a partition's number in the name of its group.
	turnGroupPrefix = "turns-"
	// The turns and budgets are cut into so many partitions for each storage node that is
	// there at the first start, within these bounds. The number then stays: it stands in the
	// directory.
	partitionsPerNode = 2
	partitionsLeast   = 8
	partitionsMost    = 1024
)

// TurnPartitions is how many partitions of the turns so many storage nodes begin with.
func TurnPartitions(nodes int) int {
	return min(max(partitionsPerNode*nodes, partitionsLeast), partitionsMost)
}

// ServiceGroup names the group of a partition of the services.
func ServiceGroup(partition int) replica.GroupID {
	return replica.GroupID(fmt.Sprintf("services-%d", partition))
}

// TurnGroup names the group of a partition of the turns.
func TurnGroup(partition int) replica.GroupID {
	return replica.GroupID(turnGroupPrefix + strconv.Itoa(partition))
}

// TurnPartitionOf reads the name of a partition's group; false for any other group.
func TurnPartitionOf(group replica.GroupID) (int, bool) {
	number, ok := strings.CutPrefix(string(group), turnGroupPrefix)
	if !ok {
		return 0, false
	}
	partition, err := strconv.Atoi(number)
	return partition, err == nil && partition >= 0 && partition < partitionsMost && TurnGroup(partition) == group
}

// ServicePartition is the partition of a service.
func ServicePartition(service string) int {
	return hashing.Partition(service, ServicePartitions)
}

// TurnPartition is the partition of a program's turns and budget, -1 where the partitions
// aren't dealt out yet.
func (d *Directory) TurnPartition(program string) int {
	if len(d.Partitions) == 0 {
		return -1
	}
	return hashing.Partition(program, len(d.Partitions))
}

// HelloArgs introduces a process of the control plane to another.
type HelloArgs struct{ Self Node }

// HelloReply is who was asked, and whom it knows.
type HelloReply struct {
	Self  Node
	Nodes []Node
}

// DeliverArgs brings messages between members of groups.
type DeliverArgs struct{ Messages []replica.Message }

// Nothing is an empty message.
type Nothing struct{}

// Outcome is how a forwarded call ended.
type Outcome uint8

// The outcomes of a forwarded call.
const (
	Done        Outcome = iota + 1
	NotOwner            // Owner names a better one where it is known; nothing was done
	Unknown             // it may have been done, or may still be
	Unavailable         // nothing was done
)

// ProposeArgs hands a command to a group's owner.
type ProposeArgs struct {
	Group   replica.GroupID
	Command []byte
	Within  time.Duration
}

// ProposeReply is the result of the command's application.
type ProposeReply struct {
	Outcome Outcome
	Owner   replica.NodeID
	Result  []byte
}

// IndexArgs asks a group's owner how far it has applied, after it has proven that it is the owner.
type IndexArgs struct {
	Group  replica.GroupID
	Within time.Duration
}

// IndexReply is that index.
type IndexReply struct {
	Outcome Outcome
	Owner   replica.NodeID
	Index   uint64
}

// WatchArgs asks a core node for what is newer than the caller has. The call is answered
// at once where there is news, else when some comes, or empty after Wait.
type WatchArgs struct {
	Node      string
	Revision  uint64 // of the configuration in force at the caller, 0: none
	Directory uint64
	Services  [ServicePartitions]uint64
	Confirmed bool // the answer's configuration must be no older than the newest at this moment
	// DirectoryOnly: neither the configuration nor the lists of servers are wanted.
	DirectoryOnly bool
	Patient       bool // the caller knows of nobody better: no answer is wanted before there is news or a proof
	Wait          time.Duration
}

// ConfigurationStep leads from the configuration at Base to the one at Revision: a patch of
// package patch. Base 0: from nothing.
type ConfigurationStep struct {
	Base, Revision uint64
	Patch          []byte
}

// WatchReply holds what is newer. A nil pointer or zero version: nothing.
type WatchReply struct {
	Confirmed bool
	// Vouched: what the node tells is recent, proven by the owners of the groups. Age is how old
	// it was at the most when the answer was made, Held how long before that the question came.
	// A node that can't vouch says so at once, also to questions that wait.
	Vouched   bool
	Age, Held time.Duration

	Revision  uint64              // that Steps lead to
	Steps     []ConfigurationStep // from the caller's revision, or one without a base
	Directory *Directory
	Services  [ServicePartitions]uint64
	Lists     []ServerList // of the partitions whose version is newer, whole
}

// Where a turn stands at the end of a call.
type TurnOutcome uint8

// The outcomes of calls about turns.
const (
	TurnGranted         TurnOutcome = iota + 1 // reserved (Admit) or kept (Finish), durably
	TurnBudgetExhausted                        // the budget holds no further turn, nothing is reserved
	TurnNotFound                               // the partition surely holds no such turn
	TurnClosed                                 // the try has ended already
	TurnNotOwner                               // Owner names a better one where known; nothing was done
	TurnUnknown                                // it may have been done
	TurnUnavailable                            // nothing was done
)

// AdmitArgs asks the owner of a program's partition to reserve a turn's tokens and to
// tell what was said before.
type AdmitArgs struct {
	Partition int // of the program
	Program   string
	Attempt   string
	Previous  string // "" at the start of a line
	Imported  bool   // what was said before is known from another partition
	Known     bool   // what was said before is at hand: only whether the turn is kept is asked
	Budget    uint64
	Most      uint64 // tokens that the turn may put out
	Keep      time.Duration
	Token     uint64 // drawn for the try: another node\'s admission of it is told apart
	Within    time.Duration
}

// AdmitReply brings the text before the new input.
type AdmitReply struct {
	Outcome TurnOutcome
	Owner   replica.NodeID
	History []byte
}

// FinishArgs ends a try. A turn that was answered whole is kept.
type FinishArgs struct {
	Partition int // of the program
	Program   string
	Attempt   string
	Whole     bool
	Tokens    uint64 // handed to the client
	Previous  string
	Imported  []byte // text before, where it came from another partition
	Input     []byte
	Output    []byte // the data of each event, a line feed behind each
	Token     uint64 // of the admission
	Keep      time.Duration
	Within    time.Duration
}

// FinishReply tells whether the end is durable.
type FinishReply struct {
	Outcome TurnOutcome
	Owner   replica.NodeID
}

// FindArgs asks a storage node for a turn in all partitions that it owns.
type FindArgs struct {
	Attempt string
	Within  time.Duration
}

// FindReply brings the turn's whole text, or the partitions that surely don't hold it.
type FindReply struct {
	Found   bool
	History []byte
	Without []int
}
