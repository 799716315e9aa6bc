package watcher

import "net/http"

// WithTransport sets the transport of the HTTP client that reads reports.
func WithTransport(tp http.RoundTripper) Option {
	return func(wt *Watcher) {
		rd := newReader()
		rd.http.Transport = tp
		wt.read = rd.read
	}
}
