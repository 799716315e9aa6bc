// Package identifier reads what one process has to know of itself: its id, its
// addresses and availability zone, and where the platform is.
//
// # Usage
//
//	nd, err := identifier.Read("node.ini")
//	fmt.Println(nd.ID(), nd.Zone())
package identifier

import (
	"github.com/go-faster/errors"
	"gopkg.in/ini.v1"
)

// Node is the identity of one entry node.
type Node struct {
	id            string
	zone          string
	region        string
	callerAddress string
	peerAddress   string
	store         string
	vmList        string
}

// New returns an identity; Read fills one from a file.
func New(id, zone, region, callerAddress, peerAddress, store, vmList string) *Node {
	return &Node{id, zone, region, callerAddress, peerAddress, store, vmList}
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

// Read reads a node's settings file.
func Read(path string) (*Node, error) {
	doc, err := ini.Load(path)
	if err != nil {
		return nil, errors.Wrapf(err, "read node settings %q", path)
	}
	nd := &Node{}
	targets := []struct {
		section, key string
		value        *string
	}{
		{"node", "id", &nd.id},
		{"node", "zone", &nd.zone},
		{"node", "region", &nd.region},
		{"node", "caller-address", &nd.callerAddress},
		{"node", "peer-address", &nd.peerAddress},
		{"platform", "store", &nd.store},
		{"platform", "vm-list", &nd.vmList},
	}
	for _, tg := range targets {
		*tg.value = doc.Section(tg.section).Key(tg.key).String()
		if *tg.value == "" {
			return nil, errors.Errorf("read node settings %q: [%s] %s must be set", path, tg.section, tg.key)
		}
	}
	return nd, nil
}
