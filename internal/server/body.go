package server

import (
	"bytes"
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// defaultBodyTimeout is how long a caller may take to send a body.
const defaultBodyTimeout = 30 * time.Second

// readBody reads a whole body up to the limit. A caller that sends it too
// slowly is refused and loses its connection.
func (sv *Server) readBody(ec echo.Context, limit int64) ([]byte, error) {
	if ec.Request().ContentLength > limit {
		return nil, tooLarge(ec, limit)
	}
	within := sv.BodyTimeout
	if within == 0 {
		within = defaultBodyTimeout
	}
	// A writer without deadlines is one of a test or of a job.
	rc := http.NewResponseController(ec.Response())
	_ = rc.SetReadDeadline(time.Now().Add(within))
	body, err := io.ReadAll(io.LimitReader(ec.Request().Body, limit+1))
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		ec.Response().Header().Set(echo.HeaderConnection, "close")
		return nil, refuser.New(refuser.Malformed, "the body did not arrive within %v", within)
	case err != nil:
		return nil, refuser.New(refuser.Malformed, "the body did not arrive whole")
	case int64(len(body)) > limit:
		return nil, tooLarge(ec, limit)
	}
	_ = rc.SetReadDeadline(time.Time{})
	return body, nil
}

// tooLarge ends the connection too, since the rest of the body is not read.
func tooLarge(ec echo.Context, limit int64) error {
	ec.Response().Header().Set(echo.HeaderConnection, "close")
	return refuser.New(refuser.TooLarge, "body exceeds %d bytes", limit)
}

// checkContentType refuses a body that says it is no JSON. The type that curl
// sends by itself says nothing.
func checkContentType(hd http.Header) error {
	text := hd.Get(echo.HeaderContentType)
	if text == "" || text == echo.MIMEApplicationForm {
		return nil
	}
	kind, _, err := mime.ParseMediaType(text)
	if err != nil || kind != echo.MIMEApplicationJSON {
		return refuser.New(refuser.Malformed, "Content-Type: found %.100q; allowed: application/json", text)
	}
	return nil
}

// readKeys are the keys of a completion that the system reads itself.
var readKeys = []string{"model", "stream", "max_tokens", "prompt", "messages"}

// checkKeys refuses an object that has a key twice, or one of readKeys in
// another case, which this node would read and an engine would not. The body is
// passed on as it is, so that an engine could take another model than the one
// whose use was permitted.
func checkKeys(body []byte) error {
	de := json.NewDecoder(bytes.NewReader(body))
	if tk, err := de.Token(); err != nil || tk != json.Delim('{') {
		return refuser.New(refuser.Malformed, "body is not a JSON object")
	}
	seen := map[string]bool{}
	for de.More() {
		tk, err := de.Token()
		key, ok := tk.(string)
		if err != nil || !ok {
			return refuser.New(refuser.Malformed, "body is not a JSON object")
		}
		if seen[key] {
			return refuser.New(refuser.Malformed, "key %.100q stands twice in the body", key)
		}
		seen[key] = true
		if err := checkCase(key); err != nil {
			return err
		}
		var value json.RawMessage
		if err := de.Decode(&value); err != nil {
			return refuser.New(refuser.Malformed, "body is not JSON: %.200v", err)
		}
	}
	return nil
}

func checkCase(key string) error {
	for _, known := range readKeys {
		if key != known && strings.EqualFold(key, known) {
			return refuser.New(refuser.Malformed, "found key %.100q; allowed: %q", key, known)
		}
	}
	return nil
}

// recoverPanic turns a panic into an error, which is answered and logged. The
// panic that cuts a connection off goes on.
func recoverPanic(next echo.HandlerFunc) echo.HandlerFunc {
	return func(ec echo.Context) (err error) {
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			if cause == any(http.ErrAbortHandler) || ec.Response().Committed {
				panic(cause)
			}
			err = errors.Errorf("panic: %v", cause)
		}()
		return next(ec)
	}
}
