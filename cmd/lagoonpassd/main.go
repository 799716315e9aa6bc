// Command lagoonpassd is the daemon of an entry VM.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"

	"github.com/lagoonpass/lagoonpass/internal/runner"
	"github.com/lagoonpass/lagoonpass/internal/state/identifier"
)

func main() {
	path := flag.String("settings", "node.ini", "the node's own settings file")
	flag.Parse()
	log.SetHandler(logfmt.New(os.Stderr))
	if err := serve(*path); err != nil {
		log.WithError(err).Error("node stopped")
		os.Exit(1)
	}
}

// serve runs the node until SIGTERM or an interrupt.
func serve(path string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	id, err := identifier.Read(path)
	if err != nil {
		return err
	}
	nd, err := runner.New(id)
	if err != nil {
		return err
	}
	return nd.Run(ctx)
}
