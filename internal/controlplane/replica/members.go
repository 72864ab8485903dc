package replica

import (
	"encoding/binary"
	"slices"

	"github.com/go-faster/errors"
)

// IsVoter reports whether node is a voter.
func (m Members) IsVoter(node NodeID) bool { return slices.Contains(m.Voters, node) }

// IsLearner reports whether node is a learner.
func (m Members) IsLearner(node NodeID) bool { return slices.Contains(m.Learners, node) }

// Contains reports whether node is a member.
func (m Members) Contains(node NodeID) bool { return m.IsVoter(node) || m.IsLearner(node) }

// Quorum returns the number of voters that make a majority.
func (m Members) Quorum() int { return len(m.Voters)/2 + 1 }

// All returns the voters and then the learners.
func (m Members) All() []NodeID { return slices.Concat(m.Voters, m.Learners) }

// Clone returns a deep copy of m.
func (m Members) Clone() Members {
	return Members{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners)}
}

// Encode returns the members as the Data of a MembershipChange entry.
func (m Members) Encode() []byte {
	data := appendNodes(nil, m.Voters)
	return appendNodes(data, m.Learners)
}

// DecodeMembers parses the Data of a MembershipChange entry. It fails with ErrInvalidMembers.
func DecodeMembers(data []byte) (Members, error) {
	voters, rest, err := readNodes(data)
	if err != nil {
		return Members{}, errors.Wrap(err, "voters")
	}
	learners, rest, err := readNodes(rest)
	if err != nil {
		return Members{}, errors.Wrap(err, "learners")
	}
	if len(rest) != 0 {
		return Members{}, errors.Wrap(ErrInvalidMembers, "trailing bytes")
	}
	return Members{Voters: voters, Learners: learners}, nil
}

func appendNodes(data []byte, nodes []NodeID) []byte {
	data = binary.AppendUvarint(data, uint64(len(nodes)))
	for _, node := range nodes {
		data = binary.AppendUvarint(data, uint64(node))
	}
	return data
}

func readNodes(data []byte) ([]NodeID, []byte, error) {
	count, size := binary.Uvarint(data)
	if size <= 0 || count > uint64(len(data)-size) {
		return nil, nil, errors.Wrap(ErrInvalidMembers, "number of nodes")
	}
	data = data[size:]
	var nodes []NodeID
	for range count {
		node, size := binary.Uvarint(data)
		if size <= 0 {
			return nil, nil, errors.Wrap(ErrInvalidMembers, "node ID")
		}
		nodes = append(nodes, NodeID(node))
		data = data[size:]
	}
	return nodes, data, nil
}

// validate returns an error unless there is a voter, no node is 0 and no node occurs twice.
func (m Members) validate() error {
	if len(m.Voters) == 0 {
		return errors.Wrap(ErrInvalidMembers, "no voter")
	}
	all := m.All()
	slices.Sort(all)
	if all[0] == 0 {
		return errors.Wrap(ErrInvalidMembers, "node 0")
	}
	if len(slices.Compact(all)) != len(m.Voters)+len(m.Learners) {
		return errors.Wrap(ErrInvalidMembers, "a node occurs twice")
	}
	return nil
}

// difference returns the nodes of list that are not in other.
func difference(list, other []NodeID) []NodeID {
	var rest []NodeID
	for _, node := range list {
		if !slices.Contains(other, node) {
			rest = append(rest, node)
		}
	}
	return rest
}
