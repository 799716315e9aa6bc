package commander

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/apex/log"
	"github.com/google/subcommands"

	"github.com/lagoonpass/lagoonpass/examples"
	"github.com/lagoonpass/lagoonpass/internal/bencher"
	"github.com/lagoonpass/lagoonpass/internal/demonstrator"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// benchCommand measures a running system, the demo system or planning policies.
type benchCommand struct {
	deployment string
	// target holds the base URLs of a running system's entry nodes, separated
	// by commas. It is empty for the demo system.
	target string
	// folder holds the settings of the running system. If it is empty, the
	// example named by deployment is used.
	folder    string
	keyPrefix string
	// file receives the result as JSON; empty for none.
	file string
	// compare selects the comparison of two result files, planning that of
	// planning policies.
	compare  bool
	planning bool
	// length is the time during which requests arrive, or the length of a
	// trace.
	length time.Duration
	// perSecond is the mean rate of requests.
	perSecond float64
	seed      uint64
	// count is the number of traces.
	count int
	// utilisation is the mean demand of a trace as a fraction of all slots.
	utilisation float64
}

// Name implements subcommands.Command.
func (*benchCommand) Name() string { return "bench" }

// Synopsis implements subcommands.Command.
func (*benchCommand) Synopsis() string {
	return "measure a running system, the demo's, or planning policies"
}

// Usage implements subcommands.Command.
func (*benchCommand) Usage() string {
	return `bench [-deployment NAME] [-length D] [-rate N] [-seed N] [-file RESULT.json]
bench -target URL,... -folder SETTINGS [-key-prefix TEXT] ...
bench -planning [-deployment NAME] [-length D] [-utilisation U] [-seed N] [-count N]
bench -compare FIRST.json SECOND.json
`
}

// SetFlags implements subcommands.Command.
func (bc *benchCommand) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&bc.deployment, "deployment", "harwick-pell", "which example gives the settings and the traffic")
	fs.StringVar(&bc.target, "target", "", "base URLs of a running system's entry nodes; empty for the demo's")
	fs.StringVar(&bc.folder, "folder", "", "settings folder of the running system")
	fs.StringVar(&bc.keyPrefix, "key-prefix", "example-key-", "API key of a caller without the caller's name")
	fs.StringVar(&bc.file, "file", "", "file for the JSON result")
	fs.BoolVar(&bc.compare, "compare", false, "set two results side by side")
	fs.BoolVar(&bc.planning, "planning", false, "compare planning policies on the same traces")
	fs.DurationVar(&bc.length, "length", 30*time.Second, "how long requests arrive, or a trace lasts")
	fs.Float64Var(&bc.perSecond, "rate", 60, "requests a second")
	fs.Uint64Var(&bc.seed, "seed", 1, "seed of the arrivals or of the first trace")
	fs.IntVar(&bc.count, "count", 4, "number of traces")
	fs.Float64Var(&bc.utilisation, "utilisation", 0.75, "mean demand of a trace as a part of all slots")
}

// Execute implements subcommands.Command.
func (bc *benchCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	log.SetLevel(log.ErrorLevel)
	var err error
	switch {
	case bc.compare && fs.NArg() == 2:
		err = bencher.Compare(os.Stdout, fs.Arg(0), fs.Arg(1))
	case bc.compare:
		return printError(subcommands.ExitUsageError, "bench -compare wants two result files")
	case bc.planning:
		err = bc.plan()
	default:
		return bc.drive(ctx)
	}
	if err != nil {
		return printError(subcommands.ExitFailure, "%v", err)
	}
	return subcommands.ExitSuccess
}

// drive measures a running system or the demo system and prints the result.
func (bc *benchCommand) drive(ctx context.Context) subcommands.ExitStatus {
	rs, err := bc.measure(ctx)
	if err != nil {
		return printError(subcommands.ExitFailure, "%v", err)
	}
	rs.WriteTable(os.Stdout)
	if err := bc.save(rs.WriteJSON); err != nil {
		return printError(subcommands.ExitFailure, "%v", err)
	}
	if len(rs.Violations()) > 0 {
		return ExitInvariant
	}
	return subcommands.ExitSuccess
}

func (bc *benchCommand) measure(ctx context.Context) (*bencher.Result, error) {
	opts := []bencher.DriverOption{
		bencher.WithLength(bc.length),
		bencher.WithRate(bc.perSecond),
		bencher.WithSeed(bc.seed),
		bencher.WithProgress(progressPrinter("requests sent")),
	}
	if bc.target != "" {
		return bc.measureTarget(ctx, opts)
	}
	dm, err := demonstrator.Start(ctx, bc.deployment)
	if err != nil {
		return nil, err
	}
	defer dm.Stop()
	if err := dm.AwaitReady(ctx, progressPrinter("models reachable")); err != nil {
		return nil, err
	}
	return dm.Drive(ctx, opts...)
}

func (bc *benchCommand) measureTarget(ctx context.Context, opts []bencher.DriverOption) (*bencher.Result, error) {
	st, err := bc.settings()
	if err != nil {
		return nil, err
	}
	keys := func(name string) string { return bc.keyPrefix + name }
	return bencher.NewDriver(st, bc.deployment, strings.Split(bc.target, ","), keys, opts...).Drive(ctx)
}

// settings parses the settings folder, or the example of the deployment if no
// folder is set.
func (bc *benchCommand) settings() (*configurer.Settings, error) {
	files, err := examples.Files(bc.deployment)
	if bc.folder != "" {
		files, err = configurer.Files(bc.folder)
	}
	if err != nil {
		return nil, err
	}
	st, faults := configurer.Parse(files)
	if len(faults) > 0 {
		return nil, faults[0]
	}
	return st, nil
}

func (bc *benchCommand) save(write func(io.Writer) error) error {
	if bc.file == "" {
		return nil
	}
	fl, err := os.Create(bc.file)
	if err != nil {
		return err
	}
	if err := write(fl); err != nil {
		_ = fl.Close()
		return err
	}
	return fl.Close()
}

// plan compares planning policies and prints the results.
func (bc *benchCommand) plan() error {
	st, err := bc.settings()
	if err != nil {
		return err
	}
	results := bencher.SweepPlanning(st, bc.length, bc.utilisation, bc.seed, bc.count)
	tw := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "policy\tattainment\tserved per accelerator\tmoves")
	for _, name := range []string{"fixed", "planner", "proportional"} {
		rs := results[name]
		fmt.Fprintf(tw, "%s\t%.4f\t%.3f\t%d\n", name, rs.Attainment, rs.PerAccelerator, rs.Moves)
	}
	return tw.Flush()
}
