package soaker

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/pkg/caller"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

const (
	// callTimeout is the maximum wait for one answer.
	callTimeout = 90 * time.Second
	// maxKeyedTimeout is the maximum wait for an answer to a request with a key,
	// after which the caller sends it to another node.
	maxKeyedTimeout = 6 * time.Second
	// attemptLimit is the maximum number of attempts with one key.
	attemptLimit = 5
)

// sendTraffic draws one action of a caller or operator and runs it in a
// goroutine.
func (sk *Soaker) sendTraffic(ctx context.Context) {
	cl := sk.cluster
	cl.checkNodeRevisions()
	name := fmt.Sprintf("r%d-%d", sk.seed, sk.random.Uint32())
	number := sk.random.IntN(1 << 16)
	model := models[sk.random.IntN(len(models))]
	tokens := 1 + sk.random.IntN(maxTokens)
	timeouts := make([]time.Duration, attemptLimit)
	for ix := range timeouts {
		timeouts[ix] = sk.draw(maxKeyedTimeout)
	}
	draw := sk.random.IntN(100)
	sk.work.Go(func() {
		switch {
		case draw < 30:
			cl.stream(ctx, cl.pickNode(number), name, model, tokens)
		case draw < 50:
			cl.complete(ctx, cl.pickNode(number), name, model, tokens)
		case draw < 70:
			cl.book(ctx, "orders", name, number, timeouts)
		case draw < 77:
			cl.book(ctx, "ledger", name, number, timeouts)
		case draw < 82:
			cl.bookUnkeyed(ctx, name, number)
		case draw < 86:
			cl.lookUpStatus(ctx, number)
		case draw < 94:
			cl.submitJob(ctx, name, model, number, draw%2 == 0)
		default:
			cl.applySettings(ctx, number, "one")
			if draw > 96 {
				cl.applySettings(ctx, number+1, "two")
			}
		}
	})
}

// pickNode returns one of the live nodes.
func (cl *cluster) pickNode(ix int) *node {
	nodes := cl.liveNodes()
	return nodes[ix%len(nodes)]
}

// complete requests an answer that is not streamed, and checks it.
func (cl *cluster) complete(ctx context.Context, nd *node, user, model string, tokens int) bool {
	an := cl.call(ctx, nd, callTimeout, newCompletion(user, model, tokens, false))
	if !cl.isAnswer(an, user) {
		return false
	}
	var wire struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
			FinishReason string `json:"finish_reason"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(an.body, &wire); err != nil || len(wire.Choices) != 1 {
		cl.report.addFinding(checker.CompleteAnswer, "%s got %q", user, an.body)
		return false
	}
	cl.checkCompletion(user, an.id(), wire.Choices[0].Message.Content, tokens)
	return true
}

// stream requests a streamed answer and reports whether it was complete or
// refused as not run.
func (cl *cluster) stream(ctx context.Context, nd *node, user, model string, tokens int) (whole, notRun bool) {
	an := cl.call(ctx, nd, callTimeout, newCompletion(user, model, tokens, true))
	if !cl.isAnswer(an, user) {
		return false, an.refusal != nil && an.refusal.Outcome() == refuser.NotRun
	}
	text, versions, done := readStream(an.body)
	cl.report.expect(OneVersion, len(versions) <= 1, "%s (%s) has tokens of versions %v", user, an.id(), versions)
	if !done {
		cl.report.count("stream.broken-off")
		return false, false
	}
	cl.checkCompletion(user, an.id(), text, tokens)
	return true, false
}

// isAnswer reports whether the result is an answer, and records a refusal as
// not run.
func (cl *cluster) isAnswer(an answer, user string) bool {
	if an.refusal != nil && an.refusal.Outcome() == refuser.NotRun {
		cl.recordNotRun(user)
	}
	return an.err == nil && an.refusal == nil
}

// book sends a booking with one key. It repeats the request at other nodes until
// it gets a final answer or reaches the attempt limit.
func (cl *cluster) book(ctx context.Context, service, body string, firstNode int, timeouts []time.Duration) {
	bk := booking{service: service, body: body, notRun: true}
	rq := request{method: http.MethodPost, path: "/services/" + service + "/book", body: body, key: caller.NewKey()}
	for ix, timeout := range timeouts {
		an := cl.call(ctx, cl.pickNode(firstNode+ix), timeout, rq)
		rq.attempt = ix + 2
		if an.refusal == nil && an.err == nil {
			bk.done = true
			cl.checkBooked(body, an.body)
		}
		bk.notRun = bk.notRun && an.refusal != nil && ix == 0 && an.refusal.Outcome() == refuser.NotRun
		if bk.done || an.refusal != nil && an.refusal.RetryAfter() == 0 {
			break
		}
		if an.refusal != nil {
			time.Sleep(an.refusal.RetryAfter())
		}
	}
	cl.recordBooking(bk)
}

func (cl *cluster) bookUnkeyed(ctx context.Context, body string, firstNode int) {
	an := cl.call(ctx, cl.pickNode(firstNode), callTimeout, request{method: http.MethodPost, path: "/services/orders/book", body: body})
	cl.recordBooking(booking{
		service: "orders",
		body:    body,
		done:    an.err == nil && an.refusal == nil,
		notRun:  an.refusal != nil && an.refusal.Outcome() == refuser.NotRun,
	})
}

func (cl *cluster) checkBooked(body string, text []byte) {
	var wire struct {
		Booked string `json:"booked"`
	}
	_ = json.Unmarshal(text, &wire)
	cl.report.expect(checker.OwnAnswer, wire.Booked == body, "booking %s got %q", body, text)
}

func (cl *cluster) lookUpStatus(ctx context.Context, firstNode int) {
	an := cl.call(ctx, cl.pickNode(firstNode), callTimeout, request{method: http.MethodGet, path: "/services/orders/status"})
	if an.err == nil && an.refusal == nil {
		cl.report.expect(checker.CompleteAnswer, string(an.body) == `{"status":"open"}`, "lookup got %q", an.body)
	}
}

// submitJob submits a job with one key until it is accepted or the attempt limit
// is reached. isBooking selects a booking instead of a completion.
func (cl *cluster) submitJob(ctx context.Context, name, model string, firstNode int, isBooking bool) {
	jobRequest := map[string]any{"path": "/v1/chat/completions", "body": completionFields(name, model, 2, false)}
	if isBooking {
		jobRequest = map[string]any{"path": "/services/orders/book", "body": map[string]string{"job": name}}
	}
	body, _ := json.Marshal(map[string]any{"request": jobRequest})
	rq := request{method: http.MethodPost, path: "/v1/jobs", body: string(body), key: caller.NewKey()}
	for ix := range attemptLimit {
		an := cl.call(ctx, cl.pickNode(firstNode+ix), callTimeout, rq)
		if an.err == nil && an.refusal == nil {
			cl.recordJob(an.field("id"))
			cl.report.count("job.accepted")
			return
		}
		time.Sleep(time.Second)
	}
}
