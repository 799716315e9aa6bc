package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
)

// The actions of orders.
const (
	ActionInspect       = "inspect"
	ActionLoadModel     = "load-model"
	ActionUnloadModel   = "unload-model"
	ActionLoadAdapter   = "load-adapter"
	ActionUnloadAdapter = "unload-adapter"
	ActionSetRole       = "set-role"
)

// OrderFault is a fault in the delivery of an order or its answer.
type OrderFault int

// The kinds of order faults.
const (
	// OrderLost aborts the connection without running the order.
	OrderLost OrderFault = iota + 1
	// OrderHeld aborts the connection and runs the order only at ReleaseOrders.
	OrderHeld
	// OrderAnswerLost runs the order and aborts the connection.
	OrderAnswerLost
)

// order is the JSON form of an order.
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

// InjectOrderFaults queues faults for the next orders, one each; zero means none.
func (eg *Engine) InjectOrderFaults(faults ...OrderFault) {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	eg.orderFaults = append(eg.orderFaults, faults...)
}

// ClearOrderFaults removes the order faults that no order has taken yet.
func (eg *Engine) ClearOrderFaults() {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	eg.orderFaults = nil
}

// HeldOrders returns the number of held orders.
func (eg *Engine) HeldOrders() int {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	return len(eg.held)
}

// ReleaseOrders runs the held orders, oldest first.
func (eg *Engine) ReleaseOrders() {
	eg.mu.Lock()
	held := eg.held
	eg.held = nil
	eg.mu.Unlock()
	for _, od := range held {
		eg.execute(od)
	}
}

// DropHeldOrders discards the held orders.
func (eg *Engine) DropHeldOrders() {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	eg.held = nil
}

// Restart unloads the models, the adapters and the role, resets the fencing
// number and changes the boot id.
func (eg *Engine) Restart() {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	at := strings.LastIndexByte(eg.bootID, '-')
	count, _ := strconv.Atoi(eg.bootID[at+1:])
	eg.bootID = eg.bootID[:at+1] + strconv.Itoa(count+1)
	eg.highFence = 0
	eg.models = map[string]servedModel{}
	eg.usage.clear()
}

// Ready reports whether the version of the model is loaded.
func (eg *Engine) Ready(model, version string) bool {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	return eg.usage.ready[weights{model, version}]
}

// Serves reports whether a version of the model is loaded, or an adapter of that
// name.
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
	status, code := eg.execute(od)
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

// nextOrderFault takes the next fault off the queue, for od, and stores od if the
// fault is OrderHeld.
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

// execute runs the order and returns the HTTP status of its answer, and the error
// code unless the status is 200.
func (eg *Engine) execute(od order) (int, string) {
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

// checkOrder returns the error code of a refused order, or "" for an accepted
// one. Without WithFencing it accepts every order.
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
		eg.updateServed(od.Model)
	}
}

func (eg *Engine) unload(od order) {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	wt := weights{od.Model, od.Version}
	delete(eg.usage.weights, wt)
	delete(eg.usage.ready, wt)
	eg.updateServed(od.Model)
}

// updateServed selects the version of the model that answers requests.
func (eg *Engine) updateServed(model string) {
	version, ok := eg.usage.newest(model)
	if !ok {
		delete(eg.models, model)
		return
	}
	held := eg.usage.weights[weights{model, version}]
	eg.models[model] = servedModel{version: version, memory: held, ready: true}
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
