// Command oakseam-control is the control plane of the serving tier.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync/atomic"

	"github.com/alecthomas/kong"
	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"oakseam/internal/controlplane/adminapi"
	"oakseam/internal/controlplane/coordinator"
	"oakseam/internal/controlplane/node"
	"oakseam/internal/controlplane/replica"
	"oakseam/internal/controlplane/storage"
	"oakseam/internal/controlplane/store"
	"oakseam/internal/controlplane/tallysync"
	"oakseam/internal/tier/platform"
	"oakseam/internal/tier/process"
	"oakseam/internal/tier/protocol"
	"oakseam/internal/tier/routing"
	"oakseam/internal/tier/rpc"
	"oakseam/internal/tier/settings"
)

// version is what the version command prints.
const version = "0.1"

// commands are the subcommands. kong derives their names and flags from the field names.
type commands struct {
	Coordinate coordinateCommand `cmd:"" help:"Replicate configuration, services and singleton tasks, and answer the operators (core machines)."`
	Keep       keepCommand       `cmd:"" help:"Replicate turns and budgets (storage machines)."`
	Check      checkCommand      `cmd:"" help:"Check a settings file or an operators' configuration and report errors."`
	Version    versionCommand    `cmd:"" help:"Print the version."`
}

type coordinateCommand struct {
	LogLevel slog.Level `default:"info" help:"Minimum level of log lines: debug, info, warn or error."`
}

// Run implements the command.
func (c *coordinateCommand) Run() error { return process.Run(c.LogLevel, coordinate) }

// coordinate runs a core node until ctx ends.
func coordinate(ctx context.Context, s *settings.Settings) error {
	api, l, err := listenForAll(s)
	if err != nil {
		return err
	}
	defer api.Close()
	defer l.Close()
	options, err := nodeOptions(s, protocol.Core, protocol.CorePort)
	if err != nil {
		return err
	}
	n, err := node.Open(options)
	if err != nil {
		return err
	}
	defer n.Close()
	s.Bootstrap = false // if this fails, an emptied disk isn't that of a first start
	talliesStore, err := store.OpenTallies(s.DataDir)
	if err != nil {
		return errors.Wrap(err, "open tallies")
	}
	defer talliesStore.Close()
	transport := tallysync.NewPoolTransport(nil)
	defer transport.Close()
	tallies, err := tallysync.New(tallysync.Options{
		Self: n.Self, ToleratedLosses: s.FaultTolerance.MachineLosses, Store: talliesStore, Transport: transport,
		Members: n.Addresses.All, MergeBound: s.Bounds.Merge,
	})
	if err != nil {
		return err
	}
	core, err := coordinator.New(coordinator.Options{
		Tallies: tallies,
		Node:    n, ToleratedLosses: s.FaultTolerance.MachineLosses, Zones: zoneNames(s), Bootstrap: options.Bootstrap, Seeds: options.Seeds,
		// Configurations and evacuations reach other processes in the same replies.
		ConfigApply: min(s.Bounds.ConfigApply, s.Bounds.Evacuate), DrainBound: s.Bounds.Drain,
	})
	if err != nil {
		return err
	}
	server := adminapi.NewServer(adminapi.Options{Authority: core, Tallies: coordinator.TalliesAPI{Node: tallies}})
	defer server.Close()
	go server.Serve(api)
	klog.InfoS("Replicating configuration and services", "id", n.Self.ID, "address", options.Address, "first", options.Bootstrap)
	return core.Run(ctx, l, platform.New(s.CloudAPI.Address))
}

// listenForAll listens for operators and for other processes.
func listenForAll(s *settings.Settings) (operators, others net.Listener, err error) {
	operators, err = net.Listen("tcp", s.BindAddresses.ControlPlane)
	if err != nil {
		return nil, nil, errors.Wrap(err, "listen for operators")
	}
	others, err = rpc.Listen(process.InternalAddress(s, protocol.CorePort))
	if err != nil {
		return nil, nil, errors.Join(errors.Wrap(err, "listen for other processes"), operators.Close())
	}
	return operators, others, nil
}

// zoneNames returns the zones that the settings name.
func zoneNames(s *settings.Settings) []string {
	names := []string{s.Zone}
	for _, zone := range s.Zones {
		names = append(names, zone.Name)
	}
	return names
}

type keepCommand struct {
	LogLevel slog.Level `default:"info" help:"Minimum level of log lines: debug, info, warn or error."`
}

// Run implements the command.
func (c *keepCommand) Run() error { return process.Run(c.LogLevel, keep) }

// keep runs a storage node until ctx ends.
func keep(ctx context.Context, s *settings.Settings) error {
	l, err := rpc.Listen(process.InternalAddress(s, protocol.StoragePort))
	if err != nil {
		return errors.Wrap(err, "listen for other processes")
	}
	defer l.Close()
	options, err := nodeOptions(s, protocol.Storage, protocol.StoragePort)
	if err != nil {
		return err
	}
	var running atomic.Pointer[storage.Node]
	options.OnUnknownGroup = func(group replica.GroupID) bool {
		storageNode := running.Load()
		return storageNode != nil && storageNode.JoinGroup(group)
	}
	n, err := node.Open(options)
	if err != nil {
		return err
	}
	defer n.Close()
	s.Bootstrap = false // if this fails, an emptied disk isn't that of a first start
	copies, err := store.OpenTallyCopies(s.DataDir)
	if err != nil {
		return errors.Wrap(err, "open copies of adds to tallies")
	}
	defer copies.Close()
	transport := tallysync.NewPoolTransport(nil)
	defer transport.Close()
	holder, err := tallysync.NewHolder(tallysync.HolderOptions{Store: copies, Transport: transport, Members: n.Addresses.All})
	if err != nil {
		return err
	}
	storageNode, err := storage.New(storage.Options{Node: n, Name: s.NodeName, ToleratedLosses: s.FaultTolerance.MachineLosses, Seeds: options.Seeds, Holder: holder})
	if err != nil {
		return err
	}
	running.Store(storageNode)
	klog.InfoS("Replicating turns", "id", n.Self.ID, "address", options.Address)
	return storageNode.Run(ctx, l)
}

// nodeOptions returns the options of a node that stores data, from the settings.
func nodeOptions(s *settings.Settings, class protocol.Class, offset int) (node.Options, error) {
	if s.DataDir == "" {
		return node.Options{}, &settings.FieldError{File: settings.Path(), Key: "dataDir", Reason: "must be given: this role keeps data"}
	}
	if err := os.MkdirAll(s.DataDir, 0o755); err != nil {
		return node.Options{}, errors.Wrap(err, "data folder")
	}
	return node.Options{
		Name: s.NodeName, Zone: s.Zone, Class: class, Address: process.InternalAddress(s, offset), DataDir: s.DataDir,
		Bootstrap: s.Bootstrap, Seeds: process.InternalSeeds(s, protocol.CorePort),
	}, nil
}

type checkCommand struct {
	Settings      string `help:"Settings file (TOML)." type:"existingfile"`
	Configuration string `help:"Operators' configuration (JSON)." type:"existingfile"`
}

// Run implements the command.
func (c *checkCommand) Run() error {
	if c.Settings != "" {
		if _, err := settings.Read(c.Settings); err != nil {
			return err
		}
	}
	if c.Configuration == "" {
		return nil
	}
	body, err := os.ReadFile(c.Configuration)
	if err != nil {
		return err
	}
	if _, err = routing.Parse(body); err != nil {
		return errors.Wrap(err, c.Configuration)
	}
	return nil
}

type versionCommand struct{}

// Run implements the command.
func (versionCommand) Run() error {
	fmt.Println("oakseam-control", version)
	return nil
}

func main() {
	var c commands
	parser := kong.Must(&c, kong.Name("oakseam-control"), kong.Description("Control plane of the serving tier."), kong.UsageOnError())
	os.Exit(process.Execute(parser, os.Args[1:]))
}
