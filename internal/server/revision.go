package server

import (
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// headerRevision carries the highest configuration revision that a caller has
// seen and, in answers, the revision in force at the node.
const headerRevision = "Lagoonpass-Revision"

// behindRetryAfter is when a caller may retry at a node that refused it because
// its revision lags.
const behindRetryAfter = time.Second

// checkRevision refuses a request whose caller has seen a newer revision than
// the one in force. It sets the answer's header to the revision in force.
func checkRevision(ec echo.Context, inForce int64) error {
	ec.Response().Header().Set(headerRevision, strconv.FormatInt(inForce, 10))
	text := ec.Request().Header.Get(headerRevision)
	if text == "" {
		return nil
	}
	seen, err := strconv.ParseInt(text, 10, 64)
	if err != nil || seen < 0 {
		return refuser.New(refuser.Malformed, "%s: found %.100q; allowed: a revision number", headerRevision, text)
	}
	if seen > inForce {
		return refuser.New(refuser.RevisionBehind, "revision %d is in force here, not yet %d", inForce, seen).
			WithRetryAfter(behindRetryAfter)
	}
	return nil
}
