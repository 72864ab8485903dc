// Package protocol defines the messages that the processes of the tier exchange over
// net/rpc. It depends on neither program.
//
// The messages are encoded with encoding/gob, which matches types and fields by their Go
// names. Those names are part of the wire format and must not change.
package protocol

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/tier/hashing"
)

// Class is the role of a node in the tier.
type Class uint8

// The classes of nodes.
const (
	Edge    Class = iota + 1 // carries client traffic, stores nothing
	Core                     // stores the configuration and the services, runs singleton tasks
	Storage                  // stores turns and token budgets
)

// Port offsets within the machine's internal port range. Each role has its own, because two
// roles on one machine run as two processes.
const (
	CorePort    = 0
	StoragePort = 1
)

// Node describes one incarnation of a control plane node and its address.
type Node struct {
	ID      replica.NodeID
	Name    string
	Class   Class
	Address string // of its net/rpc listener
	Zone    string
}

// SameNode reports whether both are incarnations of one node. A later incarnation replaces
// an earlier one.
func (n Node) SameNode(other Node) bool {
	return n.Class == other.Class && (n.Name == other.Name || n.Address == other.Address)
}

// PartitionMembers lists the voters of a turn partition. A node is listed before it becomes
// a voter, so a node that is not listed is not a voter.
type PartitionMembers struct {
	Change uint64 // commit index of the partition's log when this was reported; 0: the initial assignment
	Step   uint64 // orders reports with the same Change
	Voters []replica.NodeID
}

// Directory describes the control plane to all processes.
type Directory struct {
	Version    uint64
	Nodes      []Node             // core and storage nodes
	Retiring   []string           // names of nodes that are being removed
	Partitions []PartitionMembers // turn partitions by number; empty: not assigned yet
	// EvacuatedZones are the zones, sorted by name, whose servers must get no new requests.
	EvacuatedZones []string `cbor:",omitempty"`
}

// Server is one server process of a service.
type Server struct {
	ID       string
	Address  string
	Zone     string
	Capacity int
	Draining bool
	Warmup   time.Duration // remaining warm-up time when this warm-up was first listed; 0: the server is warm
	// WarmupPeriod numbers the warm-ups of the server from 1, so that two of the same length can be told
	// apart. It is 0 in the platform's lists.
	WarmupPeriod uint64 `cbor:",omitempty"`
	// WarmupHolders names the edges that may send to the server during this warm-up.
	WarmupHolders NodeNames `cbor:",omitempty"`
}

// NodeNames is a list of names of nodes, separated by spaces, which names do not contain. Unlike a slice
// it leaves the types that hold it comparable.
type NodeNames string

// JoinNames returns the list of the names.
func JoinNames(names []string) NodeNames { return NodeNames(strings.Join(names, " ")) }

// Split returns the names.
func (n NodeNames) Split() []string { return strings.Fields(string(n)) }

// ServerList holds the servers of a service.
type ServerList struct {
	Service string
	Version uint64 // increases with each change
	Servers []Server
}

// ServerListChange changes the list of one service of a partition. Each increases the partition's
// version by one.
type ServerListChange struct {
	Service string
	Version uint64   // of the list, and of its partition, after the change
	Servers []Server // added servers, and the new state of changed ones
	Removed []string // ids of removed servers
}

// PartitionChange holds the new members of a turn partition.
type PartitionChange struct {
	Number  int
	Members PartitionMembers
}

// DirectoryChange leads from version Base of the directory to Version.
type DirectoryChange struct {
	Base           uint64
	Version        uint64
	Nodes          []Node           // added nodes, and the new state of changed ones
	RemovedNodes   []replica.NodeID // ids of removed nodes
	Retiring       []string         // all of them
	Partitions     []PartitionChange
	PartitionCount int      // number of partitions after the change
	EvacuatedZones []string // all of them
}

// Raft groups of the control plane.
const (
	ConfigurationGroup replica.GroupID = "configuration"
	// ListerTask is the group that elects the node that runs the lister.
	ListerTask replica.GroupID = "duty-lister"
	// ServicePartitions is the number of service partitions.
	ServicePartitions = 4
	// turnGroupPrefix precedes the partition number in the group name of a turn partition.
	turnGroupPrefix = "turns-"
	// The number of turn partitions is proportional to the number of storage nodes at the
	// first start, within these bounds. It is recorded in the directory and never changes
	// afterwards.
	turnPartitionsPerNode = 2
	minTurnPartitions     = 8
	maxTurnPartitions     = 1024
)

// TurnPartitions returns the number of turn partitions that a tier starts with.
func TurnPartitions(storageNodes int) int {
	return min(max(turnPartitionsPerNode*storageNodes, minTurnPartitions), maxTurnPartitions)
}

// ServiceGroup returns the group of a service partition.
func ServiceGroup(partition int) replica.GroupID {
	return replica.GroupID(fmt.Sprintf("services-%d", partition))
}

// TurnGroup returns the group of a turn partition.
func TurnGroup(partition int) replica.GroupID {
	return replica.GroupID(turnGroupPrefix + strconv.Itoa(partition))
}

// TurnPartitionOf returns the turn partition of a group, or false for any other group.
func TurnPartitionOf(group replica.GroupID) (int, bool) {
	number, ok := strings.CutPrefix(string(group), turnGroupPrefix)
	if !ok {
		return 0, false
	}
	partition, err := strconv.Atoi(number)
	return partition, err == nil && partition >= 0 && partition < maxTurnPartitions && TurnGroup(partition) == group
}

// ServicePartition returns the partition of a service.
func ServicePartition(service string) int {
	return hashing.Partition(service, ServicePartitions)
}

// TurnPartition returns the partition of a program's turns and budget, or -1 if the
// partitions are not assigned yet.
func (d *Directory) TurnPartition(program string) int {
	if len(d.Partitions) == 0 {
		return -1
	}
	return hashing.Partition(program, len(d.Partitions))
}

// HelloArgs introduces one control plane process to another.
type HelloArgs struct {
	Self Node
	// KnownNodes is a digest of the nodes that the caller knows, 0: none. The reply omits the nodes if
	// the called node knows the same.
	KnownNodes uint64
	// WithoutNodes: the caller wants to know only whether the node responds.
	WithoutNodes bool
}

// HelloReply describes the called node and the nodes that it knows, unless the caller needs none.
type HelloReply struct {
	Self  Node
	Nodes []Node
}

// DeliverArgs carries Raft messages between members of groups.
type DeliverArgs struct{ Messages []replica.Message }

// Nothing is an empty reply.
type Nothing struct{}

// Outcome is the result of a forwarded call. Its values are part of the wire format.
type Outcome uint8

// The outcomes of a forwarded call.
const (
	Done        Outcome = iota + 1
	NotOwner            // nothing was done; Owner is the leader if known
	Unknown             // it may have been done, or may still be done
	Unavailable         // nothing was done
)

// ProposeArgs sends a command to a group's leader.
type ProposeArgs struct {
	Group   replica.GroupID
	Command []byte
	Within  time.Duration // timeout of the call
}

// ProposeReply holds the result of the applied command.
type ProposeReply struct {
	Outcome Outcome
	Owner   replica.NodeID // the leader if known
	Result  []byte
}

// IndexArgs asks a group's leader for a read index, which it returns after it has confirmed
// its leadership.
type IndexArgs struct {
	Group  replica.GroupID
	Within time.Duration // timeout of the call
}

// IndexReply holds the read index.
type IndexReply struct {
	Outcome Outcome
	Owner   replica.NodeID // the leader if known
	Index   uint64
}

// WatchArgs asks a core node for everything newer than the caller's versions. The reply
// comes at once if there is something newer, otherwise when there is, or empty after Wait.
type WatchArgs struct {
	Node      string
	Zone      string                    // of an edge; empty from builds before it existed
	Revision  uint64                    // of the configuration in force at the caller, 0: none
	Directory uint64                    // version of the caller's directory
	Services  [ServicePartitions]uint64 // versions of the caller's server lists
	Confirmed bool                      // the reply's configuration must be linearizable: no older than the newest at this moment
	// DirectoryOnly: the caller wants neither the configuration nor the server lists.
	DirectoryOnly bool
	// AcceptsChanges: the caller applies ListChanges and DirectoryChange. Builds before these existed
	// do not set it and receive whole lists and directories.
	AcceptsChanges bool
	// Patient: the caller knows no better node. The node must not reply before it has something
	// newer or can prove that its state is recent.
	Patient bool
	Wait    time.Duration // how long the call may stay open
}

// EdgeNode is an edge that follows the control plane.
type EdgeNode struct {
	Name string
	Zone string // empty if unknown
}

// EdgesReply lists the edges that follow a core node. The call has no arguments.
type EdgesReply struct{ Edges []EdgeNode }

// ConfigurationStep changes the configuration at revision Base to the one at Revision. Patch
// is a patch of package delta. Base 0 means that the patch holds the whole configuration.
type ConfigurationStep struct {
	Base     uint64
	Revision uint64
	Patch    []byte
}

// ReturnedZone is a zone whose evacuation was taken back. Its servers may have become cold shortly before, which
// an edge that was not there to see it learns only later from the platform's list.
type ReturnedZone struct {
	Zone    string
	Version uint64        // counts the accepted evacuation orders of the zone
	Age     time.Duration // when the reply was made: how long the evacuation has been taken back, at least
}

// WatchReply holds everything newer than the caller's versions. A nil pointer or a zero
// version means that there is nothing newer.
type WatchReply struct {
	Confirmed bool // the configuration is linearizable, as requested
	// Vouched: the leaders of the groups have proven that the state is recent. A node that
	// cannot prove it replies so at once, also to calls that wait.
	Vouched bool
	Age     time.Duration // upper bound on the staleness of the state when the reply was made
	Held    time.Duration // how long the node held the call before it replied

	Revision  uint64              // revision after Steps
	Steps     []ConfigurationStep // from the caller's revision, or a single one with Base 0
	Directory *Directory          // whole
	// DirectoryChange takes the place of Directory where the caller's version is recent.
	DirectoryChange *DirectoryChange
	// ReturnedZones come with a directory or a change of it. They are not part of it, as they have ages.
	ReturnedZones []ReturnedZone
	Services      [ServicePartitions]uint64 // versions of the server lists
	Lists         []ServerList              // complete lists of the partitions with a newer version
	// ListChanges take the place of Lists for partitions whose version at the caller is recent, in
	// the order of their versions.
	ListChanges []ServerListChange
}

// TurnOutcome is the state of a turn at the end of a call. Its values are part of the wire
// format.
type TurnOutcome uint8

// The outcomes of calls about turns.
const (
	TurnGranted         TurnOutcome = iota + 1 // durably reserved (Admit) or stored (Finish)
	TurnBudgetExhausted                        // the budget allows no further turn, nothing is reserved
	TurnNotFound                               // the partition certainly holds no such turn
	TurnClosed                                 // the attempt has already ended
	TurnNotOwner                               // nothing was done; Owner is the leader if known
	TurnUnknown                                // it may have been done
	TurnUnavailable                            // nothing was done
)

// AdmitArgs asks the leader of a program's partition to reserve a turn's tokens and to
// return the conversation history.
type AdmitArgs struct {
	Partition int // of the program
	Program   string
	Attempt   string        // id of the turn
	Previous  string        // id of the previous turn, "" at the start of a conversation
	Imported  bool          // the caller has the history from another partition
	Known     bool          // the caller has the history: only check that the previous turn is still stored
	Budget    uint64        // token budget of the program
	Most      uint64        // most tokens that the turn may output
	Keep      time.Duration // how long the turn is stored
	Token     uint64        // random id of this admission, tells it from another node's admission of the same turn
	Within    time.Duration // timeout of the call
	Relay     bool          // a node that is not the leader passes the call on to it; earlier builds do not
}

// AdmitReply returns the conversation history before the new input.
type AdmitReply struct {
	Outcome TurnOutcome
	Owner   replica.NodeID
	History []byte
}

// FinishArgs ends a turn. A turn whose answer is complete is stored.
type FinishArgs struct {
	Partition int // of the program
	Program   string
	Attempt   string        // id of the turn
	Whole     bool          // the answer is complete
	Tokens    uint64        // tokens sent to the client
	Previous  string        // id of the previous turn
	Imported  []byte        // history, if it came from another partition
	Input     []byte        // the client's input
	Output    []byte        // the data of each event, each followed by a line feed
	Token     uint64        // AdmitArgs.Token
	Keep      time.Duration // how long the turn is stored
	Within    time.Duration // timeout of the call
	Relay     bool          // as in AdmitArgs
}

// FinishReply reports whether the end of the turn is durable.
type FinishReply struct {
	Outcome TurnOutcome
	Owner   replica.NodeID
}

// FindArgs asks a storage node to look for a turn in all partitions that it leads.
type FindArgs struct {
	Attempt string        // id of the turn
	Within  time.Duration // timeout of the call
}

// FindReply returns the turn's complete text, or the partitions that certainly do not hold
// the turn.
type FindReply struct {
	Found   bool
	History []byte
	Without []int // partitions that do not hold the turn
}
