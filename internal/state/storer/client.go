package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

// callTimeout is the timeout of one call to the service.
const callTimeout = 2 * time.Second

// Client is a Store that calls the JSON gateway of the etcd v3 API.
type Client struct {
	base string // URL of the service, without a path
	http *http.Client
}

// ClientOption configures a new Client.
type ClientOption func(*Client)

// WithHTTPClient makes the client use hc for its calls.
func WithHTTPClient(hc *http.Client) ClientOption {
	return func(cl *Client) { cl.http = hc }
}

// NewClient returns a client of the service at a base URL. The timeout of a
// call is 2 s unless WithHTTPClient sets another.
func NewClient(base string, opts ...ClientOption) *Client {
	cl := &Client{base: base, http: &http.Client{Timeout: callTimeout}}
	for _, opt := range opts {
		opt(cl)
	}
	return cl
}

// Get implements Store.
func (cl *Client) Get(ctx context.Context, key string) (Entry, error) {
	var out rangeResponse
	if err := cl.post(ctx, "/v3/kv/range", rangeRequest{Key: []byte(key)}, &out); err != nil {
		return Entry{}, callError("get", key, err, false)
	}
	if len(out.KVs) == 0 {
		return Entry{}, &Error{Op: "get", Key: key, Kind: NotFound}
	}
	return out.KVs[0].entry(), nil
}

// List implements Store.
func (cl *Client) List(ctx context.Context, prefix string) ([]Entry, error) {
	call := rangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix)}
	var out rangeResponse
	if err := cl.post(ctx, "/v3/kv/range", call, &out); err != nil {
		return nil, callError("list", prefix, err, false)
	}
	entries := make([]Entry, 0, len(out.KVs))
	for _, kv := range out.KVs {
		entries = append(entries, kv.entry())
	}
	return entries, nil
}

// Swap implements Store.
func (cl *Client) Swap(ctx context.Context, key string, value []byte, revision int64) (int64, error) {
	put := operation{Put: &putRequest{Key: []byte(key), Value: value}}
	out, err := cl.txn(ctx, key, revision, put)
	if err != nil {
		return 0, callError("swap", key, err, true)
	}
	if !out.Succeeded {
		return 0, &Error{Op: "swap", Key: key, Kind: Conflict}
	}
	return out.Header.Revision.int64(), nil
}

// Delete implements Store.
func (cl *Client) Delete(ctx context.Context, key string, revision int64) error {
	del := operation{Delete: &rangeRequest{Key: []byte(key)}}
	out, err := cl.txn(ctx, key, revision, del)
	if err != nil {
		return callError("delete", key, err, true)
	}
	if !out.Succeeded {
		return &Error{Op: "delete", Key: key, Kind: Conflict}
	}
	return nil
}

func (cl *Client) txn(ctx context.Context, key string, revision int64, op operation) (txnResponse, error) {
	call := txnRequest{
		Compare: []comparison{{Key: []byte(key), Target: "MOD", Result: "EQUAL", ModRevision: jsonInt64(revision)}},
		Success: []operation{op},
	}
	var out txnResponse
	err := cl.post(ctx, "/v3/kv/txn", call, &out)
	return out, err
}

func (cl *Client) post(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encode call")
	}
	// NopCloser hides the type of the reader, so that net/http can't rewind the
	// body and send a call twice.
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, cl.base+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return errors.Wrap(err, "build call")
	}
	rq.ContentLength = int64(len(body))
	rs, err := cl.http.Do(rq)
	if err != nil {
		return err
	}
	defer func() { _ = rs.Body.Close() }()
	if rs.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", rs.StatusCode)
	}
	return json.NewDecoder(rs.Body).Decode(out)
}

// callError returns the *Error for a failed HTTP call: Uncertain for a write
// that may have been sent, otherwise Unavailable.
func callError(op, key string, err error, write bool) *Error {
	kd := Unavailable
	if write && !dialFailed(err) {
		kd = Uncertain
	}
	return &Error{Op: op, Key: key, Kind: kd, Cause: err}
}

// dialFailed reports whether the connection could not be opened.
func dialFailed(err error) bool {
	var oe *net.OpError
	return errors.As(err, &oe) && oe.Op == "dial"
}

// prefixEnd returns the exclusive end of the range of keys with the prefix.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for ix := len(end) - 1; ix >= 0; ix-- {
		if end[ix] < 0xff {
			end[ix]++
			return end[:ix+1]
		}
	}
	return []byte{0}
}

// jsonInt64 is a 64-bit integer, which the gateway encodes as a JSON string.
type jsonInt64 int64

func (ji jsonInt64) int64() int64 { return int64(ji) }

// MarshalJSON implements json.Marshaler.
func (ji jsonInt64) MarshalJSON() ([]byte, error) {
	return []byte(`"` + strconv.FormatInt(int64(ji), 10) + `"`), nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (ji *jsonInt64) UnmarshalJSON(body []byte) error {
	vl, err := strconv.ParseInt(string(bytes.Trim(body, `"`)), 10, 64)
	*ji = jsonInt64(vl)
	return err
}

// The JSON messages of the gateway.
type (
	rangeRequest struct {
		Key      []byte `json:"key"`
		RangeEnd []byte `json:"range_end,omitempty"`
	}
	keyValue struct {
		Key         []byte    `json:"key"`
		Value       []byte    `json:"value"`
		ModRevision jsonInt64 `json:"mod_revision"`
	}
	rangeResponse struct {
		KVs []keyValue `json:"kvs"`
	}
	putRequest struct {
		Key   []byte `json:"key"`
		Value []byte `json:"value"`
	}
	comparison struct {
		Key         []byte    `json:"key"`
		Target      string    `json:"target"`
		Result      string    `json:"result"`
		ModRevision jsonInt64 `json:"mod_revision"`
	}
	operation struct {
		Put    *putRequest   `json:"request_put,omitempty"`
		Delete *rangeRequest `json:"request_delete_range,omitempty"`
	}
	txnRequest struct {
		Compare []comparison `json:"compare"`
		Success []operation  `json:"success"`
	}
	txnResponse struct {
		Header struct {
			Revision jsonInt64 `json:"revision"`
		} `json:"header"`
		Succeeded bool `json:"succeeded"`
	}
)

func (kv keyValue) entry() Entry {
	return Entry{Key: string(kv.Key), Value: kv.Value, Revision: kv.ModRevision.int64()}
}
