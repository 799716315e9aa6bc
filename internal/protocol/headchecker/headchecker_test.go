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

func TestNameOfAFieldHasNoBlank(t *testing.T) {
	for line, want := range map[string]error{
		"Name: value": nil, "Name:value with blanks ": nil, "Name:": nil,
		"Name : value": headchecker.ErrMalformed, "Na me: value": headchecker.ErrMalformed,
	} {
		rs, err := http.ReadResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\n"+line+"\r\n\r\n")), nil)
		require.NoError(t, err, line)
		require.ErrorIs(t, headchecker.Check(rs), want, line)
	}
}

// Heads are scanned in pieces of any size, with what follows them.
func TestLineOfAHeadBeginsWithNoBlank(t *testing.T) {
	for head, want := range map[string]error{
		"HTTP/1.1 200 OK\r\nName: value\r\n\r\n":              nil,
		"HTTP/1.1 200 OK\r\nName: value\r\n folded\r\n\r\n":   headchecker.ErrMalformed,
		"HTTP/1.1 200 OK\nName: value\n\tLength: 5\n\n":       headchecker.ErrMalformed,
		"HTTP/1.1 200 OK\r\nName: \r\nOther: value\r\n\r\n":   nil,
		"HTTP/1.1 200 OK\r\nName: v\r\n \r\nOther: v\r\n\r\n": headchecker.ErrMalformed,
	} {
		for _, body := range []string{"", "body", " body", "body\n body"} {
			text := []byte(head + body)
			for size := 1; size <= len(text); size++ {
				sc := headchecker.Scanner{}
				for from := 0; from < len(text); from += size {
					sc.Scan(text[from:min(from+size, len(text))])
				}
				require.ErrorIs(t, sc.Check(len(body)), want, "%q in pieces of %d", text, size)
			}
		}
	}
}
