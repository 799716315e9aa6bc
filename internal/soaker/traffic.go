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
	// callTimeout is how long a caller waits for one answer at most.
	callTimeout = 90 * time.Second
	// maxPatience is the longest wait of a caller that then asks another node.
	maxPatience = 6 * time.Second
	// attemptsPerKey is how often a key is sent at most.
	attemptsPerKey = 5
)

// send draws one action of a caller or operator and lets it go on by itself.
func (sk *Soaker) send(ctx context.Context) {
	wd := sk.world
	wd.watchRevisions()
	name := fmt.Sprintf("r%d-%d", sk.seed, sk.random.Uint32())
	first := sk.random.IntN(1 << 16)
	model := models[sk.random.IntN(len(models))]
	tokens := 1 + sk.random.IntN(maxTokens)
	patience := make([]time.Duration, attemptsPerKey)
	for ix := range patience {
		patience[ix] = sk.draw(maxPatience)
	}
	draw := sk.random.IntN(100)
	sk.work.Go(func() {
		switch {
		case draw < 30:
			wd.stream(ctx, wd.pick(first), name, model, tokens)
		case draw < 50:
			wd.complete(ctx, wd.pick(first), name, model, tokens)
		case draw < 70:
			wd.book(ctx, "orders", name, first, patience)
		case draw < 77:
			wd.book(ctx, "ledger", name, first, patience)
		case draw < 82:
			wd.bookUnkeyed(ctx, name, first)
		case draw < 86:
			wd.look(ctx, first)
		case draw < 94:
			wd.submit(ctx, name, model, first, draw%2 == 0)
		default:
			wd.operate(ctx, first, "one")
			if draw > 96 {
				wd.operate(ctx, first+1, "two")
			}
		}
	})
}

// pick returns one of the nodes that are live now.
func (wd *world) pick(ix int) *node {
	nodes := wd.live()
	return nodes[ix%len(nodes)]
}

// complete asks for an answer as a whole.
func (wd *world) complete(ctx context.Context, nd *node, user, model string, tokens int) bool {
	an := wd.call(ctx, nd, callTimeout, completionCall(user, model, tokens, false))
	if !wd.isAnswer(an, user) {
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
		wd.report.find(checker.CompleteAnswer, "%s got %q", user, an.body)
		return false
	}
	wd.checkText(user, an.id(), wire.Choices[0].Message.Content, tokens)
	return true
}

// stream asks for a streamed answer and tells whether it was whole, or refused
// as not run.
func (wd *world) stream(ctx context.Context, nd *node, user, model string, tokens int) (whole, notRun bool) {
	an := wd.call(ctx, nd, callTimeout, completionCall(user, model, tokens, true))
	if !wd.isAnswer(an, user) {
		return false, an.refusal != nil && an.refusal.Outcome() == refuser.NotRun
	}
	text, done := readStream(an.body)
	if !done {
		wd.report.count("stream.broken-off")
		return false, false
	}
	wd.checkText(user, an.id(), text, tokens)
	return true, false
}

// isAnswer counts an answer and notes a refusal.
func (wd *world) isAnswer(an answer, user string) bool {
	if an.refusal != nil && an.refusal.Outcome() == refuser.NotRun {
		wd.toldNotRun(user)
	}
	return an.err == nil && an.refusal == nil
}

// book sends a booking under one key, to another node each time that there is
// no final answer.
func (wd *world) book(ctx context.Context, service, body string, first int, patience []time.Duration) {
	bk := booking{service: service, body: body, notRun: true}
	rq := request{method: http.MethodPost, path: "/services/" + service + "/book", body: body, key: caller.NewKey()}
	for ix, wait := range patience {
		an := wd.call(ctx, wd.pick(first+ix), wait, rq)
		rq.attempt = ix + 2
		if an.refusal == nil && an.err == nil {
			bk.done = true
			wd.checkBooked(body, an.body)
		}
		bk.notRun = bk.notRun && an.refusal != nil && ix == 0 && an.refusal.Outcome() == refuser.NotRun
		if bk.done || an.refusal != nil && an.refusal.RetryAfter() == 0 {
			break
		}
		if an.refusal != nil {
			time.Sleep(an.refusal.RetryAfter())
		}
	}
	wd.booked(bk)
}

func (wd *world) bookUnkeyed(ctx context.Context, body string, first int) {
	an := wd.call(ctx, wd.pick(first), callTimeout, request{method: http.MethodPost, path: "/services/orders/book", body: body})
	wd.booked(booking{
		service: "orders",
		body:    body,
		done:    an.err == nil && an.refusal == nil,
		notRun:  an.refusal != nil && an.refusal.Outcome() == refuser.NotRun,
	})
}

func (wd *world) checkBooked(body string, text []byte) {
	var wire struct {
		Booked string `json:"booked"`
	}
	_ = json.Unmarshal(text, &wire)
	wd.report.expect(checker.OwnAnswer, wire.Booked == body, "booking %s got %q", body, text)
}

func (wd *world) look(ctx context.Context, first int) {
	an := wd.call(ctx, wd.pick(first), callTimeout, request{method: http.MethodGet, path: "/services/orders/status"})
	if an.err == nil && an.refusal == nil {
		wd.report.expect(checker.CompleteAnswer, string(an.body) == `{"status":"open"}`, "lookup got %q", an.body)
	}
}

// submit hands in a job, under the same key until it is accepted.
func (wd *world) submit(ctx context.Context, name, model string, first int, books bool) {
	order := map[string]any{"path": "/v1/chat/completions", "body": completionFields(name, model, 2, false)}
	if books {
		order = map[string]any{"path": "/services/orders/book", "body": map[string]string{"job": name}}
	}
	body, _ := json.Marshal(map[string]any{"request": order})
	rq := request{method: http.MethodPost, path: "/v1/jobs", body: string(body), key: caller.NewKey()}
	for ix := range attemptsPerKey {
		an := wd.call(ctx, wd.pick(first+ix), callTimeout, rq)
		if an.err == nil && an.refusal == nil {
			wd.jobAccepted(an.field("id"))
			wd.report.count("job.accepted")
			return
		}
		time.Sleep(time.Second)
	}
}
