package truncationdetector_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/truncationdetector"
	"github.com/lagoonpass/lagoonpass/internal/coordination/versionkeeper"
)

var update = flag.Bool("update", false, "write the golden files")

// TestPlaysEndAsRecorded plays the answers of servers. A line of a play is a time in
// milliseconds and one of
//
//	begin ANSWER SERVER   a request is sent
//	heard ANSWER          a piece of its answer comes
//	close ANSWER          the answer ends with its connection
//	break ANSWER          the connection of an answer with a length breaks off
//	end ANSWER            an answer with a length ends
//	state SERVER STATE    what the node knows of the server's process
//	refuse SERVER         the address of the server refuses connections
//
// The golden file has the lines, those of closed answers with the result and the time that it
// took.
func TestPlaysEndAsRecorded(t *testing.T) {
	log.SetHandler(discard.New())
	plays, err := filepath.Glob("testdata/*.play")
	require.NoError(t, err)
	require.NotEmpty(t, plays)
	for _, path := range plays {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".play"), func(t *testing.T) {
			text, err := os.ReadFile(path)
			require.NoError(t, err)
			var out string
			synctest.Test(t, func(t *testing.T) { out = newPlayer().play(t, string(text)) })
			golden := strings.TrimSuffix(path, ".play") + ".golden"
			if *update {
				require.NoError(t, os.WriteFile(golden, []byte(out), 0o600))
			}
			want, err := os.ReadFile(golden)
			require.NoError(t, err)
			require.Equal(t, string(want), out)
		})
	}
}

var states = map[string]truncationdetector.State{
	"leaving": truncationdetector.Leaving, "unlisted": truncationdetector.Unlisted,
	"stopped": truncationdetector.Stopped, "replaced": truncationdetector.Replaced,
}

// player plays the lines of one play. A server's address is its name.
type player struct {
	detector *truncationdetector.Detector
	answers  map[string]*truncationdetector.Answer
	states   map[string]truncationdetector.State
	refusing map[string]bool
}

func newPlayer() *player {
	pl := &player{answers: map[string]*truncationdetector.Answer{}, states: map[string]truncationdetector.State{}, refusing: map[string]bool{}}
	pl.detector = truncationdetector.New(func(_ context.Context, address string) bool { return pl.refusing[address] },
		truncationdetector.WithState(func(_ context.Context, pr versionkeeper.Process, _ string) truncationdetector.State {
			return pl.states[pr.Server]
		}))
	return pl
}

func (pl *player) play(t *testing.T, text string) string {
	began := time.Now()
	var lines []string
	type result struct {
		number int // of the line
		text   string
	}
	results := make(chan result, strings.Count(text, "\n"))
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		number := len(lines)
		lines = append(lines, line)
		if line == "" || line[0] == '#' {
			continue
		}
		fields := strings.Fields(line)
		at, err := strconv.Atoi(fields[0])
		require.NoError(t, err)
		time.Sleep(time.Until(began.Add(time.Duration(at) * time.Millisecond)))
		synctest.Wait()
		if fields[1] != "close" {
			pl.apply(t, fields[1:])
			continue
		}
		an := pl.answers[fields[2]]
		go func() {
			closed := time.Now()
			verdict := "complete"
			if an.Truncated(t.Context()) {
				verdict = "truncated"
			}
			an.End()
			results <- result{number, fmt.Sprintf(" -> %s after %d ms", verdict, time.Since(closed).Milliseconds())}
		}()
		synctest.Wait()
	}
	time.Sleep(time.Second)
	synctest.Wait()
	close(results)
	for rs := range results {
		lines[rs.number] += rs.text
	}
	return strings.Join(lines, "\n") + "\n"
}

func (pl *player) apply(t *testing.T, fields []string) {
	name := fields[1]
	switch fields[0] {
	case "begin":
		pl.answers[name] = pl.detector.Begin(name, versionkeeper.Process{Server: fields[2]}, fields[2])
	case "heard":
		pl.answers[name].Heard()
	case "break":
		pl.answers[name].BreakOff()
		pl.answers[name].End()
	case "end":
		pl.answers[name].End()
	case "state":
		state, ok := states[fields[2]]
		require.True(t, ok, fields[2])
		pl.states[name] = state
	case "refuse":
		pl.refusing[name] = true
	default:
		require.Fail(t, "unknown verb", fields[0])
	}
}
