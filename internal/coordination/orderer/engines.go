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
	// ActionInspect requests an engine's boot id and what it holds.
	ActionInspect = "inspect"
	// ActionLoadAdapter loads an adapter.
	ActionLoadAdapter = "load-adapter"
	// ActionUnloadAdapter unloads an adapter.
	ActionUnloadAdapter = "unload-adapter"
)

// maxAnswerBytes bounds how much of an engine's answer is read.
const maxAnswerBytes = 1 << 20

// The codes with which an engine refuses an order.
const (
	CodeStaleFence = "stale-fence"
	CodeStaleBoot  = "stale-boot"
)

// Order is an order to an engine.
type Order struct {
	// ID identifies one attempt.
	ID string
	// Server is the name of the engine's server.
	Server string
	// Fence is the fencing number.
	Fence int64
	// Boot is the boot id of the engine for which the order is meant. An engine
	// that restarted since then refuses the order. Empty means any boot.
	Boot string
	// Action is an action of the accountant or one of the Action constants.
	Action string
	// Model is the model to load or unload, or empty.
	Model string
	// Version is the version of the model.
	Version string
	// Adapter is the adapter to load or unload, or empty.
	Adapter string
	// Role is the role to change to, or empty.
	Role string
	// Memory is the memory that the order takes, in bytes.
	Memory int64
	// StateVersion is that of the answer on which the sender decided.
	StateVersion int64
	// valid reports whether the order may still be sent; nil means that it may.
	valid func() bool
}

// Valid reports whether the order may still be sent. An EngineClient asks just before
// it sends the first byte: opening a connection takes time, and the process may have
// been frozen meanwhile, while another one took over.
func (od Order) Valid() bool { return od.valid == nil || od.valid() }

// Answer is an engine's answer to an order that it carried out.
type Answer struct {
	// Boot is the engine's boot id.
	Boot string
	// Residents lists the copies of models in memory.
	Residents []accountant.Resident
	// Adapters holds the bytes of each adapter in memory, by name.
	Adapters map[string]int64
	// StateVersion changes when the engine's state changes in a way that its
	// orders do not explain. An order on an older version is refused.
	StateVersion int64
}

// Outcome says whether an order without a successful answer took effect.
type Outcome string

// Outcomes of orders.
const (
	// NotSent means that the engine never receives the order.
	NotSent Outcome = "not-sent"
	// Refused means that the engine refused the order.
	Refused Outcome = "refused"
	// Unknown means that the order may have arrived or may still arrive.
	Unknown Outcome = "unknown"
)

// OrderError is the error of an order without a successful answer.
type OrderError struct {
	// Outcome says whether the order may have taken effect.
	Outcome Outcome
	// Code is the code of the refusal, or empty.
	Code string
	// Cause is the underlying error, or nil.
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

// Sender sends HTTP requests to engines. A forwarder implements it.
type Sender interface {
	// Send sends the request once. Its error is a *forwarder.Error.
	Send(ctx context.Context, rq forwarder.Request) (*http.Response, error)
}

// HTTPEngines implements Engines over HTTP.
type HTTPEngines struct{ sender Sender }

// NewHTTPEngines returns an HTTPEngines that sends its requests with sd.
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
		return Answer{}, refusalOf(rs.StatusCode, text)
	}
	return decodeAnswer(text)
}

func outcomeOf(err error) Outcome {
	if forwarder.NotSent(err) {
		return NotSent
	}
	return Unknown
}

// refusalOf returns the error for a status other than 200. It is a refusal only
// if it has an engine's error code, because a proxy may send other errors.
func refusalOf(status int, text []byte) *OrderError {
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

// wireAnswer is the engine's published JSON format.
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
		return Answer{}, &OrderError{Outcome: Unknown, Cause: errors.Errorf("answer does not have the format of an engine: %v", err)}
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
