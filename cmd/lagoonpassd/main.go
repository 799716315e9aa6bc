// Command lagoonpassd is the daemon of an entry VM.
//
// # Usage
//
//	lagoonpassd -settings node.ini [-log-level info]
//	lagoonpassd -version
//
// SIGTERM or SIGINT starts a planned stop, which cuts off no request. A second
// signal ends the process at once. The exit code is 0 after a planned stop, and 1
// if the node could not start or failed.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/runner"
	"github.com/lagoonpass/lagoonpass/internal/state/identifier"
)

func main() {
	path := flag.String("settings", "node.ini", "the node's own settings file")
	level := flag.String("log-level", "info", "debug, info, warn or error")
	showVersion := flag.Bool("version", false, "print the version and end")
	flag.Parse()
	if *showVersion {
		fmt.Println(version())
		return
	}
	log.SetHandler(logfmt.New(os.Stderr))
	if err := serve(*path, *level); err != nil {
		log.WithError(err).Error("node could not start or failed; lagoonpassd exits with code 1")
		os.Exit(1)
	}
}

// serve runs the node until SIGTERM or SIGINT.
func serve(path, level string) error {
	lv, err := log.ParseLevel(level)
	if err != nil {
		return errors.Wrapf(err, "parse flag -log-level %q", level)
	}
	log.SetLevel(lv)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// Restores the default action, so that a second signal ends the process.
	context.AfterFunc(ctx, stop)
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

// version returns the versions of the module and of Go, and the commit that the
// binary was built from.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "lagoonpassd, version unknown"
	}
	text := "lagoonpassd " + info.Main.Version
	for _, st := range info.Settings {
		if st.Key == "vcs.revision" {
			text += " " + st.Value
		}
	}
	return text + " " + info.GoVersion
}
