package fingerprinter_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/fingerprinter"
)

func TestRequestsWithOneDifferenceHaveOtherContents(t *testing.T) {
	base := fingerprinter.Request("c", "GET", "h", "/p?q", []byte("b"))
	require.Equal(t, base, fingerprinter.Request("c", "GET", "h", "/p?q", []byte("b")))
	for _, other := range []fingerprinter.Content{
		fingerprinter.Request("d", "GET", "h", "/p?q", []byte("b")),
		fingerprinter.Request("c", "PUT", "h", "/p?q", []byte("b")),
		fingerprinter.Request("c", "GET", "i", "/p?q", []byte("b")),
		fingerprinter.Request("c", "GET", "h", "/p?r", []byte("b")),
		fingerprinter.Request("c", "GET", "h", "/p?q", nil),
		fingerprinter.Request("c", "GET", "h/", "p?q", []byte("b")),
	} {
		require.NotEqual(t, base, other)
	}
}
