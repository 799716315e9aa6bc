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
	// maxConcurrentNodes bounds the nodes that status queries at the same time.
	maxConcurrentNodes = 16
	stateDead          = "dead"
)

// statusCommand queries the state of every entry node.
type statusCommand struct {
	nodeFlags
	outputFlag
	// counters makes the command query and print the counters as well.
	counters bool
}

// nodeStatus is the state that a node reports of itself.
type nodeStatus struct {
	ID string `json:"id"`
	// Leaving is set during a graceful shutdown.
	Leaving bool `json:"leaving"`
	// Revision is the revision of the settings in force.
	Revision int64 `json:"revision"`
	// Corrupt counts the reads of a stored configuration that was unreadable.
	Corrupt int64 `json:"corrupt-configuration"`
	// Stale is set if the node must not act on its view of the members.
	Stale bool `json:"stale"`
	// InFlight is the number of requests in progress.
	InFlight int64          `json:"in-flight"`
	Members  []memberStatus `json:"members"`
}

// memberStatus is the state of a node as seen by another node.
type memberStatus struct {
	ID       string `json:"id"`
	Zone     string `json:"zone"`
	Region   string `json:"region"`
	State    string `json:"state"`
	Revision int64  `json:"revision"`
	Address  string `json:"caller-address"`
}

// nodeReport holds the results of the queries to one node.
type nodeReport struct {
	// member is the state as seen by the first node.
	member memberStatus
	// own is the state that the node reports of itself, unless err is set or
	// the node is dead.
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
	sc.addNodeFlags(fs)
	sc.addOutputFlag(fs)
	fs.BoolVar(&sc.counters, "counters", false, "show the counters too: in text their sums over all nodes")
}

// Execute implements subcommands.Command.
func (sc *statusCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if fs.NArg() != 0 || !sc.valid() {
		return printUsage(sc)
	}
	if err := sc.connect(); err != nil {
		return sc.fail(subcommands.ExitFailure, err)
	}
	var first nodeStatus
	if err := sc.getJSON(ctx, sc.node, "/v1/status", &first); err != nil {
		return sc.fail(nodeExitCode(err), err)
	}
	reports := sc.queryNodes(ctx, first.Members)
	sc.print(reports)
	for _, rp := range reports {
		if rp.err != nil {
			return ExitUnreachable
		}
	}
	return subcommands.ExitSuccess
}

// queryNodes queries all members that are not dead and returns a report for
// every member, sorted by id.
func (sc *statusCommand) queryNodes(ctx context.Context, members []memberStatus) []*nodeReport {
	var wg sync.WaitGroup
	tokens := make(chan struct{}, maxConcurrentNodes)
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
			sc.queryNode(ctx, rp)
		})
	}
	wg.Wait()
	slices.SortFunc(reports, func(one, two *nodeReport) int { return strings.Compare(one.member.ID, two.member.ID) })
	return reports
}

func (sc *statusCommand) queryNode(ctx context.Context, rp *nodeReport) {
	if rp.err = sc.getJSON(ctx, rp.member.Address, "/v1/status", &rp.own); rp.err != nil || !sc.counters {
		return
	}
	var answer struct {
		Counters map[string]int64 `json:"counters"`
	}
	rp.err = sc.getJSON(ctx, rp.member.Address, "/v1/counters", &answer)
	rp.counters = answer.Counters
}

func (sc *statusCommand) print(reports []*nodeReport) {
	if sc.isJSON() {
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
		if rp.answered() {
			own = []string{formatInt(rp.own.Revision), formatInt(rp.own.Corrupt), formatInt(rp.own.InFlight), yesNo(rp.own.Stale)}
		}
		printf(format, mb.ID, mb.Zone, mb.Region, mb.State, own[0], own[1], own[2], own[3])
		if rp.err != nil {
			printError(ExitUnreachable, "%s: %v", mb.ID, rp.err)
		}
	}
	printCounters(reports)
}

// answered reports whether the node answered all queries.
func (rp *nodeReport) answered() bool { return rp.err == nil && rp.member.State != stateDead }

func (rp *nodeReport) fields() map[string]any {
	fields := map[string]any{
		"id":             rp.member.ID,
		"zone":           rp.member.Zone,
		"region":         rp.member.Region,
		"state":          rp.member.State,
		"caller-address": rp.member.Address,
		"reached":        rp.answered(),
	}
	if rp.err != nil {
		fields["error"] = rp.err.Error()
	}
	if rp.answered() {
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

// printCounters prints the sum of each counter over all nodes.
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
