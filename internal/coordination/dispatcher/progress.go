package dispatcher

import (
	"encoding/json"

	"github.com/go-faster/errors"
)

// Errors in an answer.
var (
	errOtherRequest = errors.New("answer belongs to another request")
	errGap          = errors.New("tokens are missing or out of order")
	errNoIndex      = errors.New("a resumed stream does not number its tokens")
	errVersion      = errors.New("tokens come from another version than the stream began at")
	errEngine       = errors.New("the engine reported an error")
)

// chunk holds the checked fields of a stream event or of an answer that is not
// a stream.
type chunk struct {
	ID         string `json:"id"`
	TokenIndex *int   `json:"token_index"`
	// Fingerprint names the version of the weights and of the engine.
	Fingerprint string          `json:"system_fingerprint"`
	Error       json.RawMessage `json:"error"`
	Choices     []choice        `json:"choices"`
	Usage       usage           `json:"usage"`
}

type usage struct {
	CompletionTokens json.Number `json:"completion_tokens"`
}

type choice struct {
	Index        int     `json:"index"`
	FinishReason *string `json:"finish_reason"`
	Text         string  `json:"text"`
	Delta        struct {
		Content string `json:"content"`
	} `json:"delta"`
}

func (ck *chunk) hasContent() bool {
	for _, ch := range ck.Choices {
		if ch.Text != "" || ch.Delta.Content != "" {
			return true
		}
	}
	return false
}

func (ck *chunk) hasFinish() bool {
	for _, ch := range ck.Choices {
		if ch.FinishReason != nil && *ch.FinishReason != "" {
			return true
		}
	}
	return false
}

// progress is the state of an answer over all attempts.
type progress struct {
	id string
	// from is the number of tokens that the caller had before this request.
	from int
	// next is the index of the next expected token.
	next int
	// chunks counts the chunks that were forwarded.
	chunks int
	// unnumbered says that a token came without an index.
	unnumbered bool
	// fingerprint is that of the first chunk, or empty if it had none.
	fingerprint string
	// choices maps the index of each choice to whether it is finished.
	choices map[int]bool
}

func newProgress(rq *Request) *progress {
	return &progress{id: rq.ID, from: rq.ResumeFrom, next: rq.ResumeFrom, fingerprint: rq.ResumeFingerprint, choices: map[int]bool{}}
}

// begun reports whether the caller already has a part of the answer.
func (pr *progress) begun() bool { return pr.chunks > 0 || pr.from > 0 }

// resumable reports whether the stream can be resumed at a token index.
func (pr *progress) resumable() bool { return !pr.unnumbered && len(pr.choices) <= 1 }

// finished reports whether every choice has its finish reason.
func (pr *progress) finished() bool {
	for _, done := range pr.choices {
		if !done {
			return false
		}
	}
	return len(pr.choices) > 0
}

// accept checks the next chunk of a stream and reports whether to forward it.
// It skips a chunk that the caller already has. resumed says that the attempt
// resumes a stream.
func (pr *progress) accept(ck *chunk, resumed bool) (bool, error) {
	if len(ck.Error) > 0 {
		return false, errEngine
	}
	if ck.ID != pr.id {
		return false, errOtherRequest
	}
	if pr.fingerprint != "" && ck.Fingerprint != "" && ck.Fingerprint != pr.fingerprint {
		return false, errVersion
	}
	if ck.hasContent() {
		keep, err := pr.acceptToken(ck, resumed)
		if err != nil || !keep {
			return false, err
		}
	} else if repeated, err := pr.checkEnd(ck, resumed); repeated || err != nil {
		return false, err
	}
	for _, ch := range ck.Choices {
		pr.choices[ch.Index] = pr.choices[ch.Index] || ch.FinishReason != nil && *ch.FinishReason != ""
	}
	if pr.fingerprint == "" {
		pr.fingerprint = ck.Fingerprint
	}
	pr.chunks++
	return true, nil
}

// acceptToken checks the token index of a chunk with content and reports
// whether to forward the chunk.
func (pr *progress) acceptToken(ck *chunk, resumed bool) (bool, error) {
	if ck.TokenIndex == nil {
		if resumed {
			return false, errNoIndex
		}
		pr.unnumbered = true
		pr.next++
		return true, nil
	}
	if *ck.TokenIndex < pr.next {
		return false, nil
	}
	if *ck.TokenIndex > pr.next {
		return false, errGap
	}
	pr.next++
	return true, nil
}

// checkEnd reports whether a chunk without content repeats one that was
// forwarded. It returns errGap for a finish reason with tokens missing before.
func (pr *progress) checkEnd(ck *chunk, resumed bool) (bool, error) {
	if !ck.hasFinish() {
		return resumed && pr.chunks > 0 && len(ck.Choices) > 0, nil
	}
	if ck.TokenIndex != nil && *ck.TokenIndex != pr.next {
		return false, errGap
	}
	return pr.finished(), nil
}
