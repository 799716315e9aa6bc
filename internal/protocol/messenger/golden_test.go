package messenger

import (
	"encoding/hex"
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var updateMessages = flag.Bool("update-messages", false, "write the golden file of all messages anew")

// moreSamples are messages of the kinds that samples lacks.
func moreSamples() []Message {
	result := RecordResult{Status: 200, ContentType: "t", Body: []byte("b")}
	begin := Begin{Shard: 3, Key: []byte("k"), Time: 1 << 40, Request: []byte("r"), Executor: "n1", Attempt: "a"}
	return []Message{
		&begin,
		&Begun{Status: BeginFinished, Executor: "n1", Attempt: "a", Result: result},
		&Finish{Begin: begin, Abandoned: true, Lost: true, Kept: true, Result: result},
		&Finished{Recorded: true},
		&JobNotice{Shard: 3, ID: "j", Cancel: true, Running: true},
		&ShareRequest{From: "n1", Limit: "l", Number: 5, Wanted: 2.5, Extend: []uint64{1}, Return: []uint64{1 << 63}},
		&ShareGrant{Amount: 2.5, Extended: []uint64{1}, Recall: 0.5},
		&LoadDigest{Node: "n1", Uses: []LoadUse{{Server: "w1", Outstanding: 2, Backlog: 30 * time.Millisecond, Prefill: 0.25, Slowness: 1.5}}},
		&LoadView{States: []LoadState{{Others: 2, Users: 3, Backlog: 30 * time.Millisecond, Prefill: 0.5, Slowness: 1.5, Leaving: true, Age: time.Second}}},
		&AdapterUse{Used: []AdapterAt{{Server: "w1", Adapter: "a"}}},
		&Retire{Server: "w1", Model: "m", Duration: time.Second},
		&LimitEnd{Server: "w1"},
		&DelegatePart{ID: 1, Revision: 7, Pool: "llm", Length: 5, Offset: 2, Data: []byte("b")},
		&DelegateLast{Delegate{ID: 1, Method: "GET", Host: "h", Target: "/", Header: []HeaderField{{Name: "A", Values: []string{"1"}}}, Body: []byte("b"), Servers: 2, Revision: 7, Caller: "desk", Pool: "llm"}},
	}
}

// sampleOf returns a message of the kind. One without fields needs no sample.
func sampleOf(kind Kind) Message {
	for _, ms := range append(samples(), moreSamples()...) {
		if ms.Kind() == kind {
			return ms
		}
	}
	return builders[kind]()
}

func payloadOf(t *testing.T, ms Message) []byte {
	t.Helper()
	payload, err := (&envelope{id: 5, frameType: frameCall, message: ms}).encode()
	require.NoError(t, err)
	return payload
}

// readGolden returns the payloads of a golden file by kind.
func readGolden(t *testing.T, name string) map[Kind][]byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	require.NoError(t, err)
	payloads := map[Kind][]byte{}
	for line := range strings.Lines(string(text)) {
		var kind Kind
		var name, digits string
		_, err := fmt.Sscan(line, &kind, &name, &digits)
		require.NoError(t, err, line)
		payloads[kind], err = hex.DecodeString(digits)
		require.NoError(t, err, line)
	}
	return payloads
}

// Guards against changes to the form of a message, which nodes of other builds would
// not understand. A new kind, or a field that was added at the end of one, is written
// with go test ./internal/protocol/messenger -run Golden -update-messages.
func TestMessagesMatchGoldenFile(t *testing.T) {
	kinds := slices.Sorted(maps.Keys(builders))
	if *updateMessages {
		var text strings.Builder
		for _, kind := range kinds {
			ms := sampleOf(kind)
			_, _ = fmt.Fprintf(&text, "%d %s %x\n", kind, strings.TrimPrefix(fmt.Sprintf("%T", ms), "*messenger."), payloadOf(t, ms))
		}
		require.NoError(t, os.WriteFile(filepath.Join("testdata", "messages.golden"), []byte(text.String()), 0o600))
	}
	golden := readGolden(t, "messages.golden")
	require.Equal(t, kinds, slices.Sorted(maps.Keys(golden)), "every kind has a line")
	for kind, payload := range golden {
		ms := sampleOf(kind)
		require.Equal(t, fmt.Sprintf("%x", payload), fmt.Sprintf("%x", payloadOf(t, ms)), "%T", ms)
		for _, more := range [][]byte{nil, {0xa1, 'x'}, {0x93, 1, 2, 3}} {
			ev, err := decodeEnvelope(append(slices.Clone(payload), more...))
			require.NoError(t, err, "%T", ms)
			require.Equal(t, ms, ev.message, "a field that a later build adds at the end is ignored")
		}
	}
}

// earlierGolden are the files with the messages of builds that may run beside this one.
// They are never written anew.
var earlierGolden = []string{"messages-7fca056.golden"}

// Guards against messages that an earlier build does not understand, or that are not
// understood when they come from one: its fields come first, and those that it lacks
// may be missing.
func TestMessagesOfEarlierBuildsAreUnderstood(t *testing.T) {
	for _, name := range earlierGolden {
		for kind, payload := range readGolden(t, name) {
			ev, err := decodeEnvelope(payload)
			require.NoError(t, err, "kind %d of %s", kind, name)
			require.Equal(t, kind, ev.message.Kind())
			again := payloadOf(t, ev.message)
			require.GreaterOrEqual(t, len(again), len(payload))
			require.Equal(t, fmt.Sprintf("%x", payload), fmt.Sprintf("%x", again[:len(payload)]), "%T", ev.message)
		}
	}
}
