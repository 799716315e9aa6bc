package explainer

import (
	"cmp"
	"regexp"
	"slices"
	"strings"

	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// Cause is why a request failed or was late.
type Cause string

// The causes that are told apart.
const (
	// AdapterPlaces: all places for adapters were in use on the servers tried.
	AdapterPlaces Cause = "adapter-places-taken"
	// NoLeader: no node could order the adapter.
	NoLeader Cause = "no-leader"
	// OrderAhead: another order kept the server or the leader busy.
	OrderAhead Cause = "order-ahead"
	// NoReplica: no registered server held the model.
	NoReplica Cause = "no-replica"
	// Overload: the servers of the model had more to do than time allowed.
	Overload Cause = "overload"
	// ServerLost: a server ended or was not reached while it had the request.
	ServerLost Cause = "server-lost"
	// ServerFailed: a server answered with a failure, or not what was asked.
	ServerFailed Cause = "server-failed"
	// ServerRefused: the servers said that they did not run the request.
	ServerRefused Cause = "server-refused"
	// ServerSlow: a server took too long to the first token or between two.
	ServerSlow Cause = "server-slow"
	// Queued: the request waited in the node for too long.
	Queued Cause = "queued"
	// Deadline: the time was over; no line tells of one of the causes above.
	Deadline Cause = "deadline"
	// CallerLeft: the caller ended the connection.
	CallerLeft Cause = "caller-left"
	// NotConfigured: the node knew no configuration or no servers yet.
	NotConfigured Cause = "not-configured"
	// NotAllowed: no configuration allows the request.
	NotAllowed Cause = "not-allowed"
	// NodeLeaving: the node stops.
	NodeLeaving Cause = "node-leaving"
	// RetryBudget: it was not sent again for the sake of the other requests.
	RetryBudget Cause = "retry-budget"
	// Other: none of these.
	Other Cause = "other"
)

// byReason holds the causes that a reason names by itself.
var byReason = map[refuser.Reason]Cause{
	refuser.DeadlineUnreachable: Overload,
	refuser.QueueFull:           Overload,
	refuser.QueueBytes:          Overload,
	refuser.BackendUnreachable:  ServerLost,
	refuser.BackendSilent:       ServerLost,
	refuser.StreamBroken:        ServerLost,
	refuser.BackendFailed:       ServerFailed,
	refuser.BackendRefused:      ServerRefused,
	refuser.DeadlinePassed:      Deadline,
	refuser.Cancelled:           CallerLeft,
	refuser.NotConfigured:       NotConfigured,
	refuser.RevisionBehind:      NotConfigured,
	refuser.NotFound:            NotAllowed,
	refuser.Malformed:           NotAllowed,
	refuser.TooLarge:            NotAllowed,
	refuser.Leaving:             NodeLeaving,
	refuser.RetryBudget:         RetryBudget,
}

// adapterDetail finds why an adapter was not ready on a server.
var adapterDetail = regexp.MustCompile(`^\S+ on \S+: (.*): adapter is not ready$`)

// causeOf returns why a request ended as its line says.
func causeOf(ln *Line) Cause {
	if ln.message == messageLate {
		if 2*ln.number("queued-ms") >= ln.number("first-ms") && ln.Field("result") == "late-first" {
			return Queued
		}
		return ServerSlow
	}
	reason := refuser.Reason(ln.Field("reason"))
	if reason == refuser.NoWorker {
		return causeOfNoWorker(ln.Field("detail"))
	}
	if cause, ok := byReason[reason]; ok {
		if cause == Deadline && ln.number("servers") > 0 {
			return ServerSlow
		}
		return cause
	}
	return Other
}

func causeOfNoWorker(detail string) Cause {
	if strings.HasPrefix(detail, "no replica") {
		return NoReplica
	}
	found := adapterDetail.FindStringSubmatch(detail)
	if found == nil {
		return Other
	}
	switch found[1] {
	case "adapters-held":
		return AdapterPlaces
	case "no-fence", "owner-unreachable", "owner-changed":
		return NoLeader
	default:
		return OrderAhead
	}
}

// end returns the line that tells how a request ended, or nil.
func end(own []*Line) *Line {
	for _, message := range []string{messageFailed, messageLate, messageRefuse} {
		for _, ln := range slices.Backward(own) {
			if ln.message == message {
				return ln
			}
		}
	}
	return nil
}

// Cause returns why a request failed or was late. It reports false for one that
// no line says so of.
func (bk *Book) Cause(id string) (Cause, bool) {
	ln := end(bk.byRequest()[id])
	if ln == nil {
		return "", false
	}
	return causeOf(ln), true
}

// Row is one line of a summary.
type Row struct {
	// Cause is the cause.
	Cause Cause
	// Requests counts the requests.
	Requests int
	// Late counts those among them that were answered all the same.
	Late int
	// Example is the id of the first one.
	Example string
}

// Summary counts the requests that failed or were late by cause, the most
// frequent first.
func (bk *Book) Summary() []Row {
	rows := map[Cause]*Row{}
	requests := bk.byRequest()
	for _, ln := range bk.lines {
		id := ln.Field("request")
		own := requests[id]
		last := end(own)
		if last == nil || ln != own[0] {
			continue
		}
		cause := causeOf(last)
		rw := rows[cause]
		if rw == nil {
			rw = &Row{Cause: cause, Example: id}
			rows[cause] = rw
		}
		rw.Requests++
		if last.message == messageLate {
			rw.Late++
		}
	}
	var all []Row
	for _, rw := range rows {
		all = append(all, *rw)
	}
	slices.SortFunc(all, func(one, two Row) int {
		return cmp.Or(cmp.Compare(two.Requests, one.Requests), cmp.Compare(one.Cause, two.Cause))
	})
	return all
}
