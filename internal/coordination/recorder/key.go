package recorder

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
	"time"

	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

const (
	// hashBytes is the length of the truncated SHA-256 hashes in the record.
	hashBytes = 16
	// maxKeyBytes is the longest idempotency key.
	maxKeyBytes = 255
	// uuidHexDigits is the length of a UUID without its hyphens.
	uuidHexDigits = 32
	// uuidTimeBytes is the length of the time at the start of a UUIDv7.
	uuidTimeBytes = 6
)

type hash [hashBytes]byte

// Key is an idempotency key of one caller, bound to one request.
type Key struct {
	// id is the hash of the caller and the key.
	id hash
	// time is in milliseconds since the Unix epoch.
	time int64
	// request is the hash of the request.
	request hash
}

// NewKey returns the key of a request. The time of the key is keyTime in RFC
// 3339 or, if that is empty, the time in the key, which must then be a UUIDv7.
// A key without a time is refused, since an expired record could not be
// distinguished from one that never existed.
func NewKey(caller, key, keyTime string, request ...[]byte) (Key, *refuser.Refusal) {
	if len(key) > maxKeyBytes {
		return Key{}, refuser.New(refuser.Malformed, "the idempotency key exceeds %d bytes", maxKeyBytes)
	}
	millis, rf := TimeOf(key, keyTime)
	if rf != nil {
		return Key{}, rf
	}
	return Key{id: sum([]byte(caller), []byte(key)), time: millis, request: sum(request...)}, nil
}

// TimeOf returns the time of a key in milliseconds since the Unix epoch, see
// NewKey.
func TimeOf(key, keyTime string) (int64, *refuser.Refusal) {
	if keyTime != "" {
		parsed, err := time.Parse(time.RFC3339, keyTime)
		if err != nil {
			return 0, refuser.New(refuser.KeyUntimed, "key time: found %q; allowed: a time in RFC 3339", keyTime)
		}
		return parsed.UnixMilli(), nil
	}
	millis, ok := timeOfUUID(key)
	if !ok {
		return 0, refuser.New(refuser.KeyUntimed, "the idempotency key is no UUIDv7 and comes without a time")
	}
	return millis, nil
}

// sum returns the hash of the parts. Each is hashed after its length, so that
// different lists of parts never have the same input.
func sum(parts ...[]byte) hash {
	dg := sha256.New()
	for _, part := range parts {
		_ = binary.Write(dg, binary.BigEndian, uint64(len(part)))
		_, _ = dg.Write(part)
	}
	return hash(dg.Sum(nil)[:hashBytes])
}

// timeOfUUID returns the time of a UUIDv7 in milliseconds since the Unix epoch,
// or false if the text is no UUIDv7.
func timeOfUUID(text string) (int64, bool) {
	raw, err := hex.DecodeString(strings.ReplaceAll(text, "-", ""))
	if err != nil || len(raw)*2 != uuidHexDigits || raw[uuidTimeBytes]>>4 != 7 {
		return 0, false
	}
	wide := append(make([]byte, 2), raw[:uuidTimeBytes]...)
	return int64(binary.BigEndian.Uint64(wide)), true
}
