package explainer

import (
	"cmp"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// Cause is the reason why a request failed or was late, in kebab case.
type Cause string

// The causes.
const (
	// AdapterSlotsFull means that all adapter slots of the servers tried were
	// in use.
	AdapterSlotsFull Cause = "adapter-places-taken"
	// NoLeader means that no node could send the order to load the adapter.
	NoLeader Cause = "no-leader"
	// StoreRestored means that no node could send the order because the store had
	// just returned from an older copy.
	StoreRestored Cause = "store-restored"
	// OrderAhead means that the server or the leader was busy with another
	// order.
	OrderAhead Cause = "order-ahead"
	// OrderUnanswered means that the servers tried did not answer orders.
	OrderUnanswered Cause = "order-unanswered"
	// ReplicasDown means that the addresses of all servers of the model refused
	// connections.
	ReplicasDown Cause = "replicas-down"
	// NoReplica means that no registered server had the model loaded.
	NoReplica Cause = "no-replica"
	// Overload means that the servers of the model could not answer within the
	// deadline, or that a queue was full.
	Overload Cause = "overload"
	// ServerLost means that the server stopped or was unreachable during the
	// request.
	ServerLost Cause = "server-lost"
	// ServerFailed means that the server answered with an error or with
	// something that was not requested.
	ServerFailed Cause = "server-failed"
	// ServerRefused means that the servers refused the request without running
	// it.
	ServerRefused Cause = "server-refused"
	// ServerSlow means that the server took too long to the first token or
	// between two tokens, or that the deadline passed after the request was
	// sent to a server.
	ServerSlow Cause = "server-slow"
	// Queued means that the request spent at least half of the time to its
	// first token in the queue of the node.
	Queued Cause = "queued"
	// PausedByPrefill means that the server spent much of its time on prompts when
	// the request was sent there, and its stream paused for too long.
	PausedByPrefill Cause = "paused-by-prefill"
	// TooLongForDeadline means that the answer would have ended after the
	// deadline, as others of its model did.
	TooLongForDeadline Cause = "too-long-for-deadline"
	// CallerOverShare means that the servers were overloaded and the caller had
	// got much more than its fair share.
	CallerOverShare Cause = "caller-over-share"
	// Deadline means that the deadline passed before the request was sent to a
	// server.
	Deadline Cause = "deadline"
	// CallerDisconnected means that the caller closed the connection.
	CallerDisconnected Cause = "caller-left"
	// NotConfigured means that the node had no configuration or no servers yet.
	NotConfigured Cause = "not-configured"
	// NotAllowed means that the configuration doesn't allow the request, or
	// that the request is malformed or too large.
	NotAllowed Cause = "not-allowed"
	// KeyRefused means that the request had no API key, or one that belonged to no
	// caller by the latest configuration.
	KeyRefused Cause = "key-refused"
	// ConfigurationStale means that the node did not know whether a later configuration
	// has the request's key, or that its copy was too old to accept any.
	ConfigurationStale Cause = "configuration-stale"
	// Withdrawn means that a new configuration removed the caller or something that the
	// request needed while it waited.
	Withdrawn Cause = "withdrawn"
	// NodeLeaving means that the node was stopping.
	NodeLeaving Cause = "node-leaving"
	// RetryBudget means that the retry budget, which protects other requests,
	// was used up.
	RetryBudget Cause = "retry-budget"
	// ContentExcluded means that the request, or a part of its prompt, crashed
	// backend servers.
	ContentExcluded Cause = "content-excluded"
	// OtherSoftware means that the stream could not go on at the version of the
	// servers' software at which it began.
	OtherSoftware Cause = "other-software"
	// QuotaExceeded means that the caller was over its quota, and QuotaWithoutLedger
	// that the node had no answer from the node that keeps the ledger of quotas, so
	// that it used its share of the quota alone.
	QuotaExceeded      Cause = "quota-exceeded"
	QuotaWithoutLedger Cause = "quota-without-ledger"
	// Other means none of the causes above.
	Other Cause = "other"
)

// causeByReason holds the causes that follow from the reason alone.
var causeByReason = map[refuser.Reason]Cause{
	refuser.Quota:              QuotaExceeded,
	refuser.QueueFull:          Overload,
	refuser.QueueBytes:         Overload,
	refuser.BackendUnreachable: ServerLost,
	refuser.PathLost:           ServerLost,
	refuser.BackendSilent:      ServerLost,
	refuser.StreamBroken:       ServerLost,
	refuser.BackendFailed:      ServerFailed,
	refuser.BackendRefused:     ServerRefused,
	refuser.DeadlinePassed:     Deadline,
	refuser.Cancelled:          CallerDisconnected,
	refuser.NotConfigured:      NotConfigured,
	refuser.RevisionBehind:     ConfigurationStale,
	refuser.NoCredentials:      KeyRefused,
	refuser.BadCredentials:     KeyRefused,
	refuser.Removed:            Withdrawn,
	refuser.NotFound:           NotAllowed,
	refuser.Malformed:          NotAllowed,
	refuser.TooLarge:           NotAllowed,
	refuser.Leaving:            NodeLeaving,
	refuser.RetryBudget:        RetryBudget,
	refuser.ContentExcluded:    ContentExcluded,
	refuser.VersionGone:        OtherSoftware,
	refuser.VersionUnknown:     OtherSoftware,
}

// adapterNotReady matches the detail of an adapter that was not ready on a
// server. Its group is the reason.
var adapterNotReady = regexp.MustCompile(`^\S+ on \S+: (.*): adapter is not ready$`)

// causeOf returns the cause for the final line of a request.
func causeOf(ln *Line) Cause {
	if ln.message == messageLate {
		if 2*ln.number("queued-ms") >= ln.number("first-ms") && ln.Field("result") == "late-first" {
			return Queued
		}
		if ln.Field("result") == "late-pause" && ln.number("prefill") >= muchPrefill {
			return PausedByPrefill
		}
		return ServerSlow
	}
	reason := refuser.Reason(ln.Field("reason"))
	if reason == refuser.NoWorker {
		return causeOfNoWorker(ln.Field("detail"))
	}
	if reason == refuser.DeadlineUnreachable {
		return causeOfUnreachable(ln.Field("detail"))
	}
	if cause, ok := causeByReason[reason]; ok {
		if cause == Deadline && ln.number("servers") > 0 {
			return ServerSlow
		}
		return cause
	}
	return Other
}

// muchPrefill is the fraction of a server's time in prefill from which a pause is
// put down to it.
const muchPrefill = 0.5

func causeOfUnreachable(detail string) Cause {
	switch {
	case strings.HasSuffix(detail, "caller over its share"):
		return CallerOverShare
	case strings.HasPrefix(detail, "it takes about"):
		return TooLongForDeadline
	}
	return Overload
}

func causeOfNoWorker(detail string) Cause {
	if strings.HasPrefix(detail, "no replica") {
		return NoReplica
	}
	if strings.HasPrefix(detail, "all replicas of ") {
		return ReplicasDown
	}
	found := adapterNotReady.FindStringSubmatch(detail)
	if found == nil {
		return Other
	}
	switch found[1] {
	case "adapters-held":
		return AdapterSlotsFull
	case "no-fence", "owner-unreachable", "owner-changed":
		return NoLeader
	case "unanswered-order":
		return OrderUnanswered
	default:
		return OrderAhead
	}
}

// finalLine returns the line that says how a request ended, or nil. A request
// that several nodes logged counts as failed rather than late or refused.
func finalLine(requestLines []*Line) *Line {
	for _, message := range []string{messageFailed, messageLate, messageRefused} {
		for _, ln := range slices.Backward(requestLines) {
			if ln.message == message {
				return ln
			}
		}
	}
	return nil
}

// Cause returns why a request failed or was late. It reports false if no line
// says how the request ended.
func (ls *LogSet) Cause(id string) (Cause, bool) {
	ln := finalLine(ls.byRequest()[id])
	if ln == nil {
		return "", false
	}
	return ls.causeOf(ln), true
}

// restorationTime is how long after the return of the store from an older copy
// the lack of a leader is put down to it.
const restorationTime = 6 * time.Second

// causeOf returns the cause for the final line of a request, with regard to what
// else was logged.
func (ls *LogSet) causeOf(final *Line) Cause {
	cause := causeOf(final)
	if cause == QuotaExceeded && ls.withoutLedger(final.Field("request")) {
		return QuotaWithoutLedger
	}
	if cause != NoLeader {
		return cause
	}
	for _, ln := range ls.lines {
		if ago := final.time.Sub(ln.time); ln.message == messageRestored && ago >= 0 && ago < restorationTime {
			return StoreRestored
		}
	}
	return cause
}

// maxLedgerAge is the age of a ledger's last answer in milliseconds from which a node
// spends only its shares.
const maxLedgerAge = 1500

// withoutLedger reports whether a request was refused by quota at a node that had no
// recent answer of a ledger.
func (ls *LogSet) withoutLedger(id string) bool {
	for _, ln := range ls.lines {
		if ln.message != messageQuota || ln.Field("request") != id {
			continue
		}
		if _, known := ln.fields["ledger"]; !known {
			continue
		}
		if _, known := ln.fields["ledger-age-ms"]; !known || ln.number("ledger-age-ms") > maxLedgerAge {
			return true
		}
	}
	return false
}

// Row is one line of a summary.
type Row struct {
	// Cause is the cause.
	Cause Cause
	// Requests is the number of requests with the cause.
	Requests int
	// Late is the number of them that were answered, but late.
	Late int
	// Example is the id of the first of them.
	Example string
}

// Summary counts the requests that failed or were late by cause, with the most
// frequent cause first.
func (ls *LogSet) Summary() []Row {
	rows := map[Cause]*Row{}
	requests := ls.byRequest()
	for _, ln := range ls.lines {
		id := ln.Field("request")
		requestLines := requests[id]
		final := finalLine(requestLines)
		if final == nil || ln != requestLines[0] {
			continue
		}
		cause := ls.causeOf(final)
		rw := rows[cause]
		if rw == nil {
			rw = &Row{Cause: cause, Example: id}
			rows[cause] = rw
		}
		rw.Requests++
		if final.message == messageLate {
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
