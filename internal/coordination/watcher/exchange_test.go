package watcher

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// memoryCaller calls the exchanges of other nodes without a network.
type memoryCaller struct {
	now   func() time.Time
	peers map[string]*Exchange
	calls int
}

func (mc *memoryCaller) Call(_ context.Context, address string, call messenger.Message) (messenger.Message, error) {
	mc.calls++
	peer, ok := mc.peers[address]
	if !ok {
		return nil, errors.New("unreachable")
	}
	return peer.Answer(mc.now(), call.(*messenger.LoadDigest)), nil
}

func TestOwnerReportsSumOfOtherNodesUse(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	one, two := NewExchange("n1"), NewExchange("n2")
	caller := &memoryCaller{now: clock, peers: map[string]*Exchange{"a1": one}}
	ownedBy1 := func(self bool) Owner {
		return func(string) (string, bool, bool) { return "a1", self, true }
	}
	one.Round(t.Context(), clock, map[string]router.Use{"w1": {Requests: 3}}, ownedBy1(true), caller)
	two.Round(t.Context(), clock, map[string]router.Use{"w1": {Requests: 5}}, ownedBy1(false), caller)
	one.Round(t.Context(), clock, map[string]router.Use{"w1": {Requests: 3}}, ownedBy1(true), caller)
	rp := two.apply(Report{Server: "w1", Running: 40}, now)
	require.True(t, rp.FromOwner)
	require.Equal(t, 3, rp.Others)
	require.Equal(t, 2, rp.Users)
	require.Equal(t, 5, one.apply(Report{Server: "w1"}, now).Others)

	sent := caller.calls
	two.Round(t.Context(), clock, map[string]router.Use{"w1": {Requests: 6}}, ownedBy1(false), caller)
	require.Equal(t, sent, caller.calls, "the budget lets no second round begin at once")
	delete(caller.peers, "a1")
	now = now.Add(ownerStateLifetime + time.Millisecond)
	two.Round(t.Context(), clock, map[string]router.Use{"w1": {Requests: 5}}, ownedBy1(false), caller)
	require.False(t, two.apply(Report{Server: "w1"}, now).FromOwner, "an unreachable owner's word gets old")

	now = now.Add(useExpiry)
	one.Round(t.Context(), clock, map[string]router.Use{"w1": {Requests: 3}}, ownedBy1(true), caller)
	require.Zero(t, one.apply(Report{Server: "w1"}, now).Others, "a silent node is forgotten")
}

func TestReportIsDecoded(t *testing.T) {
	now := time.Unix(1000, 0)
	text := `{"boot-id":"b","models":[{"name":"m","version":"v1"}],"adapters":["a"],"loading":["n"],"running":3,
		"waiting":1,"leaving":true,"sequence":9,"age-ms":1500,"cache-events":[{"sequence":4,"hash":7,"evicted":true}]}`
	rp, err := decodeReport(strings.NewReader(text), now)
	require.NoError(t, err)
	require.Equal(t, now.Add(-1500*time.Millisecond), rp.Taken)
	require.Equal(t, map[string]string{"m": "v1"}, rp.Models)
	require.True(t, rp.Leaving)
	require.Equal(t, uint64(7), rp.CacheEvents[0].Hash)
	_, err = decodeReport(strings.NewReader("{"), now)
	require.Error(t, err)
}

// The text of a failure that decodes was taken for a report.
func TestReportOfAFailureIsNone(t *testing.T) {
	for _, status := range []string{"000", "204", "301", "503", "600"} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer func() { _ = ln.Close() }()
		go func() {
			cn, err := ln.Accept()
			if err != nil {
				return
			}
			defer func() { _ = cn.Close() }()
			_, _ = http.ReadRequest(bufio.NewReader(cn))
			_, _ = io.WriteString(cn, "HTTP/1.1 "+status+" Trouble\r\nConnection: close\r\n\r\n{}")
		}()
		_, err = newReader().read(t.Context(), configurer.NewBackendServer("w1", configurer.WithAddress(ln.Addr().String())))
		require.Error(t, err, status)
	}
}

func encodedBytes(t *testing.T, ms messenger.Message) int {
	var buf bytes.Buffer
	en := msgpack.NewEncoder(&buf)
	en.UseCompactInts(true)
	require.NoError(t, ms.Encode(en))
	size := buf.Len()
	decoded := map[messenger.Kind]messenger.Message{
		messenger.KindLoadDigest: &messenger.LoadDigest{}, messenger.KindLoadView: &messenger.LoadView{},
	}[ms.Kind()]
	require.NoError(t, decoded.Decode(msgpack.NewDecoder(&buf)))
	require.Equal(t, ms, decoded)
	return size
}

// TestOneServerExchangeTakesLessThan60Bytes logs the bytes of one exchange with
// one server, both ways, and those of each further server.
func TestOneServerExchangeTakesLessThan60Bytes(t *testing.T) {
	size := func(servers int) (digest, view int) {
		ld := &messenger.LoadDigest{Node: "entry-0123"}
		lv := &messenger.LoadView{}
		for ix := range servers {
			name := fmt.Sprintf("w%04d", ix)
			ld.Uses = append(ld.Uses, messenger.LoadUse{Server: name, Outstanding: 3})
			lv.States = append(lv.States, messenger.LoadState{Others: 40, Users: 30, Age: 400 * time.Millisecond})
		}
		return encodedBytes(t, ld), encodedBytes(t, lv)
	}
	digestOne, viewOne := size(1)
	digestTen, viewTen := size(10)
	t.Logf("digest %d + %d a server more; view %d + %d a server more",
		digestOne, (digestTen-digestOne)/9, viewOne, (viewTen-viewOne)/9)
	require.Less(t, digestOne+viewOne, 60)
}
