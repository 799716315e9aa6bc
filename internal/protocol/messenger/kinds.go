package messenger

// The kinds of messages. A number is never given to another message.
const (
	KindPing         Kind = 1
	KindPong         Kind = 2
	KindFetch        Kind = 3
	KindFetched      Kind = 4
	KindBegin        Kind = 10
	KindBegun        Kind = 11
	KindFinish       Kind = 12
	KindFinished     Kind = 13
	KindJobNotice    Kind = 14
	KindShareRequest Kind = 20
	KindShareGrant   Kind = 21
	KindLoadDigest   Kind = 30
	KindLoadView     Kind = 31
	KindAdapterLoad  Kind = 40
	KindAdapterState Kind = 41
)

// builders makes an empty message of each kind for decoding.
var builders = map[Kind]func() Message{
	KindPing: func() Message { return &Ping{} },
	KindPong: func() Message { return &Pong{} },

	KindShareRequest: func() Message { return &ShareRequest{} },
	KindShareGrant:   func() Message { return &ShareGrant{} },
}
