package invoker

import (
	"context"
	"io"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/transport/forwarder"
)

// maxAnswerBytes bounds the answer of a service.
const maxAnswerBytes = 16 << 20

var (
	errTooLong = errors.New("answer is too long")
	errBroken  = errors.New("answer has no end that could be told from a break")
)

// send sends the call once and reads the whole answer.
func (iv *Invoker) send(ctx context.Context, sd Sender, address string, cl Call) (*Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, cl.Service.Timeout())
	defer cancel()
	rs, err := sd.Send(ctx, forwarder.Request{
		Address: address,
		Method:  cl.Method,
		Path:    cl.Path,
		Header:  iv.header(sd, cl),
		Body:    cl.Body,
	})
	if err != nil {
		return nil, err
	}
	defer func() { _ = rs.Body.Close() }()
	body, err := readWhole(cl.Method, rs)
	if err != nil {
		return nil, &forwarder.Error{Sent: true, Address: address, Cause: err}
	}
	return &Answer{Status: rs.StatusCode, ContentType: rs.Header.Get("Content-Type"), Body: body}, nil
}

func (iv *Invoker) header(sd Sender, cl Call) http.Header {
	hd := http.Header{}
	if cl.ContentType != "" {
		hd.Set("Content-Type", cl.ContentType)
	}
	if cl.Key != "" {
		hd.Set(HeaderKey, cl.Key)
	}
	if sd == iv.fresh {
		hd.Set("Connection", "close")
	}
	return hd
}

// readWhole reads a body and returns an error unless its end was announced.
func readWhole(method string, rs *http.Response) ([]byte, error) {
	chunked := len(rs.TransferEncoding) > 0
	if rs.ContentLength < 0 && !chunked && method != http.MethodHead {
		return nil, errBroken
	}
	body, err := io.ReadAll(io.LimitReader(rs.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if len(body) > maxAnswerBytes {
		return nil, errTooLong
	}
	return body, nil
}
