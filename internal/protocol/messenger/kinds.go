package messenger

// The kinds of messages. Numbers are never reused for another message.
const (
	KindPing            Kind = 1
	KindPong            Kind = 2
	KindRevisionFetch   Kind = 3
	KindRevisionFetched Kind = 4
	KindRelay           Kind = 5
	KindSync            Kind = 6
	KindSynced          Kind = 7
	KindRelease         Kind = 8
	KindReleased        Kind = 9
	KindBegin           Kind = 10
	KindBegun           Kind = 11
	KindFinish          Kind = 12
	KindFinished        Kind = 13
	KindJobNotice       Kind = 14
	KindShareRequest    Kind = 20
	KindShareGrant      Kind = 21
	KindQuotaReport     Kind = 22
	KindQuotaGrant      Kind = 23
	KindLoadDigest      Kind = 30
	KindLoadView        Kind = 31
	KindAdapterLoad     Kind = 40
	KindAdapterState    Kind = 41
	KindAdapterUse      Kind = 42
	KindAdapterUsed     Kind = 43
	KindDemandReport    Kind = 50
	KindDemandReceived  Kind = 51
	KindPlanFetch       Kind = 52
	KindPlanFetched     Kind = 53
	KindRetire          Kind = 54
	KindRetired         Kind = 55
	KindLimitEnd        Kind = 56
	KindLimitEnded      Kind = 57
	KindCrashReport     Kind = 70
	KindExclude         Kind = 71
	KindVouch           Kind = 72
	KindVouched         Kind = 73
	KindTrial           Kind = 74
	KindTrialAnswer     Kind = 75
	KindStreamsBegun    Kind = 76
	KindStreamsNoted    Kind = 77
	KindStreamQuery     Kind = 78
	KindStreamOrigin    Kind = 79
	KindDelegate        Kind = 80
	KindDelegateNext    Kind = 81
	KindDelegateCancel  Kind = 82
	KindDelegatePage    Kind = 83
	KindPathQuery       Kind = 84
	KindPathAnswer      Kind = 85
	KindDelegatePart    Kind = 86
	KindDelegateLast    Kind = 87
	KindFeedPoll        Kind = 60
	KindFeedPage        Kind = 61
	KindCheck           Kind = 62
	KindChecked         Kind = 63
	KindServerNotice    Kind = 100
	KindServerNoted     Kind = 101
)

// builders return an empty message of each kind to decode into.
var builders = map[Kind]func() Message{
	KindPing:            func() Message { return &Ping{} },
	KindPong:            func() Message { return &Pong{} },
	KindRevisionFetch:   func() Message { return &RevisionFetch{} },
	KindRevisionFetched: func() Message { return &RevisionFetched{} },
	KindRelay:           func() Message { return &Relay{} },
	KindSync:            func() Message { return &Sync{} },
	KindSynced:          func() Message { return &Synced{} },
	KindRelease:         func() Message { return &Release{} },
	KindReleased:        func() Message { return &Released{} },

	KindLoadDigest:   func() Message { return &LoadDigest{} },
	KindLoadView:     func() Message { return &LoadView{} },
	KindShareRequest: func() Message { return &ShareRequest{} },
	KindShareGrant:   func() Message { return &ShareGrant{} },
	KindQuotaReport:  func() Message { return &QuotaReport{} },
	KindQuotaGrant:   func() Message { return &QuotaGrant{} },
	KindAdapterLoad:  func() Message { return &AdapterLoad{} },
	KindAdapterState: func() Message { return &AdapterState{} },
	KindAdapterUse:   func() Message { return &AdapterUse{} },
	KindAdapterUsed:  func() Message { return &AdapterUsed{} },

	KindDemandReport:   func() Message { return &DemandReport{} },
	KindDemandReceived: func() Message { return &DemandReceived{} },
	KindPlanFetch:      func() Message { return &PlanFetch{} },
	KindPlanFetched:    func() Message { return &PlanFetched{} },
	KindRetire:         func() Message { return &Retire{} },
	KindRetired:        func() Message { return &Retired{} },
	KindLimitEnd:       func() Message { return &LimitEnd{} },
	KindLimitEnded:     func() Message { return &LimitEnded{} },

	KindCrashReport: func() Message { return &CrashReport{} },
	KindExclude:     func() Message { return &Exclude{} },
	KindVouch:       func() Message { return &Vouch{} },
	KindVouched:     func() Message { return &Vouched{} },
	KindTrial:       func() Message { return &Trial{} },
	KindTrialAnswer: func() Message { return &TrialAnswer{} },

	KindStreamsBegun: func() Message { return &StreamsBegun{} },
	KindStreamsNoted: func() Message { return &StreamsNoted{} },
	KindStreamQuery:  func() Message { return &StreamQuery{} },
	KindStreamOrigin: func() Message { return &StreamOrigin{} },

	KindDelegate:       func() Message { return &Delegate{} },
	KindDelegateNext:   func() Message { return &DelegateNext{} },
	KindDelegateCancel: func() Message { return &DelegateCancel{} },
	KindDelegatePage:   func() Message { return &DelegatePage{} },
	KindPathQuery:      func() Message { return &PathQuery{} },
	KindPathAnswer:     func() Message { return &PathAnswer{} },
	KindDelegatePart:   func() Message { return &DelegatePart{} },
	KindDelegateLast:   func() Message { return &DelegateLast{} },

	KindFeedPoll: func() Message { return &FeedPoll{} },
	KindFeedPage: func() Message { return &FeedPage{} },
	KindCheck:    func() Message { return &Check{} },
	KindChecked:  func() Message { return &Checked{} },

	KindServerNotice: func() Message { return &ServerNotice{} },
	KindServerNoted:  func() Message { return &ServerNoted{} },
}
