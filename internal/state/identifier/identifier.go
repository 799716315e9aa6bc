// Package identifier reads what one process has to know of itself: its id, its
// addresses and availability zone, where the platform is, and its certificates.
//
// # Usage
//
//	nd, err := identifier.Read("node.ini")
//	fmt.Println(nd.ID(), nd.Zone())
//
// The error of a file with faults lists all of them.
package identifier

// Node is the identity of one entry node.
type Node struct {
	id            string
	zone          string
	region        string
	callerAddress string
	peerAddress   string
	store         string
	vmList        string
	callerTLS     KeyPair
	peerTLS       KeyPair
	peerAuthority string
}

// KeyPair names the files of a certificate and its private key, in PEM.
type KeyPair struct {
	certificate string
	key         string
}

// Certificate returns the file of the certificate chain.
func (kp KeyPair) Certificate() string { return kp.certificate }

// Key returns the file of the private key.
func (kp KeyPair) Key() string { return kp.key }

// Set reports whether there is a key pair.
func (kp KeyPair) Set() bool { return kp.certificate != "" }

// Option changes a Node that is being made.
type Option func(*Node)

// WithCallerTLS makes the node serve callers by TLS.
func WithCallerTLS(certificate, key string) Option {
	return func(nd *Node) { nd.callerTLS = KeyPair{certificate, key} }
}

// WithPeerTLS makes the node speak mutual TLS with other entry nodes, which
// have to have certificates of the authority.
func WithPeerTLS(certificate, key, authority string) Option {
	return func(nd *Node) { nd.peerTLS, nd.peerAuthority = KeyPair{certificate, key}, authority }
}

// New returns an identity; Read fills one from a file.
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

// ID returns the node's id, unique to this life of the VM.
func (nd *Node) ID() string { return nd.id }

// Zone returns the availability zone.
func (nd *Node) Zone() string { return nd.zone }

// Region returns the region.
func (nd *Node) Region() string { return nd.region }

// CallerAddress returns the host and port for callers.
func (nd *Node) CallerAddress() string { return nd.callerAddress }

// PeerAddress returns the host and port for other entry nodes.
func (nd *Node) PeerAddress() string { return nd.peerAddress }

// Store returns the base URL of the platform's key-value service.
func (nd *Node) Store() string { return nd.store }

// VMList returns the URL of the platform's list of VMs.
func (nd *Node) VMList() string { return nd.vmList }

// CallerTLS returns the key pair for callers, which need not be set.
func (nd *Node) CallerTLS() KeyPair { return nd.callerTLS }

// PeerTLS returns the key pair for other entry nodes, which need not be set.
func (nd *Node) PeerTLS() KeyPair { return nd.peerTLS }

// PeerAuthority returns the file of the authority that signs the certificates
// of all entry nodes.
func (nd *Node) PeerAuthority() string { return nd.peerAuthority }
