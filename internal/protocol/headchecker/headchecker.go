// Package headchecker finds answers whose head is malformed although http.ReadResponse
// accepts it. Such an answer can't be passed on as the server meant it, so that it counts as
// no answer.
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
	return nil
}
