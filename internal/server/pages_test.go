package server

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

var reasonRow = regexp.MustCompile(`(?m)^\| ([a-z-]+) \| (\d{3}) \| (not-run|unknown|either) \| (no|later) \| .+ \|$`)

func readPage(t *testing.T, name string) string {
	page, err := os.ReadFile("../../docs/" + name)
	require.NoError(t, err)
	return string(page)
}

// The API page lists each reason with its status and each route; the operations
// page lists each reason.
func TestPagesListEveryReasonAndRoute(t *testing.T) {
	api, operations := readPage(t, "API.md"), readPage(t, "OPERATIONS.md")
	rows := map[string]string{}
	for _, match := range reasonRow.FindAllStringSubmatch(api, -1) {
		require.NotContains(t, rows, match[1])
		rows[match[1]] = match[2]
	}
	require.Len(t, rows, len(refuser.Reasons()))
	for _, rn := range refuser.Reasons() {
		require.Equal(t, fmt.Sprint(refuser.New(rn, "").Status()), rows[string(rn)], rn)
		require.Regexp(t, `(?m)^\|[a-z, -]*\b`+string(rn)+`[ ,]`, operations)
	}
	for _, rt := range New(Components{}).echo.Routes() {
		path := strings.NewReplacer(":service/*", "NAME/PATH", ":id", "ID").Replace(rt.Path)
		require.Contains(t, api, path)
		if !strings.HasPrefix(path, "/services/") {
			require.Contains(t, api, rt.Method+" "+path)
		}
	}
}
