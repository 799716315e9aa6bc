package commander

import (
	"context"
	"flag"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"
)

// serverAdvice explains how to drain a backend server.
const serverAdvice = "backend server %q is not drained by lagoonpass: whether a VM is leaving is said by the platform's list. " +
	"Mark the VM as leaving there; it gets no new work after a few seconds, and its requests in progress are finished. " +
	"Then take its [backend-server] section out of the settings and apply them"

// drainCommand starts the graceful shutdown of an entry node.
type drainCommand struct {
	nodeFlags
	outputFlag
	// server names a backend server; if it is set, the command only prints how
	// to drain that server.
	server string
}

// Name implements subcommands.Command.
func (*drainCommand) Name() string { return "drain" }

// Synopsis implements subcommands.Command.
func (*drainCommand) Synopsis() string { return "begin the planned stop of an entry node" }

// Usage implements subcommands.Command.
func (*drainCommand) Usage() string {
	return "drain [-node HOST:PORT] [-key KEY] [-output text|json] NODE\n" +
		"drain -server NAME\n" +
		"NODE is an id as status shows it; -node may be any entry node.\n"
}

// SetFlags implements subcommands.Command.
func (dc *drainCommand) SetFlags(fs *flag.FlagSet) {
	dc.addNodeFlags(fs)
	dc.addOutputFlag(fs)
	fs.StringVar(&dc.server, "server", "", "tell how the backend server of this name is drained")
}

// Execute implements subcommands.Command.
func (dc *drainCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if !dc.valid() || (fs.NArg() == 1) == (dc.server != "") {
		return printUsage(dc)
	}
	if dc.server != "" {
		return dc.fail(subcommands.ExitFailure, errors.Errorf(serverAdvice, dc.server))
	}
	if err := dc.connect(); err != nil {
		return dc.fail(subcommands.ExitFailure, err)
	}
	address, err := dc.findAddress(ctx, fs.Arg(0))
	if err != nil {
		return dc.fail(nodeExitCode(err), err)
	}
	if address == "" {
		return dc.fail(subcommands.ExitFailure, errors.Errorf("no entry node %q is known", fs.Arg(0)))
	}
	if _, err := dc.call(ctx, http.MethodPost, address, "/v1/drain"); err != nil {
		return dc.fail(nodeExitCode(err), err)
	}
	if dc.isJSON() {
		printJSON(map[string]any{"id": fs.Arg(0), "leaving": true})
		return subcommands.ExitSuccess
	}
	printf("%s is leaving: it finishes its requests and then ends\n", fs.Arg(0))
	return subcommands.ExitSuccess
}

// findAddress returns the address on which a node serves callers, or "" if the
// node is unknown.
func (dc *drainCommand) findAddress(ctx context.Context, id string) (string, error) {
	var first nodeStatus
	if err := dc.getJSON(ctx, dc.node, "/v1/status", &first); err != nil {
		return "", err
	}
	for _, mb := range first.Members {
		if mb.ID == id {
			return mb.Address, nil
		}
	}
	return "", nil
}

func formatInt(value int64) string { return strconv.FormatInt(value, 10) }

func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}
