// Command oakseam-edge is the data plane of the serving tier.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"

	"github.com/alecthomas/kong"

	"oakseam/internal/dataplane/edge"
	"oakseam/internal/tier/jsonlog"
	"oakseam/internal/tier/process"
	"oakseam/internal/tier/protocol"
	"oakseam/internal/tier/settings"
)

// version is printed by the version command.
const version = "0.1"

type commands struct {
	Serve   serveCommand   `cmd:"" help:"Serve clients until SIGTERM."`
	Check   checkCommand   `cmd:"" help:"Check a settings file and print its errors."`
	Version versionCommand `cmd:"" help:"Print the version."`
}

type serveCommand struct {
	LogLevel slog.Level `default:"info" help:"Minimum level of log lines: debug, info, warn or error."`
}

// Run implements the command.
func (c *serveCommand) Run() error { return process.Run(c.LogLevel, serve) }

// serve runs a node of the data plane until ctx ends.
func serve(ctx context.Context, s *settings.Settings) error {
	n, err := edge.New(s, process.InternalSeeds(s, protocol.CorePort), jsonlog.Logger())
	if err != nil {
		return err
	}
	return n.Run(ctx)
}

type checkCommand struct {
	File string `arg:"" help:"Settings file (TOML)." type:"existingfile"`
}

// Run implements the command.
func (c *checkCommand) Run() error {
	_, err := settings.Read(c.File)
	return err
}

type versionCommand struct{}

// Run implements the command.
func (versionCommand) Run() error {
	fmt.Println("oakseam-edge", version)
	return nil
}

func main() {
	var c commands
	parser := kong.Must(&c, kong.Name("oakseam-edge"), kong.Description("Data plane of the serving tier."), kong.UsageOnError())
	os.Exit(process.Execute(parser, os.Args[1:]))
}
