package serviceinvoker

import (
	"context"
	"io"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/transport/forwarder"
)

// maxAnswerBytes bounds the body of an answer.
const maxAnswerBytes = 16 << 20

var (
	errTooLong     = errors.New("answer is too long")
	errUndelimited = errors.New("answer has no end that could be told from a break")
)

// send sends the call once and reads the complete answer.
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
	body, err := readBody(cl.Method, rs)
	if err != nil {
		return nil, &forwarder.Error{Sent: true, Address: address, Cause: err}
	}
	return &Answer{Status: rs.StatusCode, ContentType: rs.Header.Get("Content-Type"), Body: body}, nil
}

// header returns the header of a call. A call through unpooled closes its
// connection.
func (iv *Invoker) header(sd Sender, cl Call) http.Header {
	hd := http.Header{}
	if cl.ContentType != "" {
		hd.Set("Content-Type", cl.ContentType)
	}
	if cl.Key != "" {
		hd.Set(HeaderIdempotencyKey, cl.Key)
	}
	if sd == iv.unpooled {
		hd.Set("Connection", "close")
	}
	return hd
}

// readBody reads a body. It fails if the answer has neither a length nor
// chunks, since the end of the body then looks like a broken connection.
func readBody(method string, rs *http.Response) ([]byte, error) {
	chunked := len(rs.TransferEncoding) > 0
	if rs.ContentLength < 0 && !chunked && method != http.MethodHead {
		return nil, errUndelimited
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
