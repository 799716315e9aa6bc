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

// defaultBodyTimeout limits the time in which a caller sends a body.
const defaultBodyTimeout = 30 * time.Second

// readBody reads a whole body of at most limit bytes. If the body is too large
// or arrives too slowly, it refuses the request and closes the connection.
func (sv *Server) readBody(ec echo.Context, limit int64) ([]byte, error) {
	if ec.Request().ContentLength > limit {
		return nil, tooLarge(ec, limit)
	}
	timeout := sv.BodyTimeout
	if timeout == 0 {
		timeout = defaultBodyTimeout
	}
	// The writers of tests and jobs support no deadlines; the error is ignored.
	rc := http.NewResponseController(ec.Response())
	_ = rc.SetReadDeadline(time.Now().Add(timeout))
	body, err := io.ReadAll(io.LimitReader(ec.Request().Body, limit+1))
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		ec.Response().Header().Set(echo.HeaderConnection, "close")
		return nil, refuser.New(refuser.Malformed, "the body did not arrive within %v", timeout)
	case err != nil:
		return nil, refuser.New(refuser.Malformed, "the body did not arrive whole")
	case int64(len(body)) > limit:
		return nil, tooLarge(ec, limit)
	}
	_ = rc.SetReadDeadline(time.Time{})
	return body, nil
}

// tooLarge returns a refusal and closes the connection, since the rest of the
// body is not read.
func tooLarge(ec echo.Context, limit int64) error {
	ec.Response().Header().Set(echo.HeaderConnection, "close")
	return refuser.New(refuser.TooLarge, "body exceeds %d bytes", limit)
}

// checkContentType refuses a content type other than JSON. It accepts a missing
// type and the form type, which curl sends by default.
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

// interpretedKeys are the keys of a completions request that this node reads.
var interpretedKeys = []string{"model", "stream", "max_tokens", "prompt", "messages"}

// checkKeys refuses an object with a duplicate key or with one of
// interpretedKeys in another case. This node and an engine could read such a
// body differently; since the body is proxied, the engine could use another
// model than the one permitted.
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
		if err := checkKeyCase(key); err != nil {
			return err
		}
		var value json.RawMessage
		if err := de.Decode(&value); err != nil {
			return refuser.New(refuser.Malformed, "body is not JSON: %.200v", err)
		}
	}
	return nil
}

func checkKeyCase(key string) error {
	for _, known := range interpretedKeys {
		if key != known && strings.EqualFold(key, known) {
			return refuser.New(refuser.Malformed, "found key %.100q; allowed: %q", key, known)
		}
	}
	return nil
}

// recoverPanic turns a panic into an error, which is logged and answered. It
// panics again if the answer has begun or with http.ErrAbortHandler, so that
// the HTTP server closes the connection.
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
