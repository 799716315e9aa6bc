package headchecker_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/protocol/headchecker"
)

func TestStatusIsOneOfHTTP(t *testing.T) {
	for status, want := range map[string]error{
		"100": nil, "200": nil, "299": nil, "418": nil, "599": nil,
		"000": headchecker.ErrMalformed, "099": headchecker.ErrMalformed, "-00": headchecker.ErrMalformed,
		"+99": headchecker.ErrMalformed, "600": headchecker.ErrMalformed, "999": headchecker.ErrMalformed,
	} {
		rs, err := http.ReadResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 "+status+" Reason\r\n\r\n")), nil)
		require.NoError(t, err, status)
		require.ErrorIs(t, headchecker.Check(rs), want, status)
	}
}
