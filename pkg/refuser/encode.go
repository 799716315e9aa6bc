package refuser

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
)

// Decode parses the JSON body of an HTTP answer. It returns an error if the
// body is not a refusal with one of the defined reasons. An undefined outcome
// is decoded as Unknown.
func Decode(body []byte) (*Refusal, error) {
	var wire map[string]map[string]any
	if err := json.Unmarshal(body, &wire); err != nil {
		return nil, errors.Wrap(err, "decode refusal")
	}
	fields := wire["error"]
	rs := Reason(text(fields["reason"]))
	if _, ok := statuses[rs]; !ok {
		return nil, errors.Errorf("decode refusal: undefined reason %q", rs)
	}
	oc := Outcome(text(fields["outcome"]))
	if oc != NotRun {
		oc = Unknown
	}
	millis, _ := fields["retry-after-ms"].(float64)
	return &Refusal{
		reason:     rs,
		outcome:    oc,
		message:    text(fields["message"]),
		retryAfter: time.Duration(millis) * time.Millisecond,
	}, nil
}

// Encode returns the refusal as the JSON body of an HTTP answer. The retry
// delay is in milliseconds.
func Encode(rf *Refusal) []byte {
	fields := map[string]any{
		"type":    "refusal",
		"reason":  string(rf.reason),
		"outcome": string(rf.outcome),
		"message": rf.message,
	}
	if rf.retryAfter > 0 {
		fields["retry-after-ms"] = rf.retryAfter.Milliseconds()
	}
	body, err := json.Marshal(map[string]any{"error": fields})
	if err != nil {
		return []byte(`{"error":{"type":"refusal","reason":"internal","outcome":"unknown"}}`)
	}
	return body
}

func text(vl any) string {
	tx, _ := vl.(string)
	return tx
}
