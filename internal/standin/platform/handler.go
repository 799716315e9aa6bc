package platform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

// VM is one entry of the platform's VM list.
type VM struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Kind    string `json:"kind"`
	State   string `json:"state"`
}

// Handler serves the key-value service and the VM list over HTTP. It calls list
// for each GET of /v1/vms.
func Handler(me *Memory, list func() []VM) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", me.serveRange)
	mux.HandleFunc("POST /v3/kv/txn", me.serveTxn)
	mux.HandleFunc("GET /v1/vms", func(wr http.ResponseWriter, _ *http.Request) {
		reply(wr, list(), nil)
	})
	return mux
}

func (me *Memory) serveRange(wr http.ResponseWriter, rq *http.Request) {
	var call struct {
		Key      []byte `json:"key"`
		RangeEnd []byte `json:"range_end"`
	}
	if err := json.NewDecoder(rq.Body).Decode(&call); err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return
	}
	if len(call.RangeEnd) > 0 {
		found, err := me.List(rq.Context(), string(call.Key))
		reply(wr, map[string]any{"kvs": kvs(found)}, err)
		return
	}
	en, err := me.Get(rq.Context(), string(call.Key))
	if storer.Is(err, storer.NotFound) {
		reply(wr, map[string]any{}, nil)
		return
	}
	reply(wr, map[string]any{"kvs": kvs([]storer.Entry{en})}, err)
}

func (me *Memory) serveTxn(wr http.ResponseWriter, rq *http.Request) {
	var call struct {
		Compare []struct {
			Key         []byte `json:"key"`
			ModRevision string `json:"mod_revision"`
		} `json:"compare"`
		Success []struct {
			Put *struct {
				Value []byte `json:"value"`
			} `json:"request_put"`
		} `json:"success"`
	}
	err := json.NewDecoder(rq.Body).Decode(&call)
	if err != nil || len(call.Compare) != 1 || len(call.Success) != 1 {
		http.Error(wr, "one comparison and one operation are wanted", http.StatusBadRequest)
		return
	}
	key := string(call.Compare[0].Key)
	revision, err := strconv.ParseInt(call.Compare[0].ModRevision, 10, 64)
	if err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return
	}
	if put := call.Success[0].Put; put != nil {
		revision, err = me.Swap(rq.Context(), key, put.Value, revision)
	} else {
		err = me.Delete(rq.Context(), key, revision)
	}
	if storer.Is(err, storer.Conflict) {
		reply(wr, map[string]any{"succeeded": false}, nil)
		return
	}
	header := map[string]string{"revision": strconv.FormatInt(revision, 10)}
	reply(wr, map[string]any{"succeeded": true, "header": header}, err)
}

func kvs(found []storer.Entry) []map[string]any {
	out := make([]map[string]any, 0, len(found))
	for _, en := range found {
		out = append(out, map[string]any{
			"key":          []byte(en.Key),
			"value":        en.Value,
			"mod_revision": strconv.FormatInt(en.Revision, 10),
		})
	}
	return out
}

// reply writes body as JSON. If err is set, it aborts the connection instead, as
// an outage does.
func reply(wr http.ResponseWriter, body any, err error) {
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	wr.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(wr).Encode(body)
}

// ParseVMs returns a VM list of live entry nodes with the given addresses,
// which are separated by commas.
func ParseVMs(addresses string) []VM {
	vms := []VM{}
	for _, address := range strings.Split(addresses, ",") {
		if address != "" {
			vms = append(vms, VM{Name: address, Address: address, Kind: "entry", State: "live"})
		}
	}
	return vms
}
