package admitter

// NewGrant returns the right to send one request to the server at the address.
// The admitter makes its own grants; other packages use NewGrant where they put
// another admission in its place.
func NewGrant(server, address string, done func(Result)) *Grant {
	return &Grant{server: server, address: address, done: done}
}
