package server

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/lagoonpass/lagoonpass/internal/coordination/dispatcher"
	"github.com/lagoonpass/lagoonpass/internal/protocol/prefixer"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// Headers of requests of callers and of the answers to them.
const (
	headerClass    = "Lagoonpass-Class"
	headerDeadline = "Lagoonpass-Deadline"
	// headerRequestID carries the request's id in every answer, and the id of
	// an interrupted stream in the request that continues it.
	headerRequestID = "Lagoonpass-Request-Id"
	// headerRetries with the value retriesNone forbids retries of the request.
	headerRetries = "Lagoonpass-Retries"
	retriesNone   = "none"
	// requestIDAlphabet are the characters of a request id.
	requestIDAlphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZ234567"
)

const (
	// defaultMaxTokens applies to a request without a positive max_tokens.
	defaultMaxTokens = 256
	// maxRequestIDBytes is the maximum length of an id that a caller sends.
	maxRequestIDBytes = 64
)

func (sv *Server) complete(ec echo.Context) error {
	sc, err := sv.authorize(ec)
	if err != nil {
		return err
	}
	sv.countCaller(ec, sc)
	if err := checkContentType(ec.Request().Header); err != nil {
		return err
	}
	body, err := sv.readBody(ec, sc.settings.Limits().BodyBytes())
	if err != nil {
		return err
	}
	rq, err := parseCompletion(sc, ec.Request().Header, body)
	if err != nil {
		return err
	}
	rq.Path = ec.Request().URL.Path
	ec.Response().Header().Set(headerRequestID, rq.ID)
	rf := sv.Dispatcher.Dispatch(ec.Request().Context(), sc.settings, rq, ec.Response())
	if rf == nil {
		return nil
	}
	if ec.Response().Committed {
		sv.countRefusal(rf)
		// Abort the connection so that the caller can't take a partial answer
		// for a complete one.
		panic(http.ErrAbortHandler)
	}
	return rf
}

func parseCompletion(sc *scope, hd http.Header, body []byte) (*dispatcher.Request, error) {
	var wire struct {
		Model     string             `json:"model"`
		Stream    bool               `json:"stream"`
		MaxTokens int                `json:"max_tokens"`
		Prompt    json.RawMessage    `json:"prompt"`
		Messages  []prefixer.Message `json:"messages"`
	}
	if err := checkKeys(body); err != nil {
		return nil, err
	}
	if err := json.Unmarshal(body, &wire); err != nil {
		return nil, refuser.New(refuser.Malformed, "body is not a completions request: %.200v", err)
	}
	rq := &dispatcher.Request{
		ID:        newRequestID(),
		Caller:    sc.caller,
		Body:      body,
		Prompt:    prefixer.Prompt(wire.Prompt, wire.Messages),
		Stream:    wire.Stream,
		MaxTokens: wire.MaxTokens,
		Once:      hd.Get(headerRetries) == retriesNone,
	}
	if rq.MaxTokens <= 0 {
		rq.MaxTokens = defaultMaxTokens
	}
	if err := findResumption(rq, hd); err != nil {
		return nil, err
	}
	if err := findModel(sc, rq, wire.Model); err != nil {
		return nil, err
	}
	return rq, findClass(sc, rq, hd)
}

// findResumption reads which interrupted stream the request continues, and the
// token from which it continues.
func findResumption(rq *dispatcher.Request, hd http.Header) error {
	tx := hd.Get(dispatcher.HeaderResumeFrom)
	if tx == "" {
		return nil
	}
	from, err := strconv.Atoi(tx)
	if err != nil || from < 0 || from > rq.MaxTokens {
		return refuser.New(refuser.Malformed, "%s: found %.100q; allowed: a number of tokens up to max_tokens", dispatcher.HeaderResumeFrom, tx)
	}
	id := hd.Get(headerRequestID)
	if !validRequestID(id) {
		return refuser.New(refuser.Malformed, "%s: found %.100q; allowed: the id that the broken answer carried", headerRequestID, id)
	}
	if !rq.Stream {
		return refuser.New(refuser.Malformed, "%s: allowed only with \"stream\": true", dispatcher.HeaderResumeFrom)
	}
	rq.ID, rq.ResumeFrom = id, from
	rq.ResumeFingerprint = hd.Get(dispatcher.HeaderResumeFingerprint)
	return nil
}

func validRequestID(id string) bool {
	for _, ch := range id {
		if !strings.ContainsRune(requestIDAlphabet, ch) {
			return false
		}
	}
	return id != "" && len(id) <= maxRequestIDBytes
}

// findModel sets the model, and the adapter if the name is that of an adapter.
func findModel(sc *scope, rq *dispatcher.Request, name string) error {
	if ad, ok := sc.settings.Adapter(name); ok {
		if !configurer.Permitted(sc.caller.Adapters(), name) {
			return refuser.New(refuser.Forbidden, "caller %.100q may not use adapter %.100q", sc.caller.Name(), name)
		}
		rq.Adapter = ad
		name = ad.Model()
	}
	md, ok := sc.settings.Model(name)
	if !ok {
		return refuser.New(refuser.UnknownModel, "no model or adapter %.100q", name)
	}
	if !configurer.Permitted(sc.caller.Models(), name) {
		return refuser.New(refuser.Forbidden, "caller %.100q may not use model %.100q", sc.caller.Name(), name)
	}
	rq.Model = md
	return nil
}

func findClass(sc *scope, rq *dispatcher.Request, hd http.Header) error {
	cs, err := chooseClass(sc, hd.Get(headerClass))
	if err != nil {
		return err
	}
	cs = sc.settings.ClassOf(sc.caller, cs)
	rq.Class = cs
	within := cs.Deadline()
	if tx := hd.Get(headerDeadline); tx != "" {
		within, err = time.ParseDuration(tx)
		if err != nil || within <= 0 {
			return refuser.New(refuser.Malformed, "%s: found %.100q; allowed: a duration such as 1500ms", headerDeadline, tx)
		}
	}
	rq.Deadline = time.Now().Add(within)
	return nil
}

func chooseClass(sc *scope, name string) (*configurer.Class, error) {
	if name == "" {
		name = sc.caller.DefaultClass()
	}
	if name == "" {
		return leastUrgent(sc.settings)
	}
	cs, ok := sc.settings.Class(name)
	if !ok {
		return nil, refuser.New(refuser.UnknownClass, "no priority class %.100q", name)
	}
	if !configurer.Permitted(sc.caller.Classes(), name) {
		return nil, refuser.New(refuser.Forbidden, "caller %.100q may not use class %.100q", sc.caller.Name(), name)
	}
	return cs, nil
}

func leastUrgent(st *configurer.Settings) (*configurer.Class, error) {
	var last *configurer.Class
	for _, cs := range st.Classes() {
		if last == nil || cs.Rank() > last.Rank() {
			last = cs
		}
	}
	if last == nil {
		return nil, refuser.New(refuser.NotConfigured, "no priority class is configured")
	}
	return last, nil
}

func (sv *Server) listModels(ec echo.Context) error {
	sc, err := sv.authorize(ec)
	if err != nil {
		return err
	}
	data := []map[string]string{}
	for _, md := range sc.settings.Models() {
		if configurer.Permitted(sc.caller.Models(), md.Name()) {
			data = append(data, map[string]string{"id": md.Name(), "object": "model", "owned_by": "lagoonpass"})
		}
	}
	for _, ad := range sc.settings.Adapters() {
		if configurer.Permitted(sc.caller.Adapters(), ad.Name()) && configurer.Permitted(sc.caller.Models(), ad.Model()) {
			data = append(data, map[string]string{"id": ad.Name(), "object": "model", "owned_by": "lagoonpass", "parent": ad.Model()})
		}
	}
	return ec.JSON(http.StatusOK, map[string]any{"object": "list", "data": data})
}
