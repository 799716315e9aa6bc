package server

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/dispatcher"
	"github.com/lagoonpass/lagoonpass/internal/coordination/jobrunner"
	"github.com/lagoonpass/lagoonpass/internal/coordination/publisher"
	"github.com/lagoonpass/lagoonpass/internal/coordination/serviceinvoker"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// servicesPrefix starts the paths of calls to plain services.
const servicesPrefix = "/services/"

// Executor runs the requests of jobs, with the permissions that their callers
// have when the job runs.
type Executor struct {
	holder     *publisher.Holder
	dispatcher *dispatcher.Dispatcher
	invoker    *serviceinvoker.Invoker
}

// NewExecutor returns an executor that uses the same components as a Server.
func NewExecutor(hd *publisher.Holder, ds *dispatcher.Dispatcher, iv *serviceinvoker.Invoker) *Executor {
	return &Executor{holder: hd, dispatcher: ds, invoker: iv}
}

// Repeatable implements jobrunner.Executor.
func (ex *Executor) Repeatable(rq jobrunner.Request) bool {
	name, path, ok := splitService(rq.Path)
	if !ok {
		return true
	}
	rv := ex.holder.Current()
	if rv == nil {
		return false
	}
	svc, ok := rv.Settings().Service(name)
	return ok && serviceinvoker.Repeatable(svc, rq.Method, path)
}

// Execute implements jobrunner.Executor. It refuses a job as removed if the
// caller no longer exists or may no longer make the request.
func (ex *Executor) Execute(ctx context.Context, jb *jobrunner.Job) (jobrunner.Result, *refuser.Refusal) {
	rv := ex.holder.Current()
	if rv == nil {
		return jobrunner.Result{}, refuser.New(refuser.NotConfigured, "no configuration is in force yet").WithRetryAfter(time.Second)
	}
	cr, ok := rv.Settings().Caller(jb.Caller())
	if !ok {
		return jobrunner.Result{}, refuser.New(refuser.Removed, "caller %.100q was removed", jb.Caller())
	}
	sc := &scope{settings: rv.Settings(), caller: cr}
	if err := checkJobRequest(sc, jb.Request()); err != nil {
		return jobrunner.Result{}, refuser.New(refuser.Removed, "the job may no longer be run: %v", err)
	}
	if name, path, ok := splitService(jb.Request().Path); ok {
		return ex.call(ctx, sc, jb, name, path)
	}
	return ex.complete(ctx, sc, jb)
}

// splitService splits a path into the service's name and the path within the
// service. It reports false if the path is not that of a service call.
func splitService(full string) (name, path string, ok bool) {
	rest, ok := strings.CutPrefix(full, servicesPrefix)
	if !ok {
		return "", "", false
	}
	name, path, _ = strings.Cut(rest, "/")
	return name, "/" + path, true
}

// checkJobRequest returns an error if the caller may not run the request as a
// job.
func checkJobRequest(sc *scope, rq jobrunner.Request) error {
	if name, _, ok := splitService(rq.Path); ok {
		_, err := findService(sc, name)
		return err
	}
	if rq.Path != "/v1/chat/completions" && rq.Path != "/v1/completions" {
		return refuser.New(refuser.Malformed, "path: found %.100q; allowed: a path of completions or of a plain service", rq.Path)
	}
	parsed, err := parseCompletion(sc, classHeader(rq), rq.Body)
	if err != nil {
		return err
	}
	if parsed.Stream {
		return refuser.New(refuser.Malformed, "a job's answer is not a stream")
	}
	return nil
}

func classHeader(rq jobrunner.Request) http.Header {
	hd := http.Header{}
	if rq.Class != "" {
		hd.Set(headerClass, rq.Class)
	}
	return hd
}

func (ex *Executor) call(ctx context.Context, sc *scope, jb *jobrunner.Job, name, path string) (jobrunner.Result, *refuser.Refusal) {
	svc, err := findService(sc, name)
	if err != nil {
		return jobrunner.Result{}, asRefusal(err)
	}
	key := jb.RunKey()
	if svc.HonoursKey() {
		key = jb.Key()
	}
	ctx, cancel := context.WithTimeout(ctx, svc.Timeout()+recordTimeout)
	defer cancel()
	rq := jb.Request()
	an, rf := ex.invoker.Invoke(ctx, sc.settings, serviceinvoker.Call{
		Caller:      sc.caller.Name(),
		Service:     svc,
		Method:      rq.Method,
		Path:        path,
		ContentType: rq.ContentType,
		Body:        rq.Body,
		Key:         key,
	})
	if rf != nil {
		return jobrunner.Result{}, rf
	}
	return jobrunner.Result{Status: an.Status, ContentType: an.ContentType, Body: an.Body}, nil
}

func (ex *Executor) complete(ctx context.Context, sc *scope, jb *jobrunner.Job) (jobrunner.Result, *refuser.Refusal) {
	rq, err := parseCompletion(sc, classHeader(jb.Request()), jb.Request().Body)
	if err != nil {
		return jobrunner.Result{}, asRefusal(err)
	}
	rq.Path = jb.Request().Path
	wr := &answerBuffer{header: http.Header{}, status: http.StatusOK}
	if rf := ex.dispatcher.Dispatch(ctx, sc.settings, rq, wr); rf != nil {
		return jobrunner.Result{}, rf
	}
	if wr.status >= http.StatusInternalServerError || wr.status == http.StatusOK && !json.Valid(wr.body.Bytes()) {
		return jobrunner.Result{}, refuser.New(refuser.BackendFailed, "no whole answer, status %d", wr.status).WithOutcome(refuser.Unknown)
	}
	return jobrunner.Result{Status: wr.status, ContentType: wr.header.Get("Content-Type"), Body: wr.body.Bytes()}, nil
}

// answerBuffer is an http.ResponseWriter that buffers the answer.
type answerBuffer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (ab *answerBuffer) Header() http.Header { return ab.header }

// WriteHeader implements http.ResponseWriter.
func (ab *answerBuffer) WriteHeader(status int) { ab.status = status }

// Write implements http.ResponseWriter.
func (ab *answerBuffer) Write(part []byte) (int, error) { return ab.body.Write(part) }

// Flush implements http.Flusher. It does nothing.
func (*answerBuffer) Flush() {}
