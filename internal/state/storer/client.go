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

// callTimeout bounds one call to the service.
const callTimeout = 2 * time.Second

// Client is a Store over the JSON gateway of the etcd v3 API.
type Client struct {
	base string
	http *http.Client
}

// ClientOption changes a Client that is being made.
type ClientOption func(*Client)

// WithHTTPClient makes the client use hc for its calls.
func WithHTTPClient(hc *http.Client) ClientOption {
	return func(cl *Client) { cl.http = hc }
}

// NewClient returns a client of the service at a base URL.
func NewClient(base string, opts ...ClientOption) *Client {
	cl := &Client{base: base, http: &http.Client{Timeout: callTimeout}}
	for _, opt := range opts {
		opt(cl)
	}
	return cl
}

// Get implements Store.
func (cl *Client) Get(ctx context.Context, key string) (Entry, error) {
	var out rangeAnswer
	if err := cl.post(ctx, "/v3/kv/range", rangeCall{Key: []byte(key)}, &out); err != nil {
		return Entry{}, failed("get", key, err, false)
	}
	if len(out.KVs) == 0 {
		return Entry{}, &Error{Op: "get", Key: key, Kind: NotFound}
	}
	return out.KVs[0].entry(), nil
}

// List implements Store.
func (cl *Client) List(ctx context.Context, prefix string) ([]Entry, error) {
	call := rangeCall{Key: []byte(prefix), RangeEnd: prefixEnd(prefix)}
	var out rangeAnswer
	if err := cl.post(ctx, "/v3/kv/range", call, &out); err != nil {
		return nil, failed("list", prefix, err, false)
	}
	entries := make([]Entry, 0, len(out.KVs))
	for _, kv := range out.KVs {
		entries = append(entries, kv.entry())
	}
	return entries, nil
}

// Swap implements Store.
func (cl *Client) Swap(ctx context.Context, key string, value []byte, revision int64) (int64, error) {
	put := operation{Put: &putCall{Key: []byte(key), Value: value}}
	out, err := cl.txn(ctx, key, revision, put)
	if err != nil {
		return 0, failed("swap", key, err, true)
	}
	if !out.Succeeded {
		return 0, &Error{Op: "swap", Key: key, Kind: Conflict}
	}
	return out.Header.Revision.int64(), nil
}

// Delete implements Store.
func (cl *Client) Delete(ctx context.Context, key string, revision int64) error {
	del := operation{Delete: &rangeCall{Key: []byte(key)}}
	out, err := cl.txn(ctx, key, revision, del)
	if err != nil {
		return failed("delete", key, err, true)
	}
	if !out.Succeeded {
		return &Error{Op: "delete", Key: key, Kind: Conflict}
	}
	return nil
}

func (cl *Client) txn(ctx context.Context, key string, revision int64, op operation) (txnAnswer, error) {
	call := txnCall{
		Compare: []comparison{{Key: []byte(key), Target: "MOD", Result: "EQUAL", ModRevision: number(revision)}},
		Success: []operation{op},
	}
	var out txnAnswer
	err := cl.post(ctx, "/v3/kv/txn", call, &out)
	return out, err
}

func (cl *Client) post(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encode call")
	}
	// The body hides its rewind from net/http, which would otherwise be free
	// to send a call twice.
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

// failed maps an error from below to this layer's kinds.
func failed(op, key string, err error, write bool) *Error {
	kd := Unavailable
	if write && !neverSent(err) {
		kd = Uncertain
	}
	return &Error{Op: op, Key: key, Kind: kd, Cause: err}
}

// neverSent reports whether the connection could not even be opened.
func neverSent(err error) bool {
	var oe *net.OpError
	return errors.As(err, &oe) && oe.Op == "dial"
}

// prefixEnd returns the end of the range that holds a prefix.
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

// number is a 64-bit integer, which the gateway writes as a string.
type number int64

func (nm number) int64() int64 { return int64(nm) }

// MarshalJSON implements json.Marshaler.
func (nm number) MarshalJSON() ([]byte, error) {
	return []byte(`"` + strconv.FormatInt(int64(nm), 10) + `"`), nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (nm *number) UnmarshalJSON(body []byte) error {
	vl, err := strconv.ParseInt(string(bytes.Trim(body, `"`)), 10, 64)
	*nm = number(vl)
	return err
}

// The types below are the gateway's published JSON.
type (
	rangeCall struct {
		Key      []byte `json:"key"`
		RangeEnd []byte `json:"range_end,omitempty"`
	}
	keyValue struct {
		Key         []byte `json:"key"`
		Value       []byte `json:"value"`
		ModRevision number `json:"mod_revision"`
	}
	rangeAnswer struct {
		KVs []keyValue `json:"kvs"`
	}
	putCall struct {
		Key   []byte `json:"key"`
		Value []byte `json:"value"`
	}
	comparison struct {
		Key         []byte `json:"key"`
		Target      string `json:"target"`
		Result      string `json:"result"`
		ModRevision number `json:"mod_revision"`
	}
	operation struct {
		Put    *putCall   `json:"request_put,omitempty"`
		Delete *rangeCall `json:"request_delete_range,omitempty"`
	}
	txnCall struct {
		Compare []comparison `json:"compare"`
		Success []operation  `json:"success"`
	}
	txnAnswer struct {
		Header struct {
			Revision number `json:"revision"`
		} `json:"header"`
		Succeeded bool `json:"succeeded"`
	}
)

func (kv keyValue) entry() Entry {
	return Entry{Key: string(kv.Key), Value: kv.Value, Revision: kv.ModRevision.int64()}
}
