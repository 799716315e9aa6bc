// Package fingerprinter identifies what requests have in common, so that content
// that crashes backend servers is recognised when it comes again.
//
// # Usage
//
//	contents := fingerprinter.Parts(partIDs)
package fingerprinter

import "strconv"

// Content identifies something that requests have in common.
type Content uint64

// String returns the id in hexadecimal.
func (ct Content) String() string { return strconv.FormatUint(uint64(ct), 16) }

// Parts returns the contents of a prompt with the parts.
func Parts(ids []uint64) []Content {
	contents := make([]Content, 0, len(ids)+1)
	for _, id := range ids {
		contents = append(contents, Content(id))
	}
	return contents
}
