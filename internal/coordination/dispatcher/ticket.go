package dispatcher

import (
	"github.com/lagoonpass/lagoonpass/internal/coordination/admitter"
	"github.com/lagoonpass/lagoonpass/internal/protocol/prefixer"
)

// bytesPerToken is the assumed average length of a token in the prompt.
const bytesPerToken = 4

func (ex *execution) ticket() *admitter.Ticket {
	rq := ex.request
	return &admitter.Ticket{
		ID:           rq.ID,
		Caller:       rq.Caller,
		Class:        rq.Class,
		Model:        rq.Model,
		Adapter:      rq.Adapter,
		Bytes:        len(rq.Body),
		PromptTokens: len(rq.Prompt)/bytesPerToken + 1,
		MaxTokens:    max(rq.MaxTokens-ex.progress.next, 1),
		Prefixes:     prefixer.Prefixes(rq.Prompt),
		Deadline:     rq.Deadline,
		Avoid:        ex.avoid,
		Resumed:      ex.progress.next > 0,
		Charged:      ex.ds.charges,
	}
}
