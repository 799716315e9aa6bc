package admitter

import "github.com/lagoonpass/lagoonpass/internal/coordination/downlister"

// Grant permits its holder to send one request to one server once.
type Grant struct {
	server  string
	address string
	// done, priority and prefillServer (name and address) are set in grants made
	// by NewGrant.
	done          func(Result)
	priority      int
	prefillServer [2]string
	// entry and admitter are set in grants made by an Admitter.
	entry    *Entry
	admitter *Admitter
}

// NewGrant returns a grant for the server at the address, a host and port. Done
// calls the function done. NewGrant is for packages that replace the Admitter
// by another admission.
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
	gr.prefillServer = [2]string{server, address}
	return gr
}

// Server returns the name of the backend server.
func (gr *Grant) Server() string { return gr.server }

// Address returns the host and port of the backend server.
func (gr *Grant) Address() string { return gr.address }

// Process returns the run of the backend server that the grant is for.
func (gr *Grant) Process() downlister.Process {
	if gr.entry == nil {
		return downlister.Process{Server: gr.server}
	}
	return processOf(gr.entry.target)
}

// Priority returns the priority for the engine; zero is the most urgent. A
// request that was granted by the minimum share of its class gets zero, so that
// more urgent requests don't starve it in the engine.
func (gr *Grant) Priority() int {
	if gr.entry == nil {
		return gr.priority
	}
	return gr.entry.Priority()
}

// Prefill returns the name and address of the server that should process the
// prompt and export its KV cache. It returns false if there is none: the prompt
// is short or the model has no servers for that role.
func (gr *Grant) Prefill() (server, address string, ok bool) {
	if gr.entry == nil {
		return gr.prefillServer[0], gr.prefillServer[1], gr.prefillServer[0] != ""
	}
	if gr.entry.prefillServer == nil {
		return "", "", false
	}
	return gr.entry.prefillServer.Name, gr.entry.prefillServer.Address, true
}

// PrefixSource returns the address of a server from which the granted server should
// fetch the cached start of the prompt, or "".
func (gr *Grant) PrefixSource() string {
	if gr.entry == nil {
		return ""
	}
	return gr.entry.prefixSource
}

// FirstTokenReceived reports that the first token arrived, so that the prompt
// no longer counts as backlog.
func (gr *Grant) FirstTokenReceived() {
	if gr.entry == nil {
		return
	}
	gr.admitter.mu.Lock()
	defer gr.admitter.mu.Unlock()
	gr.admitter.scheduler.FirstTokenReceived(gr.admitter.now(), gr.entry)
}

// PrefillDone reports that the prefill server has processed the prompt. It may
// be called at most once, before Done, and is optional.
func (gr *Grant) PrefillDone() {
	if gr.entry == nil {
		return
	}
	gr.admitter.mu.Lock()
	defer gr.admitter.mu.Unlock()
	gr.admitter.scheduler.releasePrefillServer(gr.admitter.now(), gr.entry)
}

// Done releases the grant. It must be called exactly once.
func (gr *Grant) Done(rs Result) {
	if gr.done != nil {
		gr.done(rs)
		return
	}
	gr.admitter.release(gr.entry, rs)
}
