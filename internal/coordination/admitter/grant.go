package admitter

// Grant is the right to send one request to one server once.
type Grant struct {
	server  string
	address string
	// done and priority belong to a grant that another admission made.
	done     func(Result)
	priority int
	prefill  [2]string
	// entry and admitter are set in the admitter's own grants.
	entry    *Entry
	admitter *Admitter
}

// NewGrant returns the right to send one request to the server at the address.
// The admitter makes its own grants; other packages use NewGrant where they put
// another admission in its place.
func NewGrant(server, address string, done func(Result)) *Grant {
	return &Grant{server: server, address: address, done: done}
}

// WithPriority sets the priority of a grant made by NewGrant.
func (gr *Grant) WithPriority(priority int) *Grant {
	gr.priority = priority
	return gr
}

// WithPrefill sets the prefill server of a grant made by NewGrant.
func (gr *Grant) WithPrefill(server, address string) *Grant {
	gr.prefill = [2]string{server, address}
	return gr
}

// Server returns the name of the backend server.
func (gr *Grant) Server() string { return gr.server }

// Address returns the host and port of the backend server.
func (gr *Grant) Address() string { return gr.address }

// Priority returns the priority for the engine; zero is the most urgent. A
// request that was granted by the least share of its class is as urgent as any,
// so that it isn't overtaken for ever in the engine.
func (gr *Grant) Priority() int {
	if gr.entry == nil {
		return gr.priority
	}
	return gr.entry.Priority()
}

// Prefill returns the server that should read the prompt and export its KV
// cache, if the prompt is long and the model has servers for that role.
func (gr *Grant) Prefill() (server, address string, ok bool) {
	if gr.entry == nil {
		return gr.prefill[0], gr.prefill[1], gr.prefill[0] != ""
	}
	if gr.entry.prefill == nil {
		return "", "", false
	}
	return gr.entry.prefill.Name, gr.entry.prefill.Address, true
}

// Begun says that the first token came: the prompt has been read.
func (gr *Grant) Begun() {
	if gr.entry == nil {
		return
	}
	gr.admitter.mu.Lock()
	defer gr.admitter.mu.Unlock()
	gr.admitter.scheduler.Begun(gr.admitter.now(), gr.entry)
}

// PrefillDone says that the prefill server has read the prompt. It may be
// called at most once, before Done, and may be left out.
func (gr *Grant) PrefillDone() {
	if gr.entry == nil {
		return
	}
	gr.admitter.mu.Lock()
	defer gr.admitter.mu.Unlock()
	gr.admitter.scheduler.finishPrefill(gr.admitter.now(), gr.entry)
}

// Done gives the right back. It must be called exactly once.
func (gr *Grant) Done(rs Result) {
	if gr.done != nil {
		gr.done(rs)
		return
	}
	gr.admitter.giveBack(gr.entry, rs)
}
