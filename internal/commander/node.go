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
	// maxNodeAnswer bounds the answer of a node, in bytes.
	maxNodeAnswer = 64 << 20
)

// nodeFlags is embedded in the commands that call entry nodes.
type nodeFlags struct {
	// node is the address of an entry node, with or without a scheme.
	node string
	// key is the API key.
	key string
	// authority is a PEM file with the certificate authority of the nodes;
	// empty for the authorities of the operating system.
	authority string
	client    *http.Client
}

func (nf *nodeFlags) addNodeFlags(fs *flag.FlagSet) {
	fs.StringVar(&nf.node, "node", "127.0.0.1:8080", "address of an entry node for callers; https:// in front for TLS")
	fs.StringVar(&nf.key, "key", "", "API key; the environment variable "+keyVariable+" is used if it is empty")
	fs.StringVar(&nf.authority, "authority", "", "file with the certificate authority of the nodes, in PEM")
}

// connect sets the API key and the HTTP client. It makes no connection yet.
func (nf *nodeFlags) connect() error {
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

// baseURL returns the base URL of a node. An address without a scheme gets the
// scheme of the -node flag.
func (nf *nodeFlags) baseURL(address string) string {
	if strings.Contains(address, "://") {
		return address
	}
	if strings.HasPrefix(nf.node, "https://") {
		return "https://" + address
	}
	return "http://" + address
}

// call sends a request to a node and returns the body of the answer. The error
// is a *refuser.Refusal if the node refused the request.
func (nf *nodeFlags) call(ctx context.Context, method, address, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, nodeTimeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, method, nf.baseURL(address)+path, http.NoBody)
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

// getJSON sends a GET request and decodes the JSON answer.
func (nf *nodeFlags) getJSON(ctx context.Context, address, path string, into any) error {
	body, err := nf.call(ctx, http.MethodGet, address, path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, into); err != nil {
		return errors.Wrap(err, "decode answer")
	}
	return nil
}

// nodeExitCode returns the exit code for an error of a call: ExitFailure if the
// node refused it, ExitUnreachable otherwise.
func nodeExitCode(err error) subcommands.ExitStatus {
	var rf *refuser.Refusal
	if errors.As(err, &rf) {
		return subcommands.ExitFailure
	}
	return ExitUnreachable
}
