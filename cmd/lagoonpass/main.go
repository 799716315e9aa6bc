// Command lagoonpass is the command-line client for operators.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"github.com/lagoonpass/lagoonpass/internal/commander"
)

func main() {
	os.Exit(execute())
}

func execute() int {
	commander.Register(subcommands.DefaultCommander)
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return int(subcommands.Execute(ctx))
}
