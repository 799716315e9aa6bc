package bencher

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"
)

const (
	// maxMicroseconds is the longest time that a histogram can record.
	maxMicroseconds = int64(time.Hour / time.Microsecond)
	// significantDigits is the precision of a histogram.
	significantDigits = 3
)

// ClassResult is the result of the requests of one priority class.
type ClassResult struct {
	offered    int                     // requests, with or without an answer
	completed  int                     // answered without an error
	attained   int                     // completed within the targets of the class
	tokens     int                     // tokens of all completed answers
	firstToken *hdrhistogram.Histogram // microseconds
	tokenGap   *hdrhistogram.Histogram // microseconds
}

func newClassResult() *ClassResult {
	return &ClassResult{
		firstToken: hdrhistogram.New(1, maxMicroseconds, significantDigits),
		tokenGap:   hdrhistogram.New(1, maxMicroseconds, significantDigits),
	}
}

// Attainment returns the fraction of the requests that were answered completely
// and within the targets of the class, or 1 if there were no requests.
func (cr *ClassResult) Attainment() float64 {
	if cr.offered == 0 {
		return 1
	}
	return float64(cr.attained) / float64(cr.offered)
}

// Offered returns the number of requests, with or without an answer.
func (cr *ClassResult) Offered() int { return cr.offered }

// Result holds the measurements of a run.
type Result struct {
	deployment   string
	seed         uint64
	length       time.Duration
	accelerators int
	classes      map[string]*ClassResult
	refusals     map[string]int   // by reason
	unknown      int              // requests of which it is unknown whether they ran
	broken       []string         // descriptions of violated invariants
	moves        int              // loads of models
	counters     map[string]int64 // by name, summed over the nodes
	nodes        int              // entry nodes of the measured system
	memoryBytes  uint64           // of the whole process
	cpuTime      time.Duration    // user and system time of the whole process
}

// Classes returns the results by the name of the class.
func (rs *Result) Classes() map[string]*ClassResult { return rs.classes }

// Refusals returns the number of refused requests by reason, after the client's
// retries. The reason "no-answer" stands for errors that are no refusals.
func (rs *Result) Refusals() map[string]int { return rs.refusals }

// Violations returns descriptions of the invariants that were violated.
func (rs *Result) Violations() []string { return rs.broken }

// AddViolation adds the description of a violated invariant.
func (rs *Result) AddViolation(format string, args ...any) {
	rs.broken = append(rs.broken, fmt.Sprintf(format, args...))
}

// SetSystemFigures sets the figures of the measured system: its nodes, loads of
// models, counters summed over the nodes, and memory in bytes and CPU time of
// the whole process.
func (rs *Result) SetSystemFigures(nodes, moves int, counters map[string]int64, memoryBytes uint64, cpuTime time.Duration) {
	rs.nodes = nodes
	rs.moves = moves
	rs.counters = counters
	rs.memoryBytes = memoryBytes
	rs.cpuTime = cpuTime
}

// AttainedPerAccelerator returns the number of requests answered within their
// targets, per second and accelerator.
func (rs *Result) AttainedPerAccelerator() float64 {
	attained := 0
	for _, cr := range rs.classes {
		attained += cr.attained
	}
	return float64(attained) / rs.length.Seconds() / float64(max(rs.accelerators, 1))
}

// figures returns every figure by its name in the JSON result.
func (rs *Result) figures() map[string]float64 {
	values := map[string]float64{
		"attained-per-accelerator-second": rs.AttainedPerAccelerator(),
		"model-moves":                     float64(rs.moves),
		"unknown-outcomes":                float64(rs.unknown),
		"broken-invariants":               float64(len(rs.broken)),
		"memory-mib":                      float64(rs.memoryBytes) / (1 << 20),
		"processor-seconds":               rs.cpuTime.Seconds(),
	}
	for name, cr := range rs.classes {
		prefix := "class." + name + "."
		values[prefix+"offered"] = float64(cr.offered)
		values[prefix+"whole"] = float64(cr.completed)
		values[prefix+"attainment"] = cr.Attainment()
		values[prefix+"first-token-p50-ms"] = millis(cr.firstToken, 50)
		values[prefix+"first-token-p95-ms"] = millis(cr.firstToken, 95)
		values[prefix+"first-token-p99-ms"] = millis(cr.firstToken, 99)
		values[prefix+"token-gap-p95-ms"] = millis(cr.tokenGap, 95)
	}
	for reason, count := range rs.refusals {
		values["refused."+reason] = float64(count)
	}
	for name, count := range rs.counters {
		values["counter."+name] = float64(count)
	}
	return values
}

// millis returns a percentile of a histogram of microseconds in milliseconds.
func millis(hg *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(hg.ValueAtPercentile(percentile)) / 1000
}

// WriteJSON writes the result as an indented JSON object with all figures.
func (rs *Result) WriteJSON(wr io.Writer) error {
	body, err := json.MarshalIndent(map[string]any{
		"deployment":     rs.deployment,
		"seed":           rs.seed,
		"length-seconds": rs.length.Seconds(),
		"nodes":          rs.nodes,
		"broken":         rs.broken,
		"figures":        rs.figures(),
	}, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode result")
	}
	if _, err := wr.Write(append(body, '\n')); err != nil {
		return errors.Wrap(err, "write result")
	}
	return nil
}

// WriteTable writes the result as text in aligned columns.
func (rs *Result) WriteTable(wr io.Writer) {
	tw := tabwriter.NewWriter(wr, 0, 0, 2, ' ', 0)
	defer func() { _ = tw.Flush() }()
	fmt.Fprintf(tw, "deployment %s, seed %d, %v, %d nodes\n\n", rs.deployment, rs.seed, rs.length, rs.nodes)
	fmt.Fprintln(tw, "class\toffered\twhole\tattained\tfirst token p50\tp95\tp99\ttoken gap p95")
	for _, name := range sortedNames(rs.classes) {
		cr := rs.classes[name]
		fmt.Fprintf(tw, "%s\t%d\t%d\t%.1f%%\t%.0f ms\t%.0f ms\t%.0f ms\t%.0f ms\n", name, cr.offered, cr.completed,
			100*cr.Attainment(), millis(cr.firstToken, 50), millis(cr.firstToken, 95), millis(cr.firstToken, 99), millis(cr.tokenGap, 95))
	}
	fmt.Fprintf(tw, "\nattained per accelerator and second\t%.3f\n", rs.AttainedPerAccelerator())
	fmt.Fprintf(tw, "model moves\t%d\n", rs.moves)
	fmt.Fprintf(tw, "unknown outcomes\t%d\n", rs.unknown)
	writeCounts(tw, "refused to callers", rs.refusals)
	writeCounts(tw, "counter", rs.counters)
	fmt.Fprintf(tw, "\nmemory of the process\t%.0f MiB\nprocessor time\t%.1f s\n", float64(rs.memoryBytes)/(1<<20), rs.cpuTime.Seconds())
	for _, broken := range rs.broken {
		fmt.Fprintf(tw, "BROKEN\t%s\n", broken)
	}
	if len(rs.broken) == 0 {
		fmt.Fprintln(tw, "invariants\tall held")
	}
}

func writeCounts[T int | int64](wr io.Writer, title string, counts map[string]T) {
	for _, name := range sortedNames(counts) {
		fmt.Fprintf(wr, "%s %s\t%d\n", title, name, counts[name])
	}
}

// Compare writes the figures of two result files side by side, with the
// differences. A figure that a file lacks counts as 0.
func Compare(wr io.Writer, first, second string) error {
	one, err := readFigures(first)
	if err != nil {
		return err
	}
	two, err := readFigures(second)
	if err != nil {
		return err
	}
	all := map[string]bool{}
	for name := range one {
		all[name] = true
	}
	for name := range two {
		all[name] = true
	}
	tw := tabwriter.NewWriter(wr, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "figure\tfirst\tsecond\tdifference\t")
	for _, name := range sortedNames(all) {
		fmt.Fprintf(tw, "%s\t%.4g\t%.4g\t%+.4g\t\n", name, one[name], two[name], two[name]-one[name])
	}
	if err := tw.Flush(); err != nil {
		return errors.Wrap(err, "write comparison")
	}
	return nil
}

func readFigures(path string) (map[string]float64, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrapf(err, "read result %q", path)
	}
	var wire struct {
		Figures map[string]float64 `json:"figures"`
	}
	if err := json.Unmarshal(body, &wire); err != nil {
		return nil, errors.Wrapf(err, "decode result %q", path)
	}
	return wire.Figures, nil
}
