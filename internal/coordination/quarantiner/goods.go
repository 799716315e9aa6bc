package quarantiner

import (
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/fingerprinter"
)

// goods has the times of the last completed answers by content, of the present
// period and the one before. The zero value is empty.
type goods struct {
	present, former map[fingerprinter.Content]time.Time
	since           time.Time
}

// note records a completed answer. It starts a new period if the present one is
// over or full; a content that is in use is soon recorded again.
func (gd *goods) note(now time.Time, content fingerprinter.Content, at time.Time) {
	if !at.After(gd.last(content)) {
		return
	}
	if gd.present == nil || len(gd.present) >= maxGood || now.Sub(gd.since) >= goodLifetime {
		gd.former, gd.present, gd.since = gd.present, make(map[fingerprinter.Content]time.Time, len(gd.present)), now
	}
	gd.present[content] = at
}

// last returns when an answer with the content was last completed.
func (gd *goods) last(content fingerprinter.Content) time.Time {
	if at, ok := gd.present[content]; ok {
		return at
	}
	return gd.former[content]
}
