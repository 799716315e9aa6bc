// Package explainer reads the logs of all nodes and reports how a request
// ended, and why requests failed or were late.
//
// A line is a JSON object with fields, level, message and timestamp, as a node
// writes it. The last word before the object, if any, is the source of the
// line. Requests that were answered in time have no lines.
//
// # Usage
//
//	ls := explainer.NewLogSet()
//	err := ls.Read("entry-1.log", file)
//	for _, ln := range ls.Request("9c41d07be2a35f68") { fmt.Println(ln) }
//	for _, rw := range ls.Summary() { fmt.Println(rw.Cause, rw.Requests) }
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
	// maxLineBytes limits a line. The lines of nodes are far shorter.
	maxLineBytes = 1 << 20
	// contextTime is how long before and after a request its servers and the
	// leader are shown. A change of leader or the end of a server is logged
	// within it.
	contextTime = 2 * time.Second
)

// Messages of the lines that say how a request ended.
const (
	messageFailed  = "request not answered"
	messageLate    = "request answered late"
	messageRefused = "request refused"
	// messageQuota is the message of a node that refuses a request over its caller's
	// quota.
	messageQuota = "request is over its caller's quota"
	// messageRestored is the message of a node that learns that the store returned
	// from an older copy.
	messageRestored = "store returned from an older copy; its keys are read again"
	// messageOmitted is the message of a line that counts the lines dropped
	// before it.
	messageOmitted = "log lines left out"
)

// leadershipMessages holds the messages that say which node may send orders.
var leadershipMessages = map[string]bool{
	messageRestored:                   true,
	"node leads":                      true,
	"node no longer leads":            true,
	"leader begins to send orders":    true,
	"leader stops sending orders":     true,
	"node keeps the ledger of quotas": true,
	"store does not answer":           true,
	"store answers again":             true,
}

// Line is one line of a log.
type Line struct {
	time    time.Time
	source  string // node or log that the line is from
	message string
	fields  map[string]any
}

// Field returns a field as text, or "" if the line lacks it. The items of a
// list are separated by commas.
func (ln *Line) Field(name string) string {
	value, ok := ln.fields[name]
	if !ok || value == nil {
		return ""
	}
	if values, ok := value.([]any); ok {
		parts := make([]string, 0, len(values))
		for _, item := range values {
			parts = append(parts, fmt.Sprint(item))
		}
		return strings.Join(parts, ",")
	}
	return fmt.Sprint(value)
}

// number returns a numeric field, or 0 if the line lacks it.
func (ln *Line) number(name string) float64 {
	value, _ := ln.fields[name].(float64)
	return value
}

// String returns the line as text: time of day in UTC, source, message, and the
// fields sorted by name.
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

// LogSet holds the lines of all logs read.
type LogSet struct {
	lines    []*Line // sorted by time
	unparsed int     // lines that are not log lines of a node
	omitted  int     // lines that the nodes dropped, as they logged
}

// NewLogSet returns an empty set.
func NewLogSet() *LogSet { return &LogSet{} }

// Unparsed returns the number of lines that are not log lines of a node. Empty
// lines don't count.
func (ls *LogSet) Unparsed() int { return ls.unparsed }

// Omitted returns the number of lines that the nodes dropped, as they logged.
func (ls *LogSet) Omitted() int { return ls.omitted }

// wireLine is the JSON form of a line.
type wireLine struct {
	Fields    map[string]any `json:"fields"`
	Message   string         `json:"message"`
	Timestamp time.Time      `json:"timestamp"`
}

// Read adds the lines of a log. The name is the source of lines that state
// none. It returns an error if the log can't be read or has a line above 1 MiB.
func (ls *LogSet) Read(name string, rd io.Reader) error {
	sc := bufio.NewScanner(rd)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		ls.parse(name, sc.Bytes())
	}
	if err := sc.Err(); err != nil {
		return errors.Wrapf(err, "read log %s", name)
	}
	slices.SortStableFunc(ls.lines, func(one, two *Line) int { return one.time.Compare(two.time) })
	return nil
}

// byRequest returns the lines of each request, sorted by time.
func (ls *LogSet) byRequest() map[string][]*Line {
	requests := map[string][]*Line{}
	for _, ln := range ls.lines {
		if id := ln.Field("request"); id != "" {
			requests[id] = append(requests[id], ln)
		}
	}
	return requests
}

func (ls *LogSet) parse(name string, text []byte) {
	start := bytes.IndexByte(text, '{')
	var wl wireLine
	if start < 0 || json.Unmarshal(text[start:], &wl) != nil || wl.Message == "" {
		if len(bytes.TrimSpace(text)) > 0 {
			ls.unparsed++
		}
		return
	}
	ln := &Line{time: wl.Timestamp, source: name, message: wl.Message, fields: wl.Fields}
	if words := strings.Fields(string(text[:start])); len(words) > 0 {
		ln.source = words[len(words)-1]
	}
	ls.lines = append(ls.lines, ln)
	if ln.message == messageOmitted {
		ls.omitted += int(ln.number("count"))
	}
}

// Request returns the lines of a request from all logs, sorted by time, or nil
// if there are none. It includes the lines on the leadership and on the servers
// that the request was sent to, from 2 s before the request to 2 s after it.
func (ls *LogSet) Request(id string) []*Line {
	requestLines := ls.byRequest()[id]
	if len(requestLines) == 0 {
		return nil
	}
	from, until := requestLines[0].time.Add(-elapsedBefore(requestLines)-contextTime), requestLines[len(requestLines)-1].time.Add(contextTime)
	servers := map[string]bool{}
	for _, ln := range requestLines {
		for _, name := range append(strings.Split(ln.Field("avoid"), ","), ln.Field("server")) {
			servers[name] = name != ""
		}
	}
	var all []*Line
	for _, ln := range ls.lines {
		if ln.time.Before(from) || ln.time.After(until) {
			continue
		}
		related := ln.Field("request") == "" && (leadershipMessages[ln.message] || servers[ln.Field("server")])
		if related || ln.Field("request") == id {
			all = append(all, ln)
		}
	}
	return all
}

// elapsedBefore returns how long a request had run when its first line was
// logged, or 0 if the line doesn't say. The true time may be longer.
func elapsedBefore(requestLines []*Line) time.Duration {
	return time.Duration(requestLines[0].number("total-ms") * float64(time.Millisecond))
}
