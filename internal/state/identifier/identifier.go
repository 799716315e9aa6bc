// Package identifier parses the settings of one entry node: its id, addresses
// and availability zone, the URLs of the platform, and its certificates.
//
// # Usage
//
//	nd, err := identifier.Read("node.ini")
//	if err != nil {
//		return err
//	}
//	fmt.Println(nd.ID(), nd.Zone())
//
// If the file has faults, the error lists all of them.
package identifier

// Node holds the settings of one entry node.
type Node struct {
	id            string
	zone          string
	region        string
	callerAddress string
	peerAddress   string
	store         string // base URL
	vmList        string // URL
	callerTLS     KeyPair
	peerTLS       KeyPair
	peerAuthority string // file name
}

// KeyPair holds the names of the PEM files of a certificate chain and its
// private key.
type KeyPair struct {
	certificate string
	key         string
}

// Certificate returns the name of the file with the certificate chain.
func (kp KeyPair) Certificate() string { return kp.certificate }

// Key returns the name of the file with the private key.
func (kp KeyPair) Key() string { return kp.key }

// IsSet reports whether the key pair is configured.
func (kp KeyPair) IsSet() bool { return kp.certificate != "" }

// Option configures a Node.
type Option func(*Node)

// WithCallerTLS makes the node serve callers over TLS.
func WithCallerTLS(certificate, key string) Option {
	return func(nd *Node) { nd.callerTLS = KeyPair{certificate, key} }
}

// WithPeerTLS makes the node use mutual TLS with other entry nodes. The
// authority is the file of the certificate authority that signs their
// certificates.
func WithPeerTLS(certificate, key, authority string) Option {
	return func(nd *Node) { nd.peerTLS, nd.peerAuthority = KeyPair{certificate, key}, authority }
}

// New returns node settings that come from no file. It does not validate them.
func New(id, zone, region, callerAddress, peerAddress, store, vmList string, opts ...Option) *Node {
	nd := &Node{
		id:            id,
		zone:          zone,
		region:        region,
		callerAddress: callerAddress,
		peerAddress:   peerAddress,
		store:         store,
		vmList:        vmList,
	}
	for _, opt := range opts {
		opt(nd)
	}
	return nd
}

// ID returns the node's id, which is unique to this incarnation of the VM.
func (nd *Node) ID() string { return nd.id }

// Zone returns the availability zone of the node.
func (nd *Node) Zone() string { return nd.zone }

// Region returns the region of the node.
func (nd *Node) Region() string { return nd.region }

// CallerAddress returns the host and port on which the node serves callers.
func (nd *Node) CallerAddress() string { return nd.callerAddress }

// PeerAddress returns the host and port on which the node serves other entry
// nodes.
func (nd *Node) PeerAddress() string { return nd.peerAddress }

// Store returns the base URL of the platform's store.
func (nd *Node) Store() string { return nd.store }

// VMList returns the URL of the platform's VM list.
func (nd *Node) VMList() string { return nd.vmList }

// CallerTLS returns the optional key pair for connections from callers.
func (nd *Node) CallerTLS() KeyPair { return nd.callerTLS }

// PeerTLS returns the optional key pair for connections between entry nodes.
func (nd *Node) PeerTLS() KeyPair { return nd.peerTLS }

// PeerAuthority returns the file of the certificate authority that signs the
// certificates of all entry nodes.
func (nd *Node) PeerAuthority() string { return nd.peerAuthority }
