package commander

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/google/subcommands"
	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/standin/platform"
)

var update = flag.Bool("update", false, "write the golden files anew")

const (
	oldText = `[model.m]
memory = 1GiB
[class.c]
rank = 0
[engine-kind.k]
[backend-server.w]
kind = k
address = 127.0.0.1:1
zone = z
memory = 2GiB
[backend-server.v]
kind = k
address = 127.0.0.1:2
zone = y
memory = 2GiB
[caller.t]
key-sha256 = 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08
`
	newText    = "[limits]\nqueue-requests = 10\n"
	faultyText = "[model.m]\nmemroy = 1GiB\nversion = two words\n[modle.x]\n"
	largeText  = "[model.m]\nmemory = 3GiB\n"
)

// writeFolder writes numbered settings files into a new folder and returns its
// path.
func writeFolder(t *testing.T, texts ...string) string {
	dir := filepath.Join(t.TempDir(), "settings")
	require.NoError(t, os.Mkdir(dir, 0o755))
	for ix, text := range texts {
		name := filepath.Join(dir, fmt.Sprintf("%d.ini", ix+1))
		require.NoError(t, os.WriteFile(name, []byte(text), 0o600))
	}
	return dir
}

// run executes a command line and returns its exit code and output.
func run(args ...string) string {
	var out, errs bytes.Buffer
	oldOut, oldErr := stdout, stderr
	stdout, stderr = &out, &errs
	defer func() { stdout, stderr = oldOut, oldErr }()
	fs := flag.NewFlagSet("lagoonpass", flag.ContinueOnError)
	cm := subcommands.NewCommander(fs, "lagoonpass")
	Register(cm)
	_ = fs.Parse(args)
	code := cm.Execute(context.Background())
	return fmt.Sprintf("exit %d\n--- stdout\n%s--- stderr\n%s", code, out.String(), errs.String())
}

// digest matches the hash of a revision, in full or shortened.
var digest = regexp.MustCompile(`\b[0-9a-f]{12}([0-9a-f]{52})?\b`)

// hashLabels numbers hashes by first appearance, so that the golden files show
// which are equal and don't depend on the compressor.
type hashLabels map[string]string

func (lb hashLabels) replace(text string) string {
	return digest.ReplaceAllStringFunc(text, func(hash string) string {
		short := hash[:shortHashDigits]
		if lb[short] == "" {
			lb[short] = fmt.Sprintf("HASH-%d", len(lb)+1)
		}
		return fmt.Sprintf("%s(%d digits)", lb[short], len(hash))
	})
}

// requireGolden makes the replacements in got and compares it with a golden
// file.
func requireGolden(t *testing.T, name, got string, replacements ...string) {
	got = strings.NewReplacer(replacements...).Replace(got)
	path := filepath.Join("testdata", name+".golden")
	if *update {
		require.NoError(t, os.WriteFile(path, []byte(got), 0o600))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), got, "run go test ./internal/commander -update")
}

func TestSettingsCommandsMatchGoldenFiles(t *testing.T) {
	store, hashes := platform.NewMemory(), hashLabels{}
	web := httptest.NewServer(platform.Handler(store, func() []platform.VM { return nil }))
	defer web.Close()
	old, changed := writeFolder(t, oldText), writeFolder(t, oldText, newText)
	faulty, large := writeFolder(t, oldText, faultyText), writeFolder(t, oldText, largeText)
	written := filepath.Join(t.TempDir(), "written")
	for _, tc := range []struct{ name, line string }{
		{"history-none", "history"},
		{"check-good", "check OLD"},
		{"check-faults", "check FAULTY"},
		{"check-arithmetic", "check LARGE"},
		{"check-missing", "check /nowhere"},
		{"apply-faults", "apply FAULTY"},
		{"apply-arithmetic", "apply LARGE"},
		{"apply-first", "apply -author ann OLD"},
		{"diff", "diff NEW"},
		{"apply-second", "apply -author ben -base 1 NEW"},
		{"apply-raced", "apply -author ann -base 1 OLD"},
		{"diff-same", "diff NEW"},
		{"show", "show"},
		{"show-old", "show -revision 1"},
		{"show-gone", "show -revision 9"},
		{"show-folder", "show -revision 1 -folder WRITTEN"},
		{"apply-back", "apply -author ann WRITTEN"},
		{"history", "history"},
		{"usage", "diff OLD NEW"},
	} {
		for _, output := range []string{"text", "json"} {
			words := strings.Fields(strings.NewReplacer("OLD", old, "NEW", changed, "FAULTY", faulty, "LARGE", large, "WRITTEN", written).Replace(tc.line))
			if output == "json" && (tc.name == "apply-first" || tc.name == "apply-second" || tc.name == "show-folder") {
				continue // A second run would make another revision, or fail as the folder exists.
			}
			args := append([]string{words[0], "-output", output}, words[1:]...)
			if words[0] != "check" {
				args = append([]string{words[0], "-store", web.URL}, args[1:]...)
			}
			requireGolden(t, tc.name+"-"+output, hashes.replace(run(args...)), old, "OLD", web.URL, "STORE")
		}
	}
	store.SetDown(true)
	require.Contains(t, run("history", "-store", web.URL), "exit 5\n")
}

// standinNode starts a fake entry node with three members: n1 is the node
// itself, n3 is dead, and n2 doesn't answer if isolated is set. The hosts of
// the calls to drain are added to drained.
func standinNode(t *testing.T, isolated bool) (address string, drained *[]string) {
	drained = &[]string{}
	mux := http.NewServeMux()
	web := httptest.NewServer(mux)
	t.Cleanup(web.Close)
	address = web.Listener.Addr().String()
	second := address
	if isolated {
		gone := httptest.NewServer(http.NotFoundHandler())
		second = gone.Listener.Addr().String()
		gone.Close()
	}
	mux.HandleFunc("/", func(wr http.ResponseWriter, rq *http.Request) {
		if rq.Header.Get("Authorization") != "Bearer secret" {
			wr.WriteHeader(http.StatusUnauthorized)
			_, _ = wr.Write([]byte(`{"error":{"reason":"bad-credentials","outcome":"not-run","message":"no such key"}}`))
			return
		}
		switch rq.Method + " " + rq.URL.Path {
		case "GET /v1/status":
			_, _ = fmt.Fprintf(wr, `{"id":"n1","revision":7,"corrupt-configuration":1,"stale":false,"in-flight":3,"members":[
				{"id":"n2","zone":"b","region":"r","state":"suspect","revision":6,"caller-address":%q},
				{"id":"n1","zone":"a","region":"r","state":"alive","revision":7,"caller-address":%q},
				{"id":"n3","zone":"a","region":"r","state":"dead","revision":5,"caller-address":"127.0.0.1:1"}]}`, second, address)
		case "GET /v1/counters":
			_, _ = wr.Write([]byte(`{"id":"n1","counters":{"refusal.queue-full":2,"retry.backend-failed":1}}`))
		case "POST /v1/drain":
			*drained = append(*drained, rq.Host)
			wr.WriteHeader(http.StatusAccepted)
			_, _ = wr.Write([]byte(`{"id":"n1","leaving":true}`))
		case "GET /v1/jobs":
			_, _ = wr.Write([]byte(`{"jobs":[{"id":"j1","state":"done","path":"/p","created":"2026-01-01T00:00:00Z","attempts":1}],"next":"j1"}`))
		}
	})
	return address, drained
}

func TestNodeCommandsMatchGoldenFiles(t *testing.T) {
	t.Setenv(keyVariable, "secret")
	whole, drained := standinNode(t, false)
	part, _ := standinNode(t, true)
	for _, tc := range []struct{ name, node, line string }{
		{"status", whole, "status -counters"},
		{"status-wrong-key", whole, "status -key wrong"},
		{"drain", whole, "drain n1"},
		{"drain-unknown", whole, "drain n9"},
		{"drain-server", whole, "drain -server w1"},
		{"jobs", whole, "jobs list"},
	} {
		for _, output := range []string{"text", "json"} {
			words := strings.Fields(tc.line)
			args := append([]string{words[0], "-node", tc.node, "-output", output}, words[1:]...)
			requireGolden(t, tc.name+"-"+output, run(args...), tc.node, "NODE")
		}
	}
	require.Equal(t, []string{whole, whole}, *drained)
	got := run("status", "-node", part)
	require.Contains(t, got, "exit 5\n")
	require.Contains(t, got, "n2               b          r          suspect         -")
}

func TestNodeCommandsExitWithCodeForUnreachableNode(t *testing.T) {
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	node := gone.Listener.Addr().String()
	for _, args := range [][]string{{"status", "-node", node}, {"drain", "-node", node, "n1"}, {"jobs", "-node", node, "list"}} {
		require.Contains(t, run(args...), "exit 5\n")
	}
}
