package commander

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"flag"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

const (
	// keyVariable names the environment variable that holds the API key.
	keyVariable = "LAGOONPASS_KEY"
	// nodeTimeout bounds one call to a node.
	nodeTimeout = 90 * time.Second
	// maxNodeAnswer bounds an answer of a node.
	maxNodeAnswer = 64 << 20
)

// nodeFlag is embedded in the commands that call entry nodes.
type nodeFlag struct {
	node      string
	key       string
	authority string
	client    *http.Client
}

func (nf *nodeFlag) setNode(fs *flag.FlagSet) {
	fs.StringVar(&nf.node, "node", "127.0.0.1:8080", "address of an entry node for callers; https:// in front for TLS")
	fs.StringVar(&nf.key, "key", "", "API key; the environment variable "+keyVariable+" is used if it is empty")
	fs.StringVar(&nf.authority, "authority", "", "file with the certificate authority of the nodes, in PEM")
}

// connect prepares the client that carries the calls.
func (nf *nodeFlag) connect() error {
	if nf.key == "" {
		nf.key = os.Getenv(keyVariable)
	}
	nf.client = &http.Client{}
	if nf.authority == "" {
		return nil
	}
	text, err := os.ReadFile(nf.authority)
	if err != nil {
		return errors.Wrap(err, "read certificate authority")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(text) {
		return errors.Errorf("%s holds no certificate in PEM", nf.authority)
	}
	nf.client.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13}}
	return nil
}

// base returns the base URL of a node; it has the scheme of the node named by
// the flag.
func (nf *nodeFlag) base(address string) string {
	if strings.Contains(address, "://") {
		return address
	}
	if strings.HasPrefix(nf.node, "https://") {
		return "https://" + address
	}
	return "http://" + address
}

// call returns the body of a node's answer. The error is a *refuser.Refusal if
// the node refused.
func (nf *nodeFlag) call(ctx context.Context, method, address, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, nodeTimeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, method, nf.base(address)+path, http.NoBody)
	if err != nil {
		return nil, errors.Wrap(err, "build call")
	}
	rq.Header.Set("Authorization", "Bearer "+nf.key)
	rs, err := nf.client.Do(rq)
	if err != nil {
		return nil, errors.Wrap(err, "call node")
	}
	defer func() { _ = rs.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(rs.Body, maxNodeAnswer))
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if rs.StatusCode < http.StatusMultipleChoices {
		return body, nil
	}
	rf, err := refuser.Decode(body)
	if err != nil {
		return nil, errors.Errorf("node answered with status %d", rs.StatusCode)
	}
	return nil, rf
}

// fetch decodes the JSON answer to a GET.
func (nf *nodeFlag) fetch(ctx context.Context, address, path string, into any) error {
	body, err := nf.call(ctx, http.MethodGet, address, path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, into); err != nil {
		return errors.Wrap(err, "decode answer")
	}
	return nil
}

// nodeCode returns the exit code for an error of a call.
func nodeCode(err error) subcommands.ExitStatus {
	var rf *refuser.Refusal
	if errors.As(err, &rf) {
		return subcommands.ExitFailure
	}
	return ExitUnreachable
}
