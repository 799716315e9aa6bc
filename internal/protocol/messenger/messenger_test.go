package messenger

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/transport/framer"
)

func sample() Gossip {
	return Gossip{
		Sender: MemberUpdate{Presence: Presence{ID: "n1", Zone: "z", Region: "r", Revision: 7}, Incarnation: 3, State: 1},
		PeerUpdate: PeerUpdate{
			Updates: []MemberUpdate{{Presence: Presence{ID: "n2", Leaving: true}, Incarnation: 9, State: 2}},
			Entries: []GossipEntry{{Key: "k", Epoch: 1, Seq: 2, Payload: []byte("v")}},
		},
	}
}

func samples() []Message {
	return []Message{
		&Ping{Gossip: sample()},
		&Pong{Gossip: sample()},
		&Relay{Gossip: sample(), Target: "10.0.0.1:7"},
		&Sync{Digest: []uint32{1, 0, 3}, Limit: 4},
		&Synced{PeerUpdate: sample().PeerUpdate},
		&RevisionFetch{AtLeast: 4, Part: 1},
		&RevisionFetched{Head: []byte("h"), Part: []byte("p")},
		&Release{Resource: "planner", Epoch: 2, Requester: "n1"},
		&Released{Done: true},
		&AdapterLoad{From: "n1", Server: "w1", Adapter: "a", Others: []string{"w2"}},
		&AdapterState{Ready: true, Reason: "r", Others: []AdapterStanding{StandingRoom}},
		&DemandReport{Node: "n1", Models: []ModelDemand{{Model: "m", Load: 2.5}}},
		&DemandReceived{Epoch: 2, Number: 7},
		&PlanFetch{Epoch: 2, Number: 7},
		&PlanFetched{Record: []byte("r")},
		&FeedPoll{Positions: []FeedPosition{{Era: 2, Revision: 4, Seen: 3}, {}}, Wait: 200 * time.Millisecond, Inline: true, Lacks: 8},
		&FeedPage{Age: 30 * time.Millisecond, Parts: []FeedPart{
			{Whole: true, Changes: []FeedChange{{Key: "k", Value: []byte("v"), Revision: 4, Lease: 9}}, Era: 2, Revision: 7},
			{Changes: []FeedChange{{Key: "k", Value: []byte{}, Revision: 6, Deleted: true}, {Key: "l", Value: []byte{}, Revision: 7, Omitted: true}}, Down: true, Back: time.Second},
		}, Configuration: []byte("c")},
		&CrashReport{Server: "w1", Age: 30 * time.Millisecond, Marks: []CrashMark{{Content: 1 << 63, Answering: true, InFlight: time.Second, Request: 9}}},
		&Exclude{Content: 7, Failures: 2, Age: time.Minute},
		&Vouch{Vouchers: []Voucher{{Content: 7, Age: time.Millisecond}}},
		&Vouched{Vouchers: []Voucher{{Content: 7, Age: time.Millisecond}}},
		&Trial{Content: 7},
		&StreamsBegun{Groups: []BegunStreams{{Pool: "p", Software: "v1", IDs: []uint64{1, 1 << 63}}}},
		&StreamQuery{ID: 1 << 63, Sole: []PoolSoftware{{Pool: "p", Software: "v1"}}, Route: "h/s/"},
		&Delegate{ID: 1 << 63, Method: "POST", Host: "h", Target: "/p", Header: []HeaderField{{Name: "A", Values: []string{"1", "2"}}}, Body: []byte("b"), Servers: 1, Revision: 7, Caller: "c", Pool: "p"},
		&DelegateNext{ID: 1 << 63},
		&DelegateCancel{ID: 1 << 63},
		&DelegatePage{Status: 200, Header: []HeaderField{{Name: "A", Values: []string{"1"}}}, Data: []byte("d"), Ended: true, Broken: true},
		&PathQuery{Servers: []string{"w1"}},
		&PathAnswer{Reaches: true},
		&StreamOrigin{Known: true, Pool: "p", Software: "v1", Contradicts: true, Covers: true},
		&TrialAnswer{Granted: true},
		&QuotaReport{Regular: true, Leaving: true, Node: "n1", Incarnation: 1 << 31, Number: 300, Term: 1<<40 | 7, Seen: 299, Callers: 1 << 30, Uses: []QuotaUse{
			{Caller: 3, Spent: 55_000, Refunded: 9_000, Demand: 120, Prefetch: true, Waiting: 64_000, Head: 55_000, Share: 17}, {Caller: 200, Spent: 5},
		}},
		&QuotaReport{Incarnation: 7, Number: 2, Uses: []QuotaUse{{Caller: 3, Waiting: 9_000, Head: 9_000}}},
		&QuotaGrant{Kept: true, Fallback: true, Term: 1<<40 | 7, Report: 44, Parts: []QuotaPart{
			{Caller: 3, Granted: true, Units: 55_000, Shared: true, Share: 17, Wait: 120 * time.Millisecond, Spread: time.Second}, {Caller: 200, Shared: true},
		}},
		&QuotaGrant{},
		&Check{},
		&Checked{Node: "n1", Build: BuildLatest},
		&ServerNotice{Marks: []ServerMark{{Server: "w1", Boot: 1 << 31, Reached: true, Origin: 7, Age: 30 * time.Millisecond}}},
	}
}

// earlierForms returns a message as earlier builds encode it, without the fields that were
// added at its end, by the length of these.
func earlierForms(ms Message) map[int]Message {
	switch tm := ms.(type) {
	case *Delegate:
		beforePool, beforeCaller := *tm, *tm
		beforePool.Pool = ""
		beforeCaller.Pool, beforeCaller.Caller = "", ""
		return map[int]Message{1 + len(tm.Pool): &beforePool, 2 + len(tm.Pool) + len(tm.Caller): &beforeCaller}
	case *FeedPoll:
		earlier := *tm
		earlier.Lacks = 0
		return map[int]Message{1: &earlier}
	case *FeedPage:
		earlier := *tm
		earlier.Configuration = nil
		return map[int]Message{2 + len(tm.Configuration): &earlier}
	case *StreamQuery:
		earlier := *tm
		earlier.Route = ""
		return map[int]Message{1 + len(tm.Route): &earlier}
	case *StreamOrigin:
		earlier := *tm
		earlier.Covers = false
		return map[int]Message{1: &earlier}
	case *Checked:
		return map[int]Message{1: &Checked{Node: tm.Node}}
	case *AdapterLoad:
		earlier := *tm
		earlier.Others = nil
		return map[int]Message{4: &earlier}
	case *AdapterState:
		earlier := *tm
		earlier.Others = nil
		return map[int]Message{2: &earlier}
	}
	return nil
}

// A message of a later build must not end the other calls on its connection.
func TestUnknownKindIsRejected(t *testing.T) {
	sv := NewServer(HandlerFunc(func(context.Context, Message) (Message, error) { return &Released{Done: true}, nil }))
	near, far := net.Pipe()
	require.True(t, sv.track(far))
	go sv.serveConn(far)
	t.Cleanup(sv.Close)
	unknown, err := (&envelope{id: 5, frameType: frameCall, message: &Released{}}).encode()
	require.NoError(t, err)
	unknown[2] = 0xcc
	unknown = append(unknown[:3], 0xf0)
	require.NoError(t, framer.Write(near, unknown))
	payload, err := framer.Read(near)
	require.NoError(t, err)
	ev, err := decodeEnvelope(payload)
	require.NoError(t, err)
	require.Equal(t, frameReject, ev.frameType)
	require.Equal(t, uint64(5), ev.id)
	known, err := (&envelope{id: 6, frameType: frameCall, message: &Check{}}).encode()
	require.NoError(t, err)
	require.NoError(t, framer.Write(near, known))
	_, err = framer.Read(near)
	require.NoError(t, err, "the connection goes on")
}

// A message was changed on its way, a frame that is cut short passed for whole, or a
// message of an earlier build was rejected.
func TestDecodeReturnsTheEncodedMessage(t *testing.T) {
	for _, ms := range samples() {
		payload, err := (&envelope{id: 5, frameType: frameCall, message: ms}).encode()
		require.NoError(t, err)
		ev, err := decodeEnvelope(payload)
		require.NoError(t, err)
		require.Equal(t, ms, ev.message)
		earlier := earlierForms(ms)
		for cut := range payload {
			ev, err := decodeEnvelope(payload[:cut])
			if form, ok := earlier[len(payload)-cut]; ok {
				require.NoError(t, err)
				require.Equal(t, form, ev.message)
				continue
			}
			require.Error(t, err, "a frame that is cut short is an error")
		}
		_, err = decodeEnvelope(append(payload, 0xa1, 'x'))
		require.NoError(t, err, "a field that a later build adds at the end is ignored")
	}
}

func FuzzDecodeEnvelope(f *testing.F) {
	for _, ms := range samples() {
		payload, err := (&envelope{id: 5, frameType: frameAnswer, message: ms}).encode()
		require.NoError(f, err)
		f.Add(payload)
	}
	f.Add([]byte{1, 9})
	f.Add([]byte{1, byte(frameReject), 0xa1, 'x'})
	f.Add([]byte{0, byte(frameHeartbeat)})
	f.Fuzz(func(t *testing.T, payload []byte) {
		ev, err := decodeEnvelope(payload)
		if err != nil {
			return
		}
		again, err := ev.encode()
		require.NoError(t, err)
		same, err := decodeEnvelope(again)
		require.NoError(t, err)
		once, err := same.encode()
		require.NoError(t, err)
		require.Equal(t, again, once)
	})
}

// lossyPipe forwards bytes between two pipes. After close it drops them but
// keeps both ends open, like a middlebox that lost its connection state.
type lossyPipe struct {
	net.Conn
	mu       sync.Mutex
	dropping bool
}

func (lp *lossyPipe) isDropping() bool {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	return lp.dropping
}

func (lp *lossyPipe) close() {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	lp.dropping = true
}

// forward copies in one direction and drops all bytes after close.
func (lp *lossyPipe) forward(to io.Writer, from io.Reader) {
	buf := make([]byte, 4096)
	for {
		count, err := from.Read(buf)
		if err != nil {
			return
		}
		if lp.isDropping() {
			continue
		}
		if _, err := to.Write(buf[:count]); err != nil {
			return
		}
	}
}

// pipeDial returns a DialFunc that connects to the server through lossy pipes
// and appends them to pipes.
func pipeDial(sv *Server, pipes *[]*lossyPipe) DialFunc {
	return func(context.Context, string) (net.Conn, error) {
		near, inner := net.Pipe()
		outer, far := net.Pipe()
		lp := &lossyPipe{Conn: near}
		go lp.forward(outer, inner)
		go lp.forward(inner, outer)
		sv.track(far)
		go sv.serveConn(far)
		*pipes = append(*pipes, lp)
		return near, nil
	}
}

func TestSilentConnectionIsReplacedWithinTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sv := NewServer(HandlerFunc(func(context.Context, Message) (Message, error) { return &Released{Done: true}, nil }))
		var pipes []*lossyPipe
		const silence = 1500 * time.Millisecond
		pl := NewPool(WithSilenceTimeout(silence), WithDial(pipeDial(sv, &pipes)))
		call := func() error {
			_, err := pl.Call(t.Context(), "peer", &Release{Resource: "r"})
			return err
		}
		require.NoError(t, call())
		time.Sleep(idleTimeout / 2)
		require.NoError(t, call(), "an idle connection is not silent")
		require.Len(t, pipes, 1)
		pipes[0].close()
		began := time.Now()
		require.True(t, Is(call(), Lost), "sent and not answered")
		took := time.Since(began)
		require.LessOrEqual(t, took, silence+silence/heartbeatsPerTimeout)
		require.NoError(t, call(), "the next call opens a new connection")
		require.Len(t, pipes, 2)
		t.Logf("a new connection was open after %v", took)
		pl.Close()
		sv.Close()
		for _, lp := range pipes {
			_ = lp.Conn.Close()
		}
	})
}

// Calls with a shorter deadline than the silence timeout must still lead to a
// new connection.
func TestSilenceIsDetectedDespiteShortCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sv := NewServer(HandlerFunc(func(context.Context, Message) (Message, error) { return &Released{}, nil }))
		var pipes []*lossyPipe
		pl := NewPool(WithDial(pipeDial(sv, &pipes)))
		short := func() error {
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			_, err := pl.Call(ctx, "peer", &Release{})
			return err
		}
		require.NoError(t, short())
		pipes[0].close()
		began := time.Now()
		for short() != nil {
			require.Less(t, time.Since(began), 3*time.Second)
		}
		t.Logf("a new connection was open after %v", time.Since(began))
		time.Sleep(2 * idleTimeout)
		require.NoError(t, short())
		require.Len(t, pipes, 3, "the second was idle for long")
		pl.Close()
		sv.Close()
		_ = pipes[0].Conn.Close()
	})
}

func TestSlowAnswerKeepsTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sv := NewServer(HandlerFunc(func(context.Context, Message) (Message, error) {
			time.Sleep(time.Minute)
			return &Released{}, nil
		}))
		var pipes []*lossyPipe
		pl := NewPool(WithDial(pipeDial(sv, &pipes)))
		_, err := pl.Call(t.Context(), "peer", &Release{})
		require.NoError(t, err)
		pl.Close()
		sv.Close()
	})
}

// A message that did not fit into a frame closed its connection, with all other calls on it.
func TestMessageThatIsTooLargeFailsAlone(t *testing.T) {
	large := &Delegate{Body: make([]byte, 5<<20)}
	end, began := make(chan struct{}), make(chan struct{})
	server := NewServer(HandlerFunc(func(_ context.Context, call Message) (Message, error) {
		switch tc := call.(type) {
		case *DelegateNext:
			close(began)
			<-end
		case *DelegateCancel:
			return large, nil
		case *Delegate:
			return &DelegatePage{Data: tc.Body}, nil
		}
		return &DelegatePage{Ended: true}, nil
	}))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(ln) }()
	pl := NewPool()
	defer func() {
		pl.Close()
		server.Close()
		_ = ln.Close()
	}()
	pending := make(chan error, 1)
	go func() {
		_, err := pl.Call(t.Context(), ln.Addr().String(), &DelegateNext{ID: 1})
		pending <- err
	}()
	<-began
	_, err = pl.Call(t.Context(), ln.Addr().String(), large)
	require.True(t, Is(err, TooLarge), "%v", err)
	_, err = pl.Call(t.Context(), ln.Addr().String(), &DelegateCancel{ID: 1})
	require.True(t, Is(err, Rejected), "an answer that is too large: %v", err)
	close(end)
	require.NoError(t, <-pending)
}
