package commander

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestExplainMatchesGoldenFiles finds the causes for the ids of requests in the
// logs of all nodes of one simulated day.
func TestExplainMatchesGoldenFiles(t *testing.T) {
	logs, err := filepath.Glob("../explainer/testdata/*.log")
	require.NoError(t, err)
	require.NotEmpty(t, logs)
	for name, args := range map[string][]string{
		"explain-summary":        {"-summary"},
		"explain-summary-json":   {"-summary", "-output", "json"},
		"explain-no-leader":      {"-request", "b7c3d623e57a95f4"},
		"explain-adapters":       {"-request", "7cc949bf0db51cab"},
		"explain-broken-stream":  {"-request", "a04c2ad88b1e2fc2"},
		"explain-late":           {"-request", "870306cfc09dcc49"},
		"explain-late-json":      {"-request", "870306cfc09dcc49", "-output", "json"},
		"explain-unknown":        {"-request", "0000000000000000"},
		"explain-usage":          {"-summary", "-request", "b7c3d623e57a95f4"},
		"explain-usage-no-logs":  {"-summary"},
		"explain-usage-no-flags": {},
	} {
		t.Run(name, func(t *testing.T) {
			line := append([]string{"explain"}, args...)
			if name != "explain-usage-no-logs" {
				line = append(line, logs...)
			}
			requireGolden(t, name, run(line...))
		})
	}
	require.Contains(t, run("explain", "-summary", "nowhere.log"), "exit 1")
}
