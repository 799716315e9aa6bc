package messenger

import (
	"encoding/hex"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The form of a message changed, so that a build before or after reads other values. The
// parts at the end are the trailing fields, which builds of commit 7fca056, and of 65143c9
// for the pool, do not know.
func TestFormOfMessagesWithTrailingFieldsIsFixed(t *testing.T) {
	for form, ms := range map[string]Message{
		"0501cc5001a3474554a168a12fc40162020791a14191a131" + "a46465736b" + "a36c6c6d": &Delegate{ID: 1, Method: "GET", Host: "h", Target: "/", Header: []HeaderField{{Name: "A", Values: []string{"1"}}}, Body: []byte("b"), Servers: 2, Revision: 7, Caller: "desk", Pool: "llm"},
		"0501cc3c91020403cd03e8c3" + "08":                                              &FeedPoll{Positions: []FeedPosition{{Era: 2, Revision: 4, Seen: 3}}, Wait: time.Second, Inline: true, Lacks: 8},
		"0501cc3dcd03e891c2900207c200" + "c40163":                                      &FeedPage{Age: time.Second, Parts: []FeedPart{{Era: 2, Revision: 7}}, Configuration: []byte("c")},
	} {
		payload, err := (&envelope{id: 5, frameType: frameCall, message: ms}).encode()
		require.NoError(t, err)
		require.Equal(t, form, hex.EncodeToString(payload), "%T", ms)
	}
}
