// Package scaletest makes the messages and states of a tier of any size, for benchmarks
// whose figures stand in docs/CAPACITY.md. It is for tests only. What it makes is the
// same each time.
package scaletest

import (
	"bytes"
	"encoding/gob"
	"fmt"

	"pipitmux/internal/barograph/replica"
	"pipitmux/internal/station/protocol"
)

// ServiceCount is how many services, each with servers of its own, the tier has.
const ServiceCount = 5

// zones is over how many zones servers and nodes are spread.
const zones = 15

// Service names one of the Models.
func Service(i int) string { return fmt.Sprintf("model-%d", i%ServiceCount) }

func zone(i int) string { return fmt.Sprintf("region-%d-zone-%d", i%zones%7, i%zones) }

// Servers makes the servers of one service.
func Servers(count int) []protocol.Server {
	servers := make([]protocol.Server, count)
	for i := range servers {
		servers[i] = protocol.Server{
			ID: fmt.Sprintf("server-%05d", i), Address: fmt.Sprintf("10.%d.%d.%d:8000", i>>16, i>>8&255, i&255), Zone: zone(i), Capacity: 8,
		}
	}
	return servers
}

// Lists spreads so many servers over the Models.
func Lists(count int) []protocol.ServerList {
	var lists []protocol.ServerList
	for model := range ServiceCount {
		own := count / ServiceCount
		if model < count%ServiceCount {
			own++
		}
		lists = append(lists, protocol.ServerList{Service: Service(model), Version: 7, Servers: Servers(own)})
	}
	return lists
}

// Directory makes the directory of so many core and storage nodes, with as many partitions
// as the tier deals out for them and three voters each.
func Directory(cores, storages int) *protocol.Directory {
	d := &protocol.Directory{Version: 1}
	for i := range cores + storages {
		class := protocol.Core
		if i >= cores {
			class = protocol.Storage
		}
		d.Nodes = append(d.Nodes, protocol.Node{
			ID: nodeID(i), Name: fmt.Sprintf("node-%04d", i), Class: class, Address: fmt.Sprintf("10.200.%d.%d:7380", i>>8, i&255), Zone: zone(i),
		})
	}
	for i := range protocol.TurnPartitions(storages) {
		voters := []replica.NodeID{nodeID(cores + i%storages), nodeID(cores + (i+1)%storages), nodeID(cores + (i+2)%storages)}
		d.Partitions = append(d.Partitions, protocol.PartitionMembers{Voters: voters})
	}
	return d
}

// nodeID is as wide as a real one: ids are drawn from 64 bits.
func nodeID(i int) replica.NodeID {
	return replica.NodeID(uint64(i+1) * 0x9E3779B97F4A7C15)
}

// Configuration makes a configuration's body with so many routes, one a tenant, to the
// Models.
func Configuration(revision, routes int) []byte {
	var body bytes.Buffer
	fmt.Fprintf(&body, `{"configRevision":%d,"virtualServers":[`, revision)
	for i := range routes {
		comma(&body, i)
		fmt.Fprintf(&body, `{"name":"tenant-%05d","hostHeader":"tenant-%05d.example","pathPrefix":"/v1/","trafficClass":"streaming",`, i, i)
		fmt.Fprintf(&body, `"timeoutMs":120000,"priority":%d,"poolName":"%s","retryLimit":2,"retained":true,"retentionS":600}`, i%4, Service(i))
	}
	body.WriteString(`],"pools":[`)
	for i := range ServiceCount {
		comma(&body, i)
		fmt.Fprintf(&body, `{"name":"%s","protocol":"h1","engine":{"capacity":8,"streamChunk":1}}`, Service(i))
	}
	body.WriteString(`]}`)
	return body.Bytes()
}

func comma(body *bytes.Buffer, i int) {
	if i > 0 {
		body.WriteByte(',')
	}
}

// EncodedSize is how many bytes a message takes between two processes, in a connection that has
// carried its type before: gob, as package link has it, without the frame of some 8 bytes.
func EncodedSize(message any) int {
	var stream bytes.Buffer
	encoder := gob.NewEncoder(&stream)
	if err := encoder.Encode(message); err != nil {
		panic(err) // it is made of plain values only
	}
	first := stream.Len()
	if err := encoder.Encode(message); err != nil {
		panic(err)
	}
	return stream.Len() - first
}
