package commander

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"
)

// jobsCommand lists, shows and cancels the jobs of a caller.
type jobsCommand struct {
	nodeFlags
	outputFlag
	// wait bounds how long "show" waits for the job's end, as a duration.
	wait string
	// after is the id of a job; "list" starts with the job that follows it.
	after string
}

// Name implements subcommands.Command.
func (*jobsCommand) Name() string { return "jobs" }

// Synopsis implements subcommands.Command.
func (*jobsCommand) Synopsis() string { return "list, show or cancel the jobs of a caller" }

// Usage implements subcommands.Command.
func (*jobsCommand) Usage() string {
	return "jobs [-node HOST:PORT] [-key KEY] [-output text|json] list|show ID|cancel ID\n" +
		"The caller's API key is read from " + keyVariable + ".\n"
}

// SetFlags implements subcommands.Command.
func (jc *jobsCommand) SetFlags(fs *flag.FlagSet) {
	jc.addNodeFlags(fs)
	jc.addOutputFlag(fs)
	fs.StringVar(&jc.wait, "wait", "", "with show: how long to wait for the end, such as 30s")
	fs.StringVar(&jc.after, "after", "", "with list: the id after which the page starts")
}

// Execute implements subcommands.Command.
func (jc *jobsCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	method, path, ok := jc.target(fs.Args())
	if !ok || !jc.valid() {
		return printUsage(jc)
	}
	if err := jc.connect(); err != nil {
		return jc.fail(subcommands.ExitFailure, err)
	}
	body, err := jc.call(ctx, method, jc.node, path)
	if err != nil {
		return jc.fail(nodeExitCode(err), err)
	}
	if err := jc.print(stdout, body); err != nil {
		return jc.fail(subcommands.ExitFailure, err)
	}
	return subcommands.ExitSuccess
}

// target returns the method and the path of the call that the arguments select.
func (jc *jobsCommand) target(args []string) (method, path string, ok bool) {
	switch {
	case len(args) == 1 && args[0] == "list":
		return http.MethodGet, "/v1/jobs?after=" + url.QueryEscape(jc.after), true
	case len(args) == 2 && args[0] == "show":
		return http.MethodGet, "/v1/jobs/" + url.PathEscape(args[1]) + "?wait=" + url.QueryEscape(jc.wait), true
	case len(args) == 2 && args[0] == "cancel":
		return http.MethodDelete, "/v1/jobs/" + url.PathEscape(args[1]), true
	}
	return "", "", false
}

// jobLine holds the fields of a job that the text output shows.
type jobLine struct {
	ID       string          `json:"id"`
	State    string          `json:"state"`
	Path     string          `json:"path"`
	Created  string          `json:"created"`
	Attempts int             `json:"attempts"`
	Result   json.RawMessage `json:"result"`
	Refusal  json.RawMessage `json:"refusal"`
}

func (jc *jobsCommand) print(wr io.Writer, body []byte) error {
	if jc.isJSON() {
		_, err := fmt.Fprintln(wr, string(body))
		return err
	}
	var answer struct {
		jobLine
		Jobs []jobLine `json:"jobs"`
		Next string    `json:"next"`
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return errors.Wrap(err, "decode answer")
	}
	if answer.ID != "" {
		answer.Jobs = []jobLine{answer.jobLine}
	}
	for _, jl := range answer.Jobs {
		_, _ = fmt.Fprintf(wr, "%-26s  %-9s  %s  %2d  %s\n", jl.ID, jl.State, jl.Created, jl.Attempts, jl.Path)
		for _, detail := range []json.RawMessage{jl.Result, jl.Refusal} {
			if len(detail) > 0 {
				_, _ = fmt.Fprintf(wr, "    %s\n", detail)
			}
		}
	}
	if answer.Next != "" {
		_, _ = fmt.Fprintf(wr, "more: -after %s\n", answer.Next)
	}
	return nil
}
