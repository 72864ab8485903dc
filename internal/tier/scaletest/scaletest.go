// Package scaletest generates messages and states of a tier of any size, for benchmarks
// whose figures are in docs/CAPACITY.md. It is for tests only. Its output is deterministic.
package scaletest

import (
	"bytes"
	"encoding/gob"
	"fmt"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/tier/protocol"
)

// ServiceCount is the number of services of the tier, each with its own servers.
const ServiceCount = 5

// zoneCount is the number of zones that servers and nodes are distributed over.
const zoneCount = 15

// Service returns the name of a service.
func Service(i int) string { return fmt.Sprintf("model-%d", i%ServiceCount) }

func zone(i int) string { return fmt.Sprintf("region-%d-zone-%d", i%zoneCount%7, i%zoneCount) }

// Servers returns the servers of one service.
func Servers(count int) []protocol.Server {
	servers := make([]protocol.Server, count)
	for i := range servers {
		servers[i] = protocol.Server{
			ID: fmt.Sprintf("server-%05d", i), Address: fmt.Sprintf("10.%d.%d.%d:8000", i>>16, i>>8&255, i&255), Zone: zone(i), Capacity: 8,
		}
	}
	return servers
}

// Lists returns server lists with count servers, distributed over all services.
func Lists(count int) []protocol.ServerList {
	var lists []protocol.ServerList
	for service := range ServiceCount {
		serverCount := count / ServiceCount
		if service < count%ServiceCount {
			serverCount++
		}
		lists = append(lists, protocol.ServerList{Service: Service(service), Version: 7, Servers: Servers(serverCount)})
	}
	return lists
}

// Directory returns a directory of core and storage nodes, with as many partitions as the
// tier assigns to them and three voters each.
func Directory(cores, storages int) *protocol.Directory {
	directory := &protocol.Directory{Version: 1}
	for i := range cores + storages {
		class := protocol.Core
		if i >= cores {
			class = protocol.Storage
		}
		directory.Nodes = append(directory.Nodes, protocol.Node{
			ID: nodeID(i), Name: fmt.Sprintf("node-%04d", i), Class: class, Address: fmt.Sprintf("10.200.%d.%d:7380", i>>8, i&255), Zone: zone(i),
		})
	}
	for i := range protocol.TurnPartitions(storages) {
		voters := []replica.NodeID{nodeID(cores + i%storages), nodeID(cores + (i+1)%storages), nodeID(cores + (i+2)%storages)}
		directory.Partitions = append(directory.Partitions, protocol.PartitionMembers{Voters: voters})
	}
	return directory
}

// nodeID returns an id that uses all 64 bits, like a real, random one.
func nodeID(i int) replica.NodeID {
	return replica.NodeID(uint64(i+1) * 0x9E3779B97F4A7C15)
}

// Configuration returns the body of a configuration with routes to the services, one per
// tenant.
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

// EncodedSize returns the size of a message on a connection that has carried its type before.
// It is encoded with gob, as in package rpc, without the frame of about 8 bytes.
func EncodedSize(message any) int {
	var stream bytes.Buffer
	encoder := gob.NewEncoder(&stream)
	if err := encoder.Encode(message); err != nil {
		panic(err) // messages consist of plain values only
	}
	first := stream.Len()
	if err := encoder.Encode(message); err != nil {
		panic(err)
	}
	return stream.Len() - first
}
