// Package commander holds the commands of the operators' client.
//
// # Usage
//
//	commander.Register(subcommands.DefaultCommander)
//	os.Exit(int(subcommands.Execute(ctx)))
//
// Every command ends with one of the exit codes below. With -output json a
// command prints one JSON value on the standard output, also when it fails;
// messages for people go to the standard error.
package commander

import (
	"fmt"

	"github.com/google/subcommands"
)

// Exit codes beyond those of the subcommands package, which ends with 0 for
// success, 1 for a failure and 2 for wrong usage.
const (
	// ExitFaults means that the settings hold faults.
	ExitFaults subcommands.ExitStatus = 3
	// ExitRaced means that another operator came first.
	ExitRaced subcommands.ExitStatus = 4
	// ExitUnreachable means that the store or a node was not reached.
	ExitUnreachable subcommands.ExitStatus = 5
	// ExitInvariant means that a promise was broken in a run.
	ExitInvariant subcommands.ExitStatus = 6
	// ExitUnsettled means that a revision may or may not have been applied.
	ExitUnsettled subcommands.ExitStatus = 7
	// ExitDiffers means that a folder differs from the revision.
	ExitDiffers subcommands.ExitStatus = 8
)

// Register adds all commands to cm.
func Register(cm *subcommands.Commander) {
	cm.Register(cm.HelpCommand(), "")
	cm.Register(cm.FlagsCommand(), "")
	cm.Register(cm.CommandsCommand(), "")
	cm.Register(&checkCommand{}, "settings")
	cm.Register(&applyCommand{}, "settings")
	cm.Register(&diffCommand{}, "settings")
	cm.Register(&showCommand{}, "settings")
	cm.Register(&historyCommand{}, "settings")
	cm.Register(&settingsCommand{}, "settings")
	cm.Register(&statusCommand{}, "entry nodes")
	cm.Register(&drainCommand{}, "entry nodes")
	cm.Register(&explainCommand{}, "requests")
	cm.Register(&jobsCommand{}, "requests")
	cm.Register(&benchCommand{}, "trying out")
	cm.Register(&demoCommand{}, "trying out")
	cm.Register(&standinCommand{}, "trying out")
	cm.Register(&soakCommand{}, "trying out")
}

// complain prints an error for people and returns the exit code.
func complain(code subcommands.ExitStatus, format string, args ...any) subcommands.ExitStatus {
	_, _ = fmt.Fprintf(stderr, "lagoonpass: "+format+"\n", args...)
	return code
}
