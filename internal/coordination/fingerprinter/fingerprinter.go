// Package fingerprinter identifies what requests have in common, so that content
// that crashes backend servers is recognised when it comes again.
//
// # Usage
//
//	contents := fingerprinter.Parts(partIDs)
//	content := fingerprinter.Request(caller, method, host, path, body)
package fingerprinter

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Content identifies something that requests have in common: a part of their
// prompts, or all of the request.
type Content uint64

// requestBit is set in the contents of whole requests.
const requestBit Content = 1 << 63

// IsRequest reports whether the content is that of a whole request.
func (ct Content) IsRequest() bool { return ct&requestBit != 0 }

// String returns the id in hexadecimal.
func (ct Content) String() string { return strconv.FormatUint(uint64(ct), 16) }

// Join returns the ids of the contents, separated by slashes.
func Join(contents []Content) string {
	ids := make([]string, 0, len(contents))
	for _, ct := range contents {
		ids = append(ids, ct.String())
	}
	return strings.Join(ids, "/")
}

// Parts returns the contents of a prompt with the parts.
func Parts(ids []uint64) []Content {
	contents := make([]Content, 0, len(ids)+1)
	for _, id := range ids {
		contents = append(contents, Content(id)&^requestBit)
	}
	return contents
}

// Request returns the content of a request as a whole: who sent it, and all that
// the server gets but its id and its deadline.
func Request(caller, method, host, path string, body []byte) Content {
	dg := xxhash.New()
	for _, text := range []string{caller, method, host, path} {
		_, _ = dg.WriteString(strconv.Itoa(len(text)) + ":" + text)
	}
	_, _ = dg.Write(body)
	return Content(dg.Sum64()) | requestBit
}
