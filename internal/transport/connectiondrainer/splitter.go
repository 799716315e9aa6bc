package connectiondrainer

import (
	"bytes"
	"strconv"
	"strings"
)

// maxHeadBytes bounds what a splitter keeps of a head.
const maxHeadBytes = 64 << 10

// splitter ends a read where a request ends, so that an http.Server does not buffer a
// part of the next one, which nobody could see. A request that it can't follow, such as
// one in chunks, is passed on as it comes.
type splitter struct {
	// follows says that the next byte belongs to a request that the splitter follows.
	follows bool
	// head is the head so far, and left the number of bytes of the body that are missing
	// after it; negative within the head.
	head []byte
	left int
	// held is what was read after the end of the request.
	held []byte
}

// begin makes the splitter follow the request that begins with the next byte.
func (sp *splitter) begin() { sp.follows, sp.head, sp.left = true, nil, -1 }

// complete reports whether the request was read to its end.
func (sp *splitter) complete() bool { return sp.follows && sp.left < 0 && len(sp.head) == 0 }

// split returns how many of the bytes belong to the request, and holds the others back.
func (sp *splitter) split(data []byte) int {
	if !sp.follows {
		return len(data)
	}
	count := 0
	if sp.left < 0 {
		before := len(sp.head)
		sp.head = append(sp.head, data...)
		end := bytes.Index(sp.head, []byte("\r\n\r\n"))
		if end < 0 {
			sp.follows = len(sp.head) <= maxHeadBytes
			return len(data)
		}
		count = end + len("\r\n\r\n") - before
		sp.left, sp.follows = bodyLength(string(sp.head[:end]))
		if !sp.follows {
			return len(data)
		}
	}
	body := min(sp.left, len(data)-count)
	count += body
	if sp.left -= body; sp.left == 0 {
		sp.begin()
	}
	sp.held = append(bytes.Clone(data[count:]), sp.held...)
	return count
}

// bodyLength returns the length of the body after a head, or false if it has no length.
func bodyLength(head string) (int, bool) {
	length := 0
	for line := range strings.SplitSeq(head, "\r\n") {
		name, value, _ := strings.Cut(line, ":")
		switch strings.ToLower(name) {
		case "transfer-encoding", "upgrade":
			return 0, false
		case "content-length":
			var err error
			if length, err = strconv.Atoi(strings.TrimSpace(value)); err != nil || length < 0 {
				return 0, false
			}
		}
	}
	return length, true
}
