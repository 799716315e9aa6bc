package orderer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/state/accountant"
	"github.com/lagoonpass/lagoonpass/internal/transport/forwarder"
)

// The actions of orders that are not recorded.
const (
	// ActionInspect asks an engine for its boot id and for what it holds.
	ActionInspect = "inspect"
	// ActionLoadAdapter loads an adapter.
	ActionLoadAdapter = "load-adapter"
	// ActionUnloadAdapter unloads an adapter.
	ActionUnloadAdapter = "unload-adapter"
)

// maxAnswerBytes bounds an engine's answer to an order.
const maxAnswerBytes = 1 << 20

// The codes with which an engine refuses an order.
const (
	CodeStaleFence = "stale-fence"
	CodeStaleBoot  = "stale-boot"
)

// Order is one order to an engine.
type Order struct {
	// ID is unique to the sending.
	ID string
	// Server is the name of the engine's server.
	Server string
	// Fence is the fencing number.
	Fence int64
	// Boot is the boot id of the engine that the order is meant for.
	Boot string
	// Action is what to do.
	Action string
	// Model is the model concerned.
	Model string
	// Version is the version of the model.
	Version string
	// Adapter is the adapter concerned.
	Adapter string
	// Role is the role to take.
	Role string
	// Memory is the bytes that the order takes.
	Memory int64
	// Basis is that of the answer by which the sender decided.
	Basis int64
}

// Answer is what an engine says after it carried out an order.
type Answer struct {
	// Boot is the engine's boot id.
	Boot string
	// Residents is the copies of models in memory.
	Residents []accountant.Resident
	// Adapters is the bytes of each adapter in memory.
	Adapters map[string]int64
	// Basis changes when the engine did something that its orders do not
	// explain. An order on an older basis is refused.
	Basis int64
}

// Outcome says what is known of an order without a good answer.
type Outcome string

// The outcomes.
const (
	// NotSent means that the engine never receives the order.
	NotSent Outcome = "not-sent"
	// Refused means that the engine refused the order.
	Refused Outcome = "refused"
	// Unknown means that the order may have arrived or may yet.
	Unknown Outcome = "unknown"
)

// OrderError is an order that was not answered as done.
type OrderError struct {
	// Outcome is what is known.
	Outcome Outcome
	// Code is the engine's code if it refused.
	Code string
	// Cause is the error from below, or nil.
	Cause error
}

// Error implements error.
func (er *OrderError) Error() string {
	return fmt.Sprintf("order %s %s: %v", er.Outcome, er.Code, er.Cause)
}

// Unwrap returns the cause.
func (er *OrderError) Unwrap() error { return er.Cause }

// Engines sends orders to engines.
type Engines interface {
	// Send sends the order once. Its error is an *OrderError.
	Send(ctx context.Context, address string, od Order) (Answer, error)
}

// Sender is the part of a forwarder that orders need.
type Sender interface {
	// Send sends one request once; its error is a *forwarder.Error.
	Send(ctx context.Context, rq forwarder.Request) (*http.Response, error)
}

// HTTPEngines sends orders over HTTP.
type HTTPEngines struct{ sender Sender }

// NewHTTPEngines returns engines that are reached through the sender.
func NewHTTPEngines(sd Sender) *HTTPEngines { return &HTTPEngines{sd} }

// Send implements Engines.
func (he *HTTPEngines) Send(ctx context.Context, address string, od Order) (Answer, error) {
	body, err := encodeOrder(od)
	if err != nil {
		return Answer{}, &OrderError{Outcome: NotSent, Cause: err}
	}
	hd := http.Header{}
	hd.Set("Content-Type", "application/json")
	rs, err := he.sender.Send(ctx, forwarder.Request{
		Address: address,
		Method:  http.MethodPost,
		Path:    "/control/orders",
		Header:  hd,
		Body:    body,
	})
	if err != nil {
		return Answer{}, &OrderError{Outcome: outcomeOf(err), Cause: err}
	}
	defer func() { _ = rs.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(rs.Body, maxAnswerBytes))
	if err != nil {
		return Answer{}, &OrderError{Outcome: Unknown, Cause: err}
	}
	if rs.StatusCode != http.StatusOK {
		return Answer{}, refusedBy(rs.StatusCode, text)
	}
	return decodeAnswer(text)
}

func outcomeOf(err error) Outcome {
	if forwarder.NotSent(err) {
		return NotSent
	}
	return Unknown
}

// refusedBy trusts a refusal only if it carries a code of an engine; other
// errors may come from something in between.
func refusedBy(status int, text []byte) *OrderError {
	var body struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	cause := errors.Errorf("status %d", status)
	isRefusal := status == http.StatusConflict || status == http.StatusBadRequest
	if err := json.Unmarshal(text, &body); err != nil || !isRefusal || body.Error.Code == "" {
		return &OrderError{Outcome: Unknown, Cause: cause}
	}
	return &OrderError{Outcome: Refused, Code: body.Error.Code, Cause: cause}
}

func encodeOrder(od Order) ([]byte, error) {
	var buf bytes.Buffer
	err := json.NewEncoder(&buf).Encode(map[string]any{
		"id":      od.ID,
		"fence":   od.Fence,
		"boot":    od.Boot,
		"action":  od.Action,
		"model":   od.Model,
		"version": od.Version,
		"adapter": od.Adapter,
		"role":    od.Role,
		"memory":  od.Memory,
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode order")
	}
	return buf.Bytes(), nil
}

// wireAnswer is the engine's published JSON.
type wireAnswer struct {
	Done   bool   `json:"done"`
	Boot   string `json:"boot-id"`
	Models []struct {
		Model   string `json:"model"`
		Version string `json:"version"`
		Memory  int64  `json:"memory"`
		Ready   bool   `json:"ready"`
	} `json:"models"`
	Adapters []struct {
		Adapter string `json:"adapter"`
		Memory  int64  `json:"memory"`
	} `json:"adapters"`
}

func decodeAnswer(text []byte) (Answer, error) {
	var wa wireAnswer
	if err := json.Unmarshal(text, &wa); err != nil || !wa.Done || wa.Boot == "" {
		return Answer{}, &OrderError{Outcome: Unknown, Cause: errors.Errorf("the answer is not one of an engine: %v", err)}
	}
	as := Answer{Boot: wa.Boot, Adapters: map[string]int64{}}
	for _, md := range wa.Models {
		cp := accountant.NewCopy(md.Model, md.Version)
		as.Residents = append(as.Residents, accountant.NewResident(cp, md.Memory, md.Ready))
	}
	for _, ad := range wa.Adapters {
		as.Adapters[ad.Adapter] = ad.Memory
	}
	return as, nil
}
