package orderregistrar

import (
	"encoding/json"

	"github.com/go-faster/errors"
)

// wireRecord is the stored format of the record: for each VM, the servers to
// which it may have sent orders.
type wireRecord struct {
	Holders map[string][]string `json:"holders"`
}

// encode returns the record's stored form. The keys of holders are servers, and
// the values are VMs.
func encode(holders map[string]string) ([]byte, error) {
	wr := wireRecord{Holders: map[string][]string{}}
	for server, holder := range holders {
		wr.Holders[holder] = append(wr.Holders[holder], server)
	}
	value, err := json.Marshal(wr)
	if err != nil {
		return nil, errors.Wrap(err, "orderregistrar: encode record of orders")
	}
	return value, nil
}

// decode returns the VM of each server in a record. An empty value is an empty
// record. After an error the result is empty, not nil.
func decode(value []byte) (map[string]string, error) {
	holders := map[string]string{}
	if len(value) == 0 {
		return holders, nil
	}
	var wr wireRecord
	if err := json.Unmarshal(value, &wr); err != nil {
		return holders, errors.Wrap(err, "orderregistrar: decode record of orders")
	}
	for holder, servers := range wr.Holders {
		for _, server := range servers {
			holders[server] = holder
		}
	}
	return holders, nil
}
