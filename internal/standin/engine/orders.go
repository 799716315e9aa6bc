package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
)

// The actions that an engine takes orders for.
const (
	ActionInspect       = "inspect"
	ActionLoadModel     = "load-model"
	ActionUnloadModel   = "unload-model"
	ActionLoadAdapter   = "load-adapter"
	ActionUnloadAdapter = "unload-adapter"
	ActionSetRole       = "set-role"
)

// OrderFault is what happens to an order on its way.
type OrderFault int

// The faults of orders.
const (
	// OrderLost loses the order before it has any effect.
	OrderLost OrderFault = iota + 1
	// OrderHeld keeps the order until ReleaseOrders; its sender learns nothing.
	OrderHeld
	// OrderAnswerLost carries the order out and loses the answer.
	OrderAnswerLost
)

// order is an order as it arrives.
type order struct {
	ID      string `json:"id"`
	Fence   int64  `json:"fence"`
	Boot    string `json:"boot"`
	Action  string `json:"action"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
	Role    string `json:"role"`
	Memory  int64  `json:"memory"`
}

// FaultOrders gives the next orders these faults, one each; zero means none.
func (eg *Engine) FaultOrders(faults ...OrderFault) {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	eg.orderFaults = append(eg.orderFaults, faults...)
}

// ClearFaults makes the next orders arrive unharmed.
func (eg *Engine) ClearFaults() {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	eg.orderFaults = nil
}

// HeldOrders returns the number of orders that are held.
func (eg *Engine) HeldOrders() int {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	return len(eg.held)
}

// ReleaseOrders lets the held orders arrive, the oldest first.
func (eg *Engine) ReleaseOrders() {
	eg.mu.Lock()
	held := eg.held
	eg.held = nil
	eg.mu.Unlock()
	for _, od := range held {
		eg.carryOut(od)
	}
}

// DropHeldOrders forgets the held orders.
func (eg *Engine) DropHeldOrders() {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	eg.held = nil
}

// Restart empties the memory and gives the engine another boot id.
func (eg *Engine) Restart() {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	at := strings.LastIndexByte(eg.bootID, '-')
	count, _ := strconv.Atoi(eg.bootID[at+1:])
	eg.bootID = eg.bootID[:at+1] + strconv.Itoa(count+1)
	eg.highFence = 0
	eg.models = map[string]loaded{}
	eg.usage.clear()
}

// Ready reports whether a version of the model serves.
func (eg *Engine) Ready(model, version string) bool {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	return eg.usage.ready[weights{model, version}]
}

// Serves reports whether any version of the model serves.
func (eg *Engine) Serves(model string) bool { return eg.serves(model) }

func (eg *Engine) serveOrder(wr http.ResponseWriter, rq *http.Request) {
	var od order
	if err := json.NewDecoder(rq.Body).Decode(&od); err != nil {
		refuse(wr, http.StatusBadRequest, "malformed")
		return
	}
	fault := eg.nextOrderFault(od)
	if fault == OrderLost || fault == OrderHeld {
		panic(http.ErrAbortHandler)
	}
	status, code := eg.carryOut(od)
	if fault == OrderAnswerLost {
		panic(http.ErrAbortHandler)
	}
	if status != http.StatusOK {
		refuse(wr, status, code)
		return
	}
	eg.answerOrder(wr)
}

func (eg *Engine) answerOrder(wr http.ResponseWriter) {
	eg.mu.Lock()
	body := map[string]any{
		"done":     true,
		"boot-id":  eg.bootID,
		"models":   eg.usage.residents(),
		"adapters": eg.usage.adapterList(),
	}
	eg.mu.Unlock()
	writeJSON(wr, http.StatusOK, body)
}

// nextOrderFault takes the fault of the order that arrives, and keeps a held one.
func (eg *Engine) nextOrderFault(od order) OrderFault {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	if len(eg.orderFaults) == 0 {
		return 0
	}
	fault := eg.orderFaults[0]
	eg.orderFaults = eg.orderFaults[1:]
	if fault == OrderHeld {
		eg.held = append(eg.held, od)
	}
	return fault
}

// carryOut runs the order and returns the status and code of its answer.
func (eg *Engine) carryOut(od order) (int, string) {
	if code := eg.checkOrder(od); code != "" {
		return http.StatusConflict, code
	}
	switch od.Action {
	case ActionInspect:
	case ActionLoadModel:
		eg.load(od)
	case ActionUnloadModel:
		eg.unload(od)
	case ActionLoadAdapter:
		eg.loadAdapter(od)
	case ActionUnloadAdapter:
		eg.unloadAdapter(od)
	case ActionSetRole:
		eg.setRole(od)
	default:
		return http.StatusBadRequest, "unknown-action"
	}
	return http.StatusOK, ""
}

// checkOrder refuses an old fencing number and another boot id if the engine
// is of a kind that does.
func (eg *Engine) checkOrder(od order) string {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	if od.Fence < eg.highFence {
		if eg.fencing {
			return "stale-fence"
		}
		return ""
	}
	if eg.fencing && od.Boot != "" && od.Boot != eg.bootID {
		return "stale-boot"
	}
	eg.highFence = od.Fence
	return ""
}

func (eg *Engine) load(od order) {
	wt := weights{od.Model, od.Version}
	eg.mu.Lock()
	boot := eg.bootID
	if _, ok := eg.usage.weights[wt]; !ok {
		eg.usage.weights[wt] = od.Memory
		eg.usage.check()
	}
	eg.mu.Unlock()
	eg.awaitModel()
	eg.mu.Lock()
	defer eg.mu.Unlock()
	if _, ok := eg.usage.weights[wt]; ok && boot == eg.bootID {
		eg.usage.ready[wt] = true
		eg.showModel(od.Model)
	}
}

func (eg *Engine) unload(od order) {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	wt := weights{od.Model, od.Version}
	delete(eg.usage.weights, wt)
	delete(eg.usage.ready, wt)
	eg.showModel(od.Model)
}

// showModel sets which version of the model requests meet.
func (eg *Engine) showModel(model string) {
	version, ok := eg.usage.newest(model)
	if !ok {
		delete(eg.models, model)
		return
	}
	held := eg.usage.weights[weights{model, version}]
	eg.models[model] = loaded{version: version, memory: held, ready: true}
}

func (eg *Engine) loadAdapter(od order) {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	eg.usage.adapters[od.Adapter] = od.Memory
	eg.usage.check()
}

func (eg *Engine) unloadAdapter(od order) {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	delete(eg.usage.adapters, od.Adapter)
}

func (eg *Engine) setRole(od order) {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	eg.usage.role = od.Role
	eg.usage.roleBytes = od.Memory
	eg.usage.check()
}
