// Package headchecker finds answers whose head is malformed although http.ReadResponse
// accepts it. Such an answer can't be passed on as the server meant it, so that it counts as
// no answer.
//
// ReadResponse takes a blank in the name of a field for a part of the name, so that a length
// or the coding of the body goes unnoticed. It appends a line that begins with a blank to the
// value of the field before, and only the bytes of the head show that: a Scanner sees them.
//
// # Usage
//
//	rs, err := http.ReadResponse(reader, request)
//	if err == nil {
//		err = headchecker.Check(rs)
//	}
package headchecker

import (
	"net/http"
	"strings"

	"github.com/go-faster/errors"
)

// The least and the greatest status of HTTP.
const (
	minStatus = 100
	maxStatus = 599
)

// ErrMalformed means that the head of an answer is malformed.
var ErrMalformed = errors.New("malformed head of an answer")

// Check returns an ErrMalformed if the head of the answer is malformed.
func Check(rs *http.Response) error {
	if rs.StatusCode < minStatus || rs.StatusCode > maxStatus {
		return errors.Wrapf(ErrMalformed, "status %d", rs.StatusCode)
	}
	for name := range rs.Header {
		if strings.ContainsRune(name, ' ') {
			return errors.Wrapf(ErrMalformed, "blank in the name of field %q", name)
		}
	}
	return nil
}

// Scanner finds a line that begins with a blank in the bytes that a head is read from. The
// zero value is ready for a head.
type Scanner struct {
	size   int  // number of bytes scanned
	last   byte // the last of them
	found  bool // a line begins with a blank
	offset int  // of the first such blank
}

// Scan scans the next bytes. They may go beyond the end of the head.
func (sc *Scanner) Scan(data []byte) {
	for ix, by := range data {
		if sc.found {
			break
		}
		if sc.last == '\n' && (by == ' ' || by == '\t') {
			sc.found, sc.offset = true, sc.size+ix
		}
		sc.last = by
	}
	sc.size += len(data)
}

// Check returns an ErrMalformed if the head has a line that begins with a blank. after is the
// number of scanned bytes that come after the head.
func (sc *Scanner) Check(after int) error {
	if sc.found && sc.offset < sc.size-after {
		return errors.Wrap(ErrMalformed, "blank at the start of a line")
	}
	return nil
}
