package commander

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"

	"github.com/lagoonpass/lagoonpass/internal/coordination/publisher"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// stdout and stderr receive the output of the commands; tests replace them.
var (
	stdout io.Writer = os.Stdout
	stderr io.Writer = os.Stderr
)

// outputFlag is embedded in the commands that print text or JSON.
type outputFlag struct {
	output string
}

func (of *outputFlag) addOutputFlag(fs *flag.FlagSet) {
	fs.StringVar(&of.output, "output", "text", "text or json")
}

func (of *outputFlag) valid() bool { return of.output == "text" || of.output == "json" }

func (of *outputFlag) isJSON() bool { return of.output == "json" }

// printJSON prints an indented value. Its keys are in kebab case, as in all
// formats of this project.
func printJSON(value any) {
	en := json.NewEncoder(stdout)
	en.SetIndent("", "  ")
	en.SetEscapeHTML(false)
	_ = en.Encode(value)
}

func printf(format string, args ...any) { _, _ = fmt.Fprintf(stdout, format, args...) }

// printUsage prints the usage of a command and returns the exit code.
func printUsage(cm subcommands.Command) subcommands.ExitStatus {
	return printError(subcommands.ExitUsageError, "wrong usage; want: %s", cm.Usage())
}

// fail prints an error on the standard error, with -output json also as JSON on
// the standard output, and returns code.
func (of *outputFlag) fail(code subcommands.ExitStatus, err error) subcommands.ExitStatus {
	if of.isJSON() {
		printJSON(map[string]any{"error": err.Error()})
	}
	return printError(code, "%v", err)
}

func faultFields(faults []configurer.Fault) []map[string]any {
	list := []map[string]any{}
	for _, ft := range faults {
		list = append(list, map[string]any{
			"file":    ft.File,
			"line":    ft.Line,
			"section": ft.Section,
			"key":     ft.Key,
			"found":   ft.Found,
			"allowed": ft.Allowed,
		})
	}
	return list
}

func changeFields(changes []publisher.Change) []map[string]any {
	list := []map[string]any{}
	for _, ch := range changes {
		list = append(list, map[string]any{
			"file":    ch.File,
			"section": ch.Section,
			"key":     ch.Key,
			"old":     ch.Old,
			"new":     ch.New,
		})
	}
	return list
}
