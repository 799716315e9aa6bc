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
	// highestMicros is the longest time that a histogram can hold.
	highestMicros = int64(time.Hour / time.Microsecond)
	// digits is the precision of a histogram.
	digits = 3
)

// ClassResult is what the requests of one class got.
type ClassResult struct {
	offered    int
	whole      int
	attained   int
	tokens     int
	firstToken *hdrhistogram.Histogram
	tokenGap   *hdrhistogram.Histogram
}

func newClassResult() *ClassResult {
	return &ClassResult{
		firstToken: hdrhistogram.New(1, highestMicros, digits),
		tokenGap:   hdrhistogram.New(1, highestMicros, digits),
	}
}

// Attainment returns the part of the requests that were answered whole and
// within the targets of their class.
func (cr *ClassResult) Attainment() float64 {
	if cr.offered == 0 {
		return 1
	}
	return float64(cr.attained) / float64(cr.offered)
}

// Offered returns the number of requests.
func (cr *ClassResult) Offered() int { return cr.offered }

// Result is what a drive measured.
type Result struct {
	deployment   string
	seed         uint64
	length       time.Duration
	accelerators int
	classes      map[string]*ClassResult
	refusals     map[string]int
	unknown      int
	broken       []string
	moves        int
	counters     map[string]int64
	nodes        int
	memory       uint64
	processor    time.Duration
}

// Classes returns the results by class.
func (rs *Result) Classes() map[string]*ClassResult { return rs.classes }

// Refusals returns the refusals that callers saw in the end, by reason.
func (rs *Result) Refusals() map[string]int { return rs.refusals }

// Broken returns the invariants that were broken.
func (rs *Result) Broken() []string { return rs.broken }

// AddBroken notes a broken invariant.
func (rs *Result) AddBroken(format string, args ...any) {
	rs.broken = append(rs.broken, fmt.Sprintf(format, args...))
}

// SetSystem notes what the system itself counted: model moves, counters summed
// over the nodes, memory in bytes and processor time of the whole process.
func (rs *Result) SetSystem(nodes, moves int, counters map[string]int64, memory uint64, processor time.Duration) {
	rs.nodes = nodes
	rs.moves = moves
	rs.counters = counters
	rs.memory = memory
	rs.processor = processor
}

// AttainedPerAccelerator returns the requests answered within their targets, a
// second and accelerator.
func (rs *Result) AttainedPerAccelerator() float64 {
	attained := 0
	for _, cr := range rs.classes {
		attained += cr.attained
	}
	return float64(attained) / rs.length.Seconds() / float64(max(rs.accelerators, 1))
}

// numbers returns every figure by name.
func (rs *Result) numbers() map[string]float64 {
	out := map[string]float64{
		"attained-per-accelerator-second": rs.AttainedPerAccelerator(),
		"model-moves":                     float64(rs.moves),
		"unknown-outcomes":                float64(rs.unknown),
		"broken-invariants":               float64(len(rs.broken)),
		"memory-mib":                      float64(rs.memory) / (1 << 20),
		"processor-seconds":               rs.processor.Seconds(),
	}
	for name, cr := range rs.classes {
		prefix := "class." + name + "."
		out[prefix+"offered"] = float64(cr.offered)
		out[prefix+"whole"] = float64(cr.whole)
		out[prefix+"attainment"] = cr.Attainment()
		out[prefix+"first-token-p50-ms"] = millis(cr.firstToken, 50)
		out[prefix+"first-token-p95-ms"] = millis(cr.firstToken, 95)
		out[prefix+"first-token-p99-ms"] = millis(cr.firstToken, 99)
		out[prefix+"token-gap-p95-ms"] = millis(cr.tokenGap, 95)
	}
	for reason, count := range rs.refusals {
		out["refused."+reason] = float64(count)
	}
	for name, count := range rs.counters {
		out["counter."+name] = float64(count)
	}
	return out
}

func millis(hg *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(hg.ValueAtPercentile(percentile)) / 1000
}

// WriteJSON writes the result for scripts.
func (rs *Result) WriteJSON(wr io.Writer) error {
	body, err := json.MarshalIndent(map[string]any{
		"deployment":     rs.deployment,
		"seed":           rs.seed,
		"length-seconds": rs.length.Seconds(),
		"nodes":          rs.nodes,
		"broken":         rs.broken,
		"figures":        rs.numbers(),
	}, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode result")
	}
	if _, err := wr.Write(append(body, '\n')); err != nil {
		return errors.Wrap(err, "write result")
	}
	return nil
}

// WriteTable writes the result for people.
func (rs *Result) WriteTable(wr io.Writer) {
	tw := tabwriter.NewWriter(wr, 0, 0, 2, ' ', 0)
	defer func() { _ = tw.Flush() }()
	fmt.Fprintf(tw, "deployment %s, seed %d, %v, %d nodes\n\n", rs.deployment, rs.seed, rs.length, rs.nodes)
	fmt.Fprintln(tw, "class\toffered\twhole\tattained\tfirst token p50\tp95\tp99\ttoken gap p95")
	for _, name := range sortedNames(rs.classes) {
		cr := rs.classes[name]
		fmt.Fprintf(tw, "%s\t%d\t%d\t%.1f%%\t%.0f ms\t%.0f ms\t%.0f ms\t%.0f ms\n", name, cr.offered, cr.whole,
			100*cr.Attainment(), millis(cr.firstToken, 50), millis(cr.firstToken, 95), millis(cr.firstToken, 99), millis(cr.tokenGap, 95))
	}
	fmt.Fprintf(tw, "\nattained per accelerator and second\t%.3f\n", rs.AttainedPerAccelerator())
	fmt.Fprintf(tw, "model moves\t%d\n", rs.moves)
	fmt.Fprintf(tw, "unknown outcomes\t%d\n", rs.unknown)
	writeCounts(tw, "refused to callers", rs.refusals)
	writeCounts(tw, "counter", rs.counters)
	fmt.Fprintf(tw, "\nmemory of the process\t%.0f MiB\nprocessor time\t%.1f s\n", float64(rs.memory)/(1<<20), rs.processor.Seconds())
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

// Compare writes the figures of two result files side by side.
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
