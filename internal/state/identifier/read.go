package identifier

import (
	"net"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"gopkg.in/ini.v1"

	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// The sections of the file.
const (
	sectionNode     = "node"
	sectionPlatform = "platform"
	sectionTLS      = "tls"
)

// FaultsError lists all faults in a node's settings.
type FaultsError struct {
	// Faults holds at least one fault.
	Faults []configurer.Fault
}

// Error implements error.
func (er *FaultsError) Error() string {
	lines := make([]string, 0, len(er.Faults))
	for _, ft := range er.Faults {
		lines = append(lines, ft.Error())
	}
	return "node settings: " + strings.Join(lines, "\n")
}

// setting is one key of the file.
type setting struct {
	section, key string
	// target is the field that receives the value.
	target *string
	// allowed describes the valid values in faults.
	allowed string
	valid   func(string) bool
	// optional is true if the key may be absent or empty.
	optional bool
}

// settings returns all keys, which set the fields of the node.
func settings(nd *Node) []setting {
	name := "a name without spaces"
	address := "host:port with an IP number"
	base := "a URL that begins with http:// or https://"
	file := "a file in PEM"
	return []setting{
		{sectionNode, "id", &nd.id, name, isName, false},
		{sectionNode, "zone", &nd.zone, name, isName, false},
		{sectionNode, "region", &nd.region, name, isName, false},
		{sectionNode, "caller-address", &nd.callerAddress, address, isAddress, false},
		{sectionNode, "peer-address", &nd.peerAddress, address, isAddress, false},
		{sectionPlatform, "store", &nd.store, base, isURL, false},
		{sectionPlatform, "vm-list", &nd.vmList, base, isURL, false},
		{sectionTLS, "caller-certificate", &nd.callerTLS.certificate, file, isFile, true},
		{sectionTLS, "caller-key", &nd.callerTLS.key, file, isFile, true},
		{sectionTLS, "peer-certificate", &nd.peerTLS.certificate, file, isFile, true},
		{sectionTLS, "peer-key", &nd.peerTLS.key, file, isFile, true},
		{sectionTLS, "peer-authority", &nd.peerAuthority, file, isFile, true},
	}
}

// keyGroups lists the keys that must be set together.
var keyGroups = [][]string{
	{"caller-certificate", "caller-key"},
	{"peer-certificate", "peer-key", "peer-authority"},
}

// Read reads and validates a node's settings file. The error is a *FaultsError
// if the file can be read but has faults.
func Read(path string) (*Node, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read node settings")
	}
	nd := &Node{}
	if faults := parse(nd, filepath.Base(path), text); len(faults) > 0 {
		return nil, &FaultsError{Faults: faults}
	}
	return nd, nil
}

// parse sets the fields of the node and returns all faults.
func parse(nd *Node, file string, text []byte) []configurer.Fault {
	opts := ini.LoadOptions{KeyValueDelimiters: "=", IgnoreInlineComment: true}
	doc, err := ini.LoadSources(opts, text)
	if err != nil {
		return []configurer.Fault{{File: file, Line: 1, Found: err.Error(), Allowed: "an INI file"}}
	}
	rd := &reader{file: file, lines: configurer.LineNumbers(string(text)), doc: doc}
	all := settings(nd)
	for _, st := range all {
		rd.read(st)
	}
	rd.rejectUnknown(all)
	rd.checkGroups()
	return rd.faults
}

// reader collects the faults of one file.
type reader struct {
	file string
	// lines holds the line numbers of sections and keys, keyed as by
	// configurer.LineNumbers.
	lines  map[string]int
	doc    *ini.File
	faults []configurer.Fault
}

// fault adds a fault at the line of the key, or of the section if the file does
// not set the key.
func (rd *reader) fault(section, key, found, allowed string) {
	line, ok := rd.lines[section+"\n"+key]
	if !ok {
		line = rd.lines[section]
	}
	rd.faults = append(rd.faults, configurer.Fault{
		File: rd.file, Line: line, Section: section, Key: key, Found: found, Allowed: allowed,
	})
}

// read stores the value of one key in its target and validates it.
func (rd *reader) read(st setting) {
	*st.target = rd.doc.Section(st.section).Key(st.key).String()
	switch {
	case *st.target == "" && !st.optional:
		rd.fault(st.section, st.key, "", st.allowed+"; the key must be set")
	case *st.target != "" && !st.valid(*st.target):
		rd.fault(st.section, st.key, *st.target, st.allowed)
	}
}

// rejectUnknown adds a fault for each unknown section or key, with the nearest
// known name.
func (rd *reader) rejectUnknown(all []setting) {
	keys := map[string][]string{}
	for _, st := range all {
		keys[st.section] = append(keys[st.section], st.key)
	}
	for _, sc := range rd.doc.Sections() {
		known, ok := keys[sc.Name()]
		if !ok {
			if sc.Name() != ini.DefaultSection || len(sc.Keys()) > 0 {
				rd.fault(sc.Name(), "", sc.Name(), "a known section"+configurer.NearestHint(sc.Name(), []string{sectionNode, sectionPlatform, sectionTLS}))
			}
			continue
		}
		for _, ky := range sc.Keys() {
			if !slices.Contains(known, ky.Name()) {
				rd.fault(sc.Name(), ky.Name(), ky.Value(), "a known key"+configurer.NearestHint(ky.Name(), known))
			}
		}
	}
}

// checkGroups adds a fault for each group of keys that is only partly set.
func (rd *reader) checkGroups() {
	sc := rd.doc.Section(sectionTLS)
	for _, group := range keyGroups {
		var missing []string
		for _, key := range group {
			if sc.Key(key).String() == "" {
				missing = append(missing, key)
			}
		}
		if len(missing) > 0 && len(missing) < len(group) {
			rd.fault(sectionTLS, missing[0], "", "all of "+strings.Join(group, ", ")+", or none of them")
		}
	}
}

func isName(tx string) bool { return !strings.ContainsAny(tx, " \t,/") }

func isAddress(tx string) bool {
	host, port, err := net.SplitHostPort(tx)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return err == nil && number > 0
}

func isURL(tx string) bool {
	ur, err := url.Parse(tx)
	return err == nil && (ur.Scheme == "http" || ur.Scheme == "https") && ur.Host != ""
}

func isFile(tx string) bool {
	fi, err := os.Stat(tx)
	return err == nil && !fi.IsDir()
}
