package watcher

import "net/http"

// WithTransport makes the watcher read reports through tp.
func WithTransport(tp http.RoundTripper) Option {
	return func(wt *Watcher) {
		rd := newReader()
		rd.http.Transport = tp
		wt.read = rd.read
	}
}
