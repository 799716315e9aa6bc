// Package commander implements the subcommands of the operators' command-line
// client.
//
// # Usage
//
//	commander.Register(subcommands.DefaultCommander)
//	os.Exit(int(subcommands.Execute(ctx)))
//
// Every command exits with one of the codes below. With -output json a command
// prints one JSON value on the standard output, also when it fails; messages
// for people go to the standard error.
package commander

import (
	"fmt"

	"github.com/google/subcommands"
)

// Exit codes in addition to those of the subcommands package: 0 for success, 1
// for a failure and 2 for wrong usage.
const (
	// ExitFaults means that the settings hold faults.
	ExitFaults subcommands.ExitStatus = 3
	// ExitConflict means that another operator applied a revision after the one
	// that the change was made from.
	ExitConflict subcommands.ExitStatus = 4
	// ExitUnreachable means that the store or a node could not be reached.
	ExitUnreachable subcommands.ExitStatus = 5
	// ExitInvariant means that a run violated an invariant.
	ExitInvariant subcommands.ExitStatus = 6
	// ExitUncertain means that it is unknown whether a revision was applied.
	ExitUncertain subcommands.ExitStatus = 7
	// ExitDiffers means that a settings folder differs from the revision.
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

// printError prints a message on the standard error and returns code.
func printError(code subcommands.ExitStatus, format string, args ...any) subcommands.ExitStatus {
	_, _ = fmt.Fprintf(stderr, "lagoonpass: "+format+"\n", args...)
	return code
}
