package server

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"

	"github.com/apex/log"
	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

const bearerPrefix = "Bearer "

// fingerprintDigits is the number of hexadecimal digits of a key's hash in logs.
const fingerprintDigits = 8

// authenticate returns the API key in an Authorization header and the caller to whom it
// belongs.
func authenticate(st *configurer.Settings, header string) (string, *configurer.Caller, error) {
	key, found := strings.CutPrefix(header, bearerPrefix)
	if !found {
		return "", nil, refuser.New(refuser.NoCredentials, "an Authorization header with a bearer key is wanted")
	}
	cr, ok := st.CallerByKey(key)
	if !ok {
		return key, nil, refuser.New(refuser.BadCredentials, "the API key belongs to no caller")
	}
	return key, cr, nil
}

// refuseKey logs a refused key and returns the refusal: err, or that the revision in
// force is behind if the node or the caller knows of a newer one, which may have the key.
func (sv *Server) refuseKey(ec echo.Context, inForce int64, key string, err error) error {
	latest := inForce
	if sv.LatestKnown != nil {
		latest = sv.LatestKnown()
	}
	if seen, failed := strconv.ParseInt(ec.Request().Header.Get(headerRevision), 10, 64); failed == nil {
		latest = max(latest, seen)
	}
	if latest > inForce {
		ec.Response().Header().Set(headerRevision, strconv.FormatInt(inForce, 10))
		err = refuser.New(refuser.RevisionBehind, "no caller has the key by revision %d in force here; there is %d", inForce, latest).
			WithRetryAfter(behindRetryAfter)
	}
	fingerprint := ""
	if key != "" {
		sum := sha256.Sum256([]byte(key))
		fingerprint = hex.EncodeToString(sum[:])[:fingerprintDigits]
	}
	log.WithFields(log.Fields{
		"request": boundedID(ec.Request().Header), "reason": string(asRefusal(err).Reason()),
		"key": fingerprint, "version": inForce, "latest": latest,
	}).Info("request refused")
	return err
}

// boundedID returns the id that the caller gave its request, or as much of it as an id
// may have.
func boundedID(hd http.Header) string {
	id := hd.Get(headerRequestID)
	return id[:min(len(id), maxRequestIDBytes)]
}

// asRefusal returns the refusal that an error wraps, or else not-found for an
// unknown route and internal for any other error.
func asRefusal(err error) *refuser.Refusal {
	var rf *refuser.Refusal
	if errors.As(err, &rf) {
		return rf
	}
	var he *echo.HTTPError
	if errors.As(err, &he) && (he.Code == http.StatusNotFound || he.Code == http.StatusMethodNotAllowed) {
		return refuser.New(refuser.NotFound, "no such path or method")
	}
	// The cause is logged and not sent to the caller.
	return refuser.New(refuser.Internal, "the node failed to handle the request").WithOutcome(refuser.Unknown)
}
