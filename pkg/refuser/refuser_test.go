package refuser_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

func TestDecodeRestoresEveryEncodedRefusal(t *testing.T) {
	for _, rn := range refuser.Reasons() {
		for _, oc := range []refuser.Outcome{refuser.NotRun, refuser.Unknown} {
			rf := refuser.New(rn, "model %q", "<ü\n>").WithOutcome(oc).WithRetryAfter(1500 * time.Millisecond)
			decoded, err := refuser.Decode(refuser.Encode(rf))
			require.NoError(t, err)
			require.Equal(t, rf, decoded)
			require.GreaterOrEqual(t, rf.Status(), 400)
		}
	}
}

func TestDecodeRejectsOtherBodies(t *testing.T) {
	for _, body := range []string{``, `{}`, `[]`, `{"error":{"reason":"new-reason"}}`, `{"error":{"message":"x"}}`, `{"error":"x"}`} {
		_, err := refuser.Decode([]byte(body))
		require.Error(t, err, body)
	}
	rf, err := refuser.Decode([]byte(`{"error":{"reason":"internal","outcome":"surely-not-run"}}`))
	require.NoError(t, err)
	require.Equal(t, refuser.Unknown, rf.Outcome(), "an outcome that is not known vouches for nothing")
}
