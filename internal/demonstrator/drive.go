package demonstrator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/standin/engine"
)

// readyTimeout bounds the wait for all models at the start.
const readyTimeout = 3 * time.Minute

// Result is what a drive measured.
type Result struct {
	// Whole counts answers that were complete and the right ones.
	Whole int
	// Refused counts refusals.
	Refused int
	// Broken names the invariants that were broken.
	Broken []string
}

// AwaitReady waits until every model is reachable through every node.
func (dm *Demo) AwaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, address := range dm.Addresses() {
		for _, md := range dm.settings.Models() {
			for {
				_, err := dm.ask(ctx, address, md.Name(), 1)
				if err == nil {
					break
				}
				if ctx.Err() != nil {
					return errors.Wrapf(err, "model %q is not reachable", md.Name())
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
	return nil
}

// Drive asks each model through each node once and checks the invariants.
func (dm *Demo) Drive(ctx context.Context) (*Result, error) {
	rs := &Result{}
	for _, address := range dm.Addresses() {
		for _, md := range dm.settings.Models() {
			text, err := dm.ask(ctx, address, md.Name(), 4)
			if err != nil {
				rs.Refused++
				continue
			}
			if strings.Contains(text, ".3 ") {
				rs.Whole++
			} else {
				rs.Broken = append(rs.Broken, "whole-answer")
			}
		}
	}
	for name, eg := range dm.engines {
		if eg.Overcommits() > 0 {
			rs.Broken = append(rs.Broken, "memory-overcommitted on "+name)
		}
	}
	return rs, nil
}

// Engines returns the stand-in engines by name.
func (dm *Demo) Engines() map[string]*engine.Engine { return dm.engines }

func (dm *Demo) ask(ctx context.Context, address, model string, tokens int) (string, error) {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":"hello"}]}`, model, tokens)
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return "", err
	}
	rq.Header.Set("Authorization", "Bearer example-key-"+dm.settings.Callers()[0].Name())
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return "", err
	}
	defer func() { _ = rs.Body.Close() }()
	text, err := io.ReadAll(rs.Body)
	if err != nil {
		return "", err
	}
	if rs.StatusCode != http.StatusOK {
		return "", errors.Errorf("status %d: %s", rs.StatusCode, text)
	}
	return string(text), nil
}
