package engine

import (
	"encoding/json"
	"net/http"
	"time"
)

// The actions that an engine takes orders for.
const (
	ActionLoadModel   = "load-model"
	ActionUnloadModel = "unload-model"
)

// order is an order as it arrives.
type order struct {
	ID      string `json:"id"`
	Fence   int64  `json:"fence"`
	Action  string `json:"action"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Memory  int64  `json:"memory"`
}

func (eg *Engine) serveOrder(wr http.ResponseWriter, rq *http.Request) {
	var od order
	if err := json.NewDecoder(rq.Body).Decode(&od); err != nil {
		refuse(wr, http.StatusBadRequest, "malformed")
		return
	}
	if !eg.checkFence(od.Fence) {
		refuse(wr, http.StatusConflict, "stale-fence")
		return
	}
	switch od.Action {
	case ActionLoadModel:
		eg.load(od)
	case ActionUnloadModel:
		eg.unload(od)
	default:
		refuse(wr, http.StatusBadRequest, "unknown-action")
		return
	}
	writeJSON(wr, http.StatusOK, map[string]bool{"done": true})
}

// checkFence refuses an old number if the engine is of a kind that does.
func (eg *Engine) checkFence(fence int64) bool {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	if fence < eg.highFence {
		eg.staleOrders++
		return !eg.fencing
	}
	eg.highFence = fence
	return true
}

func (eg *Engine) load(od order) {
	eg.mu.Lock()
	had, ok := eg.models[od.Model]
	if ok && had.version == od.Version {
		eg.mu.Unlock()
		return
	}
	eg.models[od.Model] = loaded{version: od.Version, memory: od.Memory}
	used := int64(0)
	for _, ld := range eg.models {
		used += ld.memory
	}
	if used > eg.memory {
		eg.overcommits++
	}
	eg.mu.Unlock()
	time.Sleep(eg.loadTime)
	eg.mu.Lock()
	defer eg.mu.Unlock()
	if ld, ok := eg.models[od.Model]; ok && ld.version == od.Version {
		ld.ready = true
		eg.models[od.Model] = ld
	}
}

func (eg *Engine) unload(od order) {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	delete(eg.models, od.Model)
}
