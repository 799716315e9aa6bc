// Command lagoonpass-platform runs an entry node on the users' platform.
//
// Its settings file is named by the environment variable LAGOONPASS_SETTINGS.
// It ends with 0 after a planned stop, with 2 if the settings can't be used,
// and with 1 if it could not serve.
package main

import (
	"os"

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
	lw := logwriter.New(os.Stdout)
	log.SetHandler(json.New(lw))
	code := run()
	lw.Close()
	os.Exit(code)
}

func run() int {
	path := os.Getenv(settingsreader.Variable)
	if path == "" {
		path = settingsreader.DefaultPath
	}
	st, err := settingsreader.Read(path)
	if err != nil {
		log.WithError(err).WithField("path", path).Error("settings can't be used")
		return exitSettings
	}
	if err := launcher.New(path, st).Run(); err != nil {
		log.WithError(err).Error("node failed")
		return exitFailed
	}
	return 0
}
