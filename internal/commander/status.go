package commander

import (
	"context"
	"flag"
	"slices"
	"strings"
	"sync"

	"github.com/google/subcommands"
)

const (
	// nodesAtOnce bounds the nodes that status asks at the same time.
	nodesAtOnce = 16
	stateDead   = "dead"
)

// statusCommand asks every entry node for its state.
type statusCommand struct {
	nodeFlag
	outputFlag
	counters bool
}

// nodeStatus is the answer of one node.
type nodeStatus struct {
	ID       string         `json:"id"`
	Leaving  bool           `json:"leaving"`
	Revision int64          `json:"revision"`
	Corrupt  int64          `json:"corrupt-configuration"`
	Stale    bool           `json:"stale"`
	InFlight int64          `json:"in-flight"`
	Members  []memberStatus `json:"members"`
}

// memberStatus is a node as another one sees it.
type memberStatus struct {
	ID       string `json:"id"`
	Zone     string `json:"zone"`
	Region   string `json:"region"`
	State    string `json:"state"`
	Revision int64  `json:"revision"`
	Address  string `json:"caller-address"`
}

// nodeReport is what the command found out about one node.
type nodeReport struct {
	member   memberStatus
	own      nodeStatus
	counters map[string]int64
	err      error
}

// Name implements subcommands.Command.
func (*statusCommand) Name() string { return "status" }

// Synopsis implements subcommands.Command.
func (*statusCommand) Synopsis() string {
	return "show all entry nodes and the revision each has in force"
}

// Usage implements subcommands.Command.
func (*statusCommand) Usage() string {
	return "status [-node HOST:PORT] [-key KEY] [-counters] [-output text|json]\n" +
		"The key is that of a caller with operator = yes. Ends with 5 if a node was not reached.\n"
}

// SetFlags implements subcommands.Command.
func (sc *statusCommand) SetFlags(fs *flag.FlagSet) {
	sc.setNode(fs)
	sc.setOutput(fs)
	fs.BoolVar(&sc.counters, "counters", false, "show the counters too: in text their sums over all nodes")
}

// Execute implements subcommands.Command.
func (sc *statusCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if fs.NArg() != 0 || !sc.valid() {
		return misuse(sc)
	}
	if err := sc.connect(); err != nil {
		return sc.fail(subcommands.ExitFailure, err)
	}
	var first nodeStatus
	if err := sc.fetch(ctx, sc.node, "/v1/status", &first); err != nil {
		return sc.fail(nodeCode(err), err)
	}
	reports := sc.ask(ctx, first.Members)
	sc.print(reports)
	for _, rp := range reports {
		if rp.err != nil {
			return ExitUnreachable
		}
	}
	return subcommands.ExitSuccess
}

// ask asks all members that are not dead, and returns them in the order of
// their ids.
func (sc *statusCommand) ask(ctx context.Context, members []memberStatus) []*nodeReport {
	var wg sync.WaitGroup
	tokens := make(chan struct{}, nodesAtOnce)
	var reports []*nodeReport
	for _, mb := range members {
		rp := &nodeReport{member: mb}
		reports = append(reports, rp)
		if mb.State == stateDead {
			continue
		}
		tokens <- struct{}{}
		wg.Go(func() {
			defer func() { <-tokens }()
			sc.fill(ctx, rp)
		})
	}
	wg.Wait()
	slices.SortFunc(reports, func(one, two *nodeReport) int { return strings.Compare(one.member.ID, two.member.ID) })
	return reports
}

func (sc *statusCommand) fill(ctx context.Context, rp *nodeReport) {
	if rp.err = sc.fetch(ctx, rp.member.Address, "/v1/status", &rp.own); rp.err != nil || !sc.counters {
		return
	}
	var answer struct {
		Counters map[string]int64 `json:"counters"`
	}
	rp.err = sc.fetch(ctx, rp.member.Address, "/v1/counters", &answer)
	rp.counters = answer.Counters
}

func (sc *statusCommand) print(reports []*nodeReport) {
	if sc.json() {
		nodes := []map[string]any{}
		for _, rp := range reports {
			nodes = append(nodes, rp.fields())
		}
		printJSON(map[string]any{"nodes": nodes})
		return
	}
	format := "%-16s %-10s %-10s %-8s %8s %8s %8s %6s\n"
	printf(format, "node", "zone", "region", "state", "revision", "corrupt", "requests", "stale")
	for _, rp := range reports {
		mb := rp.member
		own := []string{"-", "-", "-", "-"}
		if rp.known() {
			own = []string{number(rp.own.Revision), number(rp.own.Corrupt), number(rp.own.InFlight), yesNo(rp.own.Stale)}
		}
		printf(format, mb.ID, mb.Zone, mb.Region, mb.State, own[0], own[1], own[2], own[3])
		if rp.err != nil {
			complain(ExitUnreachable, "%s: %v", mb.ID, rp.err)
		}
	}
	printCounters(reports)
}

// known reports whether the node itself answered.
func (rp *nodeReport) known() bool { return rp.err == nil && rp.member.State != stateDead }

func (rp *nodeReport) fields() map[string]any {
	fields := map[string]any{
		"id":             rp.member.ID,
		"zone":           rp.member.Zone,
		"region":         rp.member.Region,
		"state":          rp.member.State,
		"caller-address": rp.member.Address,
		"reached":        rp.known(),
	}
	if rp.err != nil {
		fields["error"] = rp.err.Error()
	}
	if rp.known() {
		fields["revision"] = rp.own.Revision
		fields["corrupt-configuration"] = rp.own.Corrupt
		fields["in-flight"] = rp.own.InFlight
		fields["stale"] = rp.own.Stale
		fields["leaving"] = rp.own.Leaving
	}
	if rp.counters != nil {
		fields["counters"] = rp.counters
	}
	return fields
}

// printCounters prints the sums over all nodes.
func printCounters(reports []*nodeReport) {
	sums := map[string]int64{}
	var names []string
	for _, rp := range reports {
		for name, value := range rp.counters {
			if _, ok := sums[name]; !ok {
				names = append(names, name)
			}
			sums[name] += value
		}
	}
	slices.Sort(names)
	for _, name := range names {
		printf("%-48s %12d\n", name, sums[name])
	}
}
