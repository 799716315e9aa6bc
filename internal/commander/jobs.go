package commander

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

const (
	// keyVariable names the environment variable that holds the API key.
	keyVariable = "LAGOONPASS_KEY"
	// jobsTimeout bounds one call to a node.
	jobsTimeout = 90 * time.Second
)

// jobsCommand lists, shows and cancels the jobs of a caller.
type jobsCommand struct {
	node   string
	output string
	wait   string
	after  string
}

// Name implements subcommands.Command.
func (*jobsCommand) Name() string { return "jobs" }

// Synopsis implements subcommands.Command.
func (*jobsCommand) Synopsis() string { return "list, show or cancel the jobs of a caller" }

// Usage implements subcommands.Command.
func (*jobsCommand) Usage() string {
	return "jobs [-node HOST:PORT] [-output text|json] list|show ID|cancel ID\n" +
		"The caller's API key is read from " + keyVariable + ".\n"
}

// SetFlags implements subcommands.Command.
func (jc *jobsCommand) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&jc.node, "node", "127.0.0.1:8080", "address of an entry node for callers")
	fs.StringVar(&jc.output, "output", "text", "text or json")
	fs.StringVar(&jc.wait, "wait", "", "with show: how long to wait for the end, such as 30s")
	fs.StringVar(&jc.after, "after", "", "with list: the id after which the page starts")
}

// Execute implements subcommands.Command.
func (jc *jobsCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	method, path, ok := jc.target(fs.Args())
	if !ok || jc.output != "text" && jc.output != "json" {
		return complain(subcommands.ExitUsageError, "%s", jc.Usage())
	}
	body, err := jc.call(ctx, method, path)
	var rf *refuser.Refusal
	switch {
	case errors.As(err, &rf):
		return complain(subcommands.ExitFailure, "%v", rf)
	case err != nil:
		return complain(ExitUnreachable, "%v", err)
	}
	if err := jc.print(os.Stdout, body); err != nil {
		return complain(subcommands.ExitFailure, "%v", err)
	}
	return subcommands.ExitSuccess
}

func (jc *jobsCommand) target(args []string) (method, path string, ok bool) {
	switch {
	case len(args) == 1 && args[0] == "list":
		return http.MethodGet, "/v1/jobs?after=" + jc.after, true
	case len(args) == 2 && args[0] == "show":
		return http.MethodGet, "/v1/jobs/" + args[1] + "?wait=" + jc.wait, true
	case len(args) == 2 && args[0] == "cancel":
		return http.MethodDelete, "/v1/jobs/" + args[1], true
	}
	return "", "", false
}

func (jc *jobsCommand) call(ctx context.Context, method, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, jobsTimeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, method, "http://"+jc.node+path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "build call")
	}
	rq.Header.Set("Authorization", "Bearer "+os.Getenv(keyVariable))
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return nil, errors.Wrap(err, "call node")
	}
	defer func() { _ = rs.Body.Close() }()
	body, err := io.ReadAll(rs.Body)
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if rs.StatusCode == http.StatusOK {
		return body, nil
	}
	rf, err := refuser.Decode(body)
	if err != nil {
		return nil, errors.Errorf("node answered with status %d", rs.StatusCode)
	}
	return nil, rf
}

// jobLine is what the text output shows of a job.
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
	if jc.output == "json" {
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
