package server

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/lagoonpass/lagoonpass/internal/coordination/jobrunner"
	"github.com/lagoonpass/lagoonpass/internal/coordination/serviceinvoker"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

const (
	// maxJobWait is the maximum duration of a long poll for the end of a job.
	maxJobWait = 60 * time.Second
	// jobPollInterval is the interval at which a long poll reads the job.
	jobPollInterval = time.Second
	// defaultPage and maxPage are the default and maximum number of jobs in one
	// list.
	defaultPage = 50
	maxPage     = 500
	// jobEnvelopeBytes is the maximum size of a job without its request's body.
	jobEnvelopeBytes = 4096
)

func (sv *Server) jobRoutes() {
	sv.echo.POST("/v1/jobs", sv.acceptJob)
	sv.echo.GET("/v1/jobs", sv.listJobs)
	sv.echo.GET("/v1/jobs/:id", sv.showJob)
	sv.echo.DELETE("/v1/jobs/:id", sv.cancelJob)
}

func (sv *Server) acceptJob(ec echo.Context) error {
	sc, err := sv.authorize(ec)
	if err != nil {
		return err
	}
	sv.countCaller(ec, sc)
	if err := checkContentType(ec.Request().Header); err != nil {
		return err
	}
	body, err := sv.readBody(ec, sc.settings.Records().JobBytes()+jobEnvelopeBytes)
	if err != nil {
		return err
	}
	sb, err := parseJob(body)
	if err != nil {
		return err
	}
	if err := checkJobRequest(sc, sb.Request); err != nil {
		return err
	}
	hd := ec.Request().Header
	sb.Caller = sc.caller.Name()
	sb.Key = hd.Get(serviceinvoker.HeaderIdempotencyKey)
	sb.KeyTime = hd.Get(headerKeyTime)
	jb, rf := sv.Jobs.Accept(ec.Request().Context(), sb)
	if rf != nil {
		return rf
	}
	ec.Response().Header().Set(echo.HeaderLocation, "/v1/jobs/"+jb.ID())
	return ec.JSON(http.StatusAccepted, jobFields(jb))
}

func parseJob(body []byte) (jobrunner.Submission, error) {
	var wire struct {
		Request struct {
			Method      string          `json:"method"`
			Path        string          `json:"path"`
			ContentType string          `json:"content-type"`
			Class       string          `json:"class"`
			Body        json.RawMessage `json:"body"`
		} `json:"request"`
		Deadline string `json:"deadline"`
	}
	if err := json.Unmarshal(body, &wire); err != nil {
		return jobrunner.Submission{}, refuser.New(refuser.Malformed, "body is not a job: %.200v", err)
	}
	sb := jobrunner.Submission{Request: jobrunner.Request{
		Method:      wire.Request.Method,
		Path:        wire.Request.Path,
		ContentType: wire.Request.ContentType,
		Class:       wire.Request.Class,
		Body:        wire.Request.Body,
	}}
	if sb.Request.Method == "" {
		sb.Request.Method = http.MethodPost
	}
	if sb.Request.ContentType == "" {
		sb.Request.ContentType = echo.MIMEApplicationJSON
	}
	if wire.Deadline != "" {
		within, err := time.ParseDuration(wire.Deadline)
		if err != nil || within <= 0 {
			return sb, refuser.New(refuser.Malformed, "deadline: found %.100q; allowed: a duration such as 8h", wire.Deadline)
		}
		sb.Within = within
	}
	return sb, nil
}

// showJob answers with the state of a job. With the parameter wait, it answers
// when the job has ended or that time is over.
func (sv *Server) showJob(ec echo.Context) error {
	sc, err := sv.authorize(ec)
	if err != nil {
		return err
	}
	until, err := parseWait(ec.QueryParam("wait"))
	if err != nil {
		return err
	}
	ctx := ec.Request().Context()
	for {
		jb, rf := sv.Jobs.Get(ctx, sc.caller.Name(), ec.Param("id"))
		if rf != nil {
			return rf
		}
		if jb.State().Ended() || !time.Now().Add(jobPollInterval).Before(until) {
			return ec.JSON(http.StatusOK, jobFields(jb))
		}
		select {
		case <-ctx.Done():
			return refuser.New(refuser.Cancelled, "the caller hung up").WithOutcome(refuser.Unknown)
		case <-time.After(jobPollInterval):
		}
	}
}

// parseWait returns the time until which a long poll waits.
func parseWait(text string) (time.Time, error) {
	if text == "" {
		return time.Now(), nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 || wait > maxJobWait {
		return time.Time{}, refuser.New(refuser.Malformed, "wait: found %.100q; allowed: a duration up to %v", text, maxJobWait)
	}
	return time.Now().Add(wait), nil
}

func (sv *Server) listJobs(ec echo.Context) error {
	sc, err := sv.authorize(ec)
	if err != nil {
		return err
	}
	limit := defaultPage
	if tx := ec.QueryParam("limit"); tx != "" {
		limit, err = strconv.Atoi(tx)
		if err != nil || limit < 1 || limit > maxPage {
			return refuser.New(refuser.Malformed, "limit: found %.100q; allowed: a number from 1 to %d", tx, maxPage)
		}
	}
	page, next, rf := sv.Jobs.List(ec.Request().Context(), sc.caller.Name(), ec.QueryParam("after"), limit)
	if rf != nil {
		return rf
	}
	jobs := []map[string]any{}
	for _, jb := range page {
		fields := jobFields(jb)
		delete(fields, "result")
		jobs = append(jobs, fields)
	}
	return ec.JSON(http.StatusOK, map[string]any{"jobs": jobs, "next": next})
}

func (sv *Server) cancelJob(ec echo.Context) error {
	sc, err := sv.authorize(ec)
	if err != nil {
		return err
	}
	jb, rf := sv.Jobs.Cancel(ec.Request().Context(), sc.caller.Name(), ec.Param("id"))
	if rf != nil {
		return rf
	}
	return ec.JSON(http.StatusOK, jobFields(jb))
}

// jobFields returns a job as the fields of its JSON.
func jobFields(jb *jobrunner.Job) map[string]any {
	fields := map[string]any{
		"id":       jb.ID(),
		"state":    jb.State().String(),
		"path":     jb.Request().Path,
		"created":  jb.Created().UTC().Format(time.RFC3339),
		"attempts": jb.Claims(),
	}
	if jb.State() == jobrunner.Done {
		rs := jb.Result()
		fields["result"] = map[string]any{"status": rs.Status, "content-type": rs.ContentType, "body": bodyField(rs.Body)}
	}
	if rf := jb.Refusal(); rf != nil {
		fields["refusal"] = json.RawMessage(refuser.Encode(rf))
	}
	return fields
}

// bodyField returns JSON unchanged and anything else as a string.
func bodyField(body []byte) any {
	if json.Valid(body) {
		return json.RawMessage(body)
	}
	return string(body)
}
