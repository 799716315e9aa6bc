// Command lagoonpass-platform runs an entry node on the users' platform.
//
// The environment variable LAGOONPASS_SETTINGS holds the path of the settings
// file; the default is /etc/lagoonpass/settings.json. The exit code is 0 after a
// planned stop, 2 if the settings file can't be read or is invalid, and 1 if the
// node could not start or failed.
package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"

	"github.com/lagoonpass/lagoonpass/internal/logwriter"
	"github.com/lagoonpass/lagoonpass/platform/launcher"
	"github.com/lagoonpass/lagoonpass/platform/settingsreader"
)

// The exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	// The settings are read below, so that a signal to read them again may be lost
	// until the launcher handles it.
	signal.Ignore(syscall.SIGHUP)
	lw := logwriter.New(os.Stdout)
	log.SetHandler(json.New(lw))
	code := run()
	lw.Close()
	os.Exit(code)
}

func run() int {
	path := os.Getenv(settingsreader.PathVariable)
	if path == "" {
		path = settingsreader.DefaultPath
	}
	st, err := settingsreader.Read(path)
	if err != nil {
		log.WithError(err).WithField("path", path).Error("settings file can't be read or is invalid; lagoonpass-platform exits with code 2")
		return exitSettings
	}
	if err := launcher.New(path, st).Run(); err != nil {
		log.WithError(err).Error("node could not start or failed; lagoonpass-platform exits with code 1")
		return exitFailed
	}
	return 0
}
