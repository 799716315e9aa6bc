package commander

import (
	"context"
	"flag"
	"os"
	"path/filepath"
	"strings"

	"github.com/google/subcommands"

	"github.com/lagoonpass/lagoonpass/internal/explainer"
)

// explainCommand reports from the nodes' logs why requests failed or were late.
type explainCommand struct {
	outputFlag
	request string
	summary bool
}

// Name implements subcommands.Command.
func (*explainCommand) Name() string { return "explain" }

// Synopsis implements subcommands.Command.
func (*explainCommand) Synopsis() string {
	return "tell from the logs of nodes what became of a request, or why requests failed"
}

// Usage implements subcommands.Command.
func (*explainCommand) Usage() string {
	return "explain -request ID [-output text|json] LOG...\nexplain -summary [-output text|json] LOG...\n"
}

// SetFlags implements subcommands.Command.
func (ec *explainCommand) SetFlags(fs *flag.FlagSet) {
	ec.addOutputFlag(fs)
	fs.StringVar(&ec.request, "request", "", "id of the request")
	fs.BoolVar(&ec.summary, "summary", false, "count the requests that failed or were late by cause")
}

// Execute implements subcommands.Command.
func (ec *explainCommand) Execute(_ context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if fs.NArg() == 0 || !ec.valid() || (ec.request == "") == !ec.summary {
		return printUsage(ec)
	}
	ls := explainer.NewLogSet()
	for _, path := range fs.Args() {
		if err := readLog(ls, path); err != nil {
			return ec.fail(subcommands.ExitFailure, err)
		}
	}
	if ec.summary {
		ec.printSummary(ls)
		return subcommands.ExitSuccess
	}
	return ec.printRequest(ls)
}

func readLog(ls *explainer.LogSet, path string) error {
	fl, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = fl.Close() }()
	return ls.Read(strings.TrimSuffix(filepath.Base(path), ".log"), fl)
}

func (ec *explainCommand) printRequest(ls *explainer.LogSet) subcommands.ExitStatus {
	lines := ls.Request(ec.request)
	cause, ended := ls.Cause(ec.request)
	if ec.isJSON() {
		list := []string{}
		for _, ln := range lines {
			list = append(list, ln.String())
		}
		printJSON(map[string]any{"request": ec.request, "cause": cause, "lines": list, "omitted-lines": ls.Omitted()})
	} else {
		for _, ln := range lines {
			printf("%s\n", ln)
		}
		if ended {
			printf("cause: %s\n", cause)
		}
	}
	switch {
	case len(lines) == 0:
		return printError(subcommands.ExitFailure, "no line of request %q: it was answered in time, or its line is one of %d left out", ec.request, ls.Omitted())
	case !ended:
		return printError(subcommands.ExitFailure, "no line tells how request %q ended: it was answered in time, or its line is one of %d left out", ec.request, ls.Omitted())
	}
	return subcommands.ExitSuccess
}

func (ec *explainCommand) printSummary(ls *explainer.LogSet) {
	rows := ls.Summary()
	if ec.isJSON() {
		list := []map[string]any{}
		for _, rw := range rows {
			list = append(list, map[string]any{"cause": rw.Cause, "requests": rw.Requests, "late": rw.Late, "example": rw.Example})
		}
		printJSON(map[string]any{"causes": list, "omitted-lines": ls.Omitted(), "strange-lines": ls.Unparsed()})
		return
	}
	printf("%-22s %8s %8s  %s\n", "cause", "requests", "late", "example")
	for _, rw := range rows {
		printf("%-22s %8d %8d  %s\n", rw.Cause, rw.Requests, rw.Late, rw.Example)
	}
	printf("lines left out by the nodes: %d; lines that are none of a node: %d\n", ls.Omitted(), ls.Unparsed())
}
