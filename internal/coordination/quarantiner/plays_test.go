package quarantiner_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/fingerprinter"
	"github.com/lagoonpass/lagoonpass/internal/coordination/quarantiner"
)

var update = flag.Bool("update", false, "write the golden files")

// TestPlaysEndAsRecorded plays what nodes see of crashes and completed answers.
// A line of a play is a time in seconds and one of
//
//	crash SERVER CONTENT...   contents in flight; ~ after one whose requests had a
//	                       piece of their answer, @S the seconds it was in flight,
//	                       =REQUEST the request. Whole requests are in capitals.
//	good CONTENT...           an answer was completed
//	flood SERVER COUNT     a crash with that many new contents in flight
//	check CONTENT...          whether a request may be sent
//	try CONTENT               whether it may be sent on trial
//
// The golden file has the lines with their results.
func TestPlaysEndAsRecorded(t *testing.T) {
	plays, err := filepath.Glob("testdata/*.play")
	require.NoError(t, err)
	require.NotEmpty(t, plays)
	for _, path := range plays {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".play"), func(t *testing.T) {
			text, err := os.ReadFile(path)
			require.NoError(t, err)
			pl := &player{quarantine: quarantiner.New(), ids: map[string]fingerprinter.Content{}}
			var out strings.Builder
			for line := range strings.Lines(string(text)) {
				line = strings.TrimSpace(line)
				if line == "" || line[0] == '#' {
					fmt.Fprintln(&out, line)
					continue
				}
				fmt.Fprintf(&out, "%s -> %s\n", line, pl.play(t, strings.Fields(line)))
			}
			golden := strings.TrimSuffix(path, ".play") + ".golden"
			if *update {
				require.NoError(t, os.WriteFile(golden, []byte(out.String()), 0o600))
			}
			want, err := os.ReadFile(golden)
			require.NoError(t, err)
			require.Equal(t, string(want), out.String())
		})
	}
}

// player plays lines on one record.
type player struct {
	quarantine *quarantiner.Quarantine
	names      []string
	ids        map[string]fingerprinter.Content
}

// content returns the id of a content by its name.
func (pl *player) content(name string) fingerprinter.Content {
	if _, ok := pl.ids[name]; !ok {
		pl.names = append(pl.names, name)
		pl.ids[name] = fingerprinter.Parts([]uint64{uint64(len(pl.names))})[0]
		if name == strings.ToUpper(name) {
			pl.ids[name] = fingerprinter.Request(name, "", "", "", nil)
		}
	}
	return pl.ids[name]
}

func (pl *player) contents(names []string) (ids []fingerprinter.Content) {
	for _, name := range names {
		ids = append(ids, pl.content(name))
	}
	return ids
}

func (pl *player) namesOf(ids []fingerprinter.Content) string {
	var names []string
	for _, id := range ids {
		for name, known := range pl.ids {
			if known == id {
				names = append(names, name)
			}
		}
	}
	slices.Sort(names)
	return strings.Join(append([]string{fmt.Sprint(len(ids))}, names...), " ")
}

func (pl *player) play(t *testing.T, words []string) string {
	seconds, err := strconv.ParseFloat(words[0], 64)
	require.NoError(t, err)
	now := time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
	switch words[1] {
	case "crash":
		rp := quarantiner.Report{Server: words[2]}
		for _, word := range words[3:] {
			word, request, ofRequest := strings.Cut(word, "=")
			name, flight, _ := strings.Cut(word, "@")
			mk := quarantiner.Mark{InFlight: 50 * time.Millisecond, Answering: strings.HasSuffix(name, "~")}
			if flight != "" {
				mk.InFlight, err = time.ParseDuration(flight + "s")
				require.NoError(t, err)
			}
			mk.Content = pl.content(strings.TrimSuffix(name, "~"))
			if ofRequest {
				mk.Request = pl.content(request)
			}
			rp.Marks = append(rp.Marks, mk)
		}
		return "excluded " + pl.namesOf(pl.quarantine.Record(now, rp))
	case "flood":
		count, err := strconv.Atoi(words[3])
		require.NoError(t, err)
		rp := quarantiner.Report{Server: words[2]}
		for range count {
			rp.Marks = append(rp.Marks, quarantiner.Mark{Content: pl.content(fmt.Sprint("new", len(pl.names)))})
		}
		return "excluded " + pl.namesOf(pl.quarantine.Record(now, rp))
	case "good":
		return "lifted " + pl.namesOf(pl.quarantine.Succeeded(now, pl.contents(words[2:])))
	case "try":
		return fmt.Sprint(pl.quarantine.Try(now, pl.content(words[2])))
	}
	vd := pl.quarantine.Check(now, pl.contents(words[2:]))
	return fmt.Sprintf("wait %v trial %v", vd.Wait, vd.Trial)
}
