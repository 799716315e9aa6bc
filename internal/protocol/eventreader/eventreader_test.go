package eventreader_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/protocol/eventreader"
)

type event struct{ name, data string }

// readAll returns all events of in and the error that ended the stream.
func readAll(in io.Reader) (all []event, end error) {
	rd := eventreader.New(in)
	for {
		ev, err := rd.Next()
		if err != nil {
			return all, err
		}
		all = append(all, event{ev.Name, string(ev.Data)})
	}
}

func TestNext(t *testing.T) {
	for name, tc := range map[string]struct {
		in   string
		want []event
		end  error
	}{
		"empty":                 {"", nil, io.EOF},
		"one":                   {"data: a\n\n", []event{{"", "a"}}, io.EOF},
		"carriage returns":      {"data: a\r\n\r\n", []event{{"", "a"}}, io.EOF},
		"named":                 {"event: error\ndata: a\n\n", []event{{"error", "a"}}, io.EOF},
		"two lines":             {"data: a\ndata:b\n\n", []event{{"", "a\nb"}}, io.EOF},
		"comment and unknown":   {": ping\n\nid: 3\ndata: a\n\n", []event{{"", "a"}}, io.EOF},
		"name without data":     {"event: x\n\ndata: a\n\n", []event{{"", "a"}}, io.EOF},
		"ends within an event":  {"data: a\n\ndata: b\n", []event{{"", "a"}}, io.ErrUnexpectedEOF},
		"ends within a line":    {"data: a\n\ndat", []event{{"", "a"}}, io.ErrUnexpectedEOF},
		"a line that is huge":   {"data: " + strings.Repeat("x", eventreader.MaxEventBytes), nil, eventreader.ErrTooLarge},
		"an event that is huge": {strings.Repeat("data: "+strings.Repeat("x", 1<<16)+"\n", 17), nil, eventreader.ErrTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			got, end := readAll(strings.NewReader(tc.in))
			require.Equal(t, tc.want, got)
			require.Equal(t, tc.end, end)
		})
	}
}

// FuzzNext checks that the events don't depend on the size of single reads.
func FuzzNext(f *testing.F) {
	for _, seed := range []string{
		"data: {\"id\":\"A\"}\n\ndata: [DONE]\n\n",
		"event: error\r\ndata: a\r\ndata\r\n\r\n",
		": c\n\n\n\ndata:\n\ndata: x", "\x00\n:\n", "data: a\rdata: b\n\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		whole, end := readAll(bytes.NewReader(in))
		single, singleEnd := readAll(iotest.OneByteReader(bytes.NewReader(in)))
		require.Equal(t, whole, single)
		require.Equal(t, end, singleEnd)
		size := 0
		for _, ev := range whole {
			size += len(ev.data)
		}
		require.LessOrEqual(t, size, len(in))
	})
}
