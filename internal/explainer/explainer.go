// Package explainer finds out from the log lines of all nodes what became of a
// request, and why requests failed or were late.
//
// A line is a JSON object with fields, level, message and timestamp, as nodes
// write it; whatever stands before the object names where the line is from.
// Requests that were answered in time have no lines.
//
// # Usage
//
//	bk := explainer.NewBook()
//	err := bk.Read("entry-1.log", file)
//	for _, ln := range bk.Request("9c41d07be2a35f68") { fmt.Println(ln) }
//	for _, rw := range bk.Summary() { fmt.Println(rw.Cause, rw.Requests) }
package explainer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

const (
	// maxLine is the longest line that is read: those of nodes are far shorter.
	maxLine = 1 << 20
	// around is how long before and after a request other decisions are shown
	// with it: a change of leader or a server's end shows within that time.
	around = 2 * time.Second
)

// Messages of the lines that decide how a request ended.
const (
	messageFailed = "request not answered"
	messageLate   = "request answered late"
	messageRefuse = "request refused"
	// messageOmitted is that of a line that counts those left out before it.
	messageOmitted = "log lines left out"
)

// leadership holds the messages that tell who may send orders.
var leadership = map[string]bool{
	"node leads":                   true,
	"node no longer leads":         true,
	"leader begins to send orders": true,
	"leader stops sending orders":  true,
	"store does not answer":        true,
	"store answers again":          true,
}

// Line is one line of a log.
type Line struct {
	time    time.Time
	source  string
	message string
	fields  map[string]any
}

// Field returns a field as text, or nothing.
func (ln *Line) Field(name string) string {
	value, ok := ln.fields[name]
	if !ok || value == nil {
		return ""
	}
	if all, ok := value.([]any); ok {
		parts := make([]string, 0, len(all))
		for _, one := range all {
			parts = append(parts, fmt.Sprint(one))
		}
		return strings.Join(parts, ",")
	}
	return fmt.Sprint(value)
}

// number returns a field as a number, or zero.
func (ln *Line) number(name string) float64 {
	value, _ := ln.fields[name].(float64)
	return value
}

// String returns the line for people: time, source, message and fields in the
// order of their names.
func (ln *Line) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s  %-24s %s", ln.time.UTC().Format("15:04:05.000"), ln.source, ln.message)
	for _, name := range slices.Sorted(maps.Keys(ln.fields)) {
		if value := ln.Field(name); value != "" {
			fmt.Fprintf(&text, " %s=%s", name, value)
		}
	}
	return text.String()
}

// Book holds the lines of all logs that were read.
type Book struct {
	lines   []*Line
	strange int
	omitted int
}

// NewBook returns a book without lines.
func NewBook() *Book { return &Book{} }

// Strange returns how many lines were no log lines.
func (bk *Book) Strange() int { return bk.strange }

// Omitted returns how many lines the nodes say that they left out.
func (bk *Book) Omitted() int { return bk.omitted }

// wireLine is a line as it is written.
type wireLine struct {
	Fields    map[string]any `json:"fields"`
	Message   string         `json:"message"`
	Timestamp time.Time      `json:"timestamp"`
}

// Read takes in a log; name is the source of lines that do not name one.
func (bk *Book) Read(name string, rd io.Reader) error {
	sc := bufio.NewScanner(rd)
	sc.Buffer(nil, maxLine)
	for sc.Scan() {
		bk.take(name, sc.Bytes())
	}
	if err := sc.Err(); err != nil {
		return errors.Wrapf(err, "read log %s", name)
	}
	slices.SortStableFunc(bk.lines, func(one, two *Line) int { return one.time.Compare(two.time) })
	return nil
}

// byRequest returns the lines of each request in their order.
func (bk *Book) byRequest() map[string][]*Line {
	requests := map[string][]*Line{}
	for _, ln := range bk.lines {
		if id := ln.Field("request"); id != "" {
			requests[id] = append(requests[id], ln)
		}
	}
	return requests
}

func (bk *Book) take(name string, text []byte) {
	start := bytes.IndexByte(text, '{')
	var wl wireLine
	if start < 0 || json.Unmarshal(text[start:], &wl) != nil || wl.Message == "" {
		if len(bytes.TrimSpace(text)) > 0 {
			bk.strange++
		}
		return
	}
	ln := &Line{time: wl.Timestamp, source: name, message: wl.Message, fields: wl.Fields}
	if words := strings.Fields(string(text[:start])); len(words) > 0 {
		ln.source = words[len(words)-1]
	}
	bk.lines = append(bk.lines, ln)
	if ln.message == messageOmitted {
		bk.omitted += int(ln.number("count"))
	}
}

// Request returns the lines of a request over all logs in their order, and
// between them what happened meanwhile to the servers that it was sent to and to
// the leadership.
func (bk *Book) Request(id string) []*Line {
	own := bk.byRequest()[id]
	if len(own) == 0 {
		return nil
	}
	from, until := own[0].time.Add(-began(own)-around), own[len(own)-1].time.Add(around)
	servers := map[string]bool{}
	for _, ln := range own {
		for _, name := range append(strings.Split(ln.Field("avoid"), ","), ln.Field("server")) {
			servers[name] = name != ""
		}
	}
	var all []*Line
	for _, ln := range bk.lines {
		if ln.time.Before(from) || ln.time.After(until) {
			continue
		}
		other := ln.Field("request") == "" && (leadership[ln.message] || servers[ln.Field("server")])
		if other || ln.Field("request") == id {
			all = append(all, ln)
		}
	}
	return all
}

// began returns how long before its first line a request began at the least.
func began(own []*Line) time.Duration {
	return time.Duration(own[0].number("total-ms") * float64(time.Millisecond))
}
