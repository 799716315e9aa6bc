package framer_test

import (
	"bytes"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/transport/framer"
)

func TestInvalidFramesAreRefused(t *testing.T) {
	for name, tc := range map[string]struct {
		stream []byte
		want   error
	}{
		"end between frames":  {nil, io.EOF},
		"end in the header":   {[]byte{framer.Version, 0}, io.ErrUnexpectedEOF},
		"end in the payload":  {[]byte{framer.Version, 0, 0, 0, 2, 1}, io.ErrUnexpectedEOF},
		"nothing but header":  {[]byte{framer.Version, 0, 0, 0, 2}, io.EOF},
		"another version":     {[]byte{framer.Version + 1, 0, 0, 0, 0}, framer.ErrVersion},
		"an excessive length": {[]byte{framer.Version, 0xff, 0, 0, 0}, framer.ErrLength},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := framer.Read(bytes.NewReader(tc.stream))
			require.ErrorIs(t, err, tc.want)
		})
	}
	require.ErrorIs(t, framer.Write(io.Discard, make([]byte, framer.MaxPayloadBytes+1)), framer.ErrLength)
}

func FuzzRead(f *testing.F) {
	f.Add([]byte{framer.Version, 0, 0, 0, 1, 7})
	f.Add([]byte{framer.Version, 0, 0, 0, 0})
	f.Add([]byte{9, 0, 0, 0, 0})
	f.Add([]byte{framer.Version, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, stream []byte) {
		rd := bytes.NewReader(stream)
		payload, err := framer.Read(rd)
		if err != nil {
			return
		}
		var encoded bytes.Buffer
		require.NoError(t, framer.Write(&encoded, payload))
		require.Equal(t, stream[:len(stream)-rd.Len()], encoded.Bytes())
	})
}
