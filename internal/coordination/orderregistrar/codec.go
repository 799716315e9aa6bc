package orderregistrar

import (
	"encoding/json"

	"github.com/go-faster/errors"
)

// wireRecord is the stored format of the record: for each VM, the servers to
// which it may have sent orders.
type wireRecord struct {
	// Era is the era of the store in which the record was written.
	Era     int64               `json:"era,omitempty"`
	Holders map[string][]string `json:"holders"`
}

// encode returns the record's stored form. The keys of holders are servers, and
// the values are VMs.
func encode(era int64, holders map[string]string) ([]byte, error) {
	wr := wireRecord{Era: era, Holders: map[string][]string{}}
	for server, holder := range holders {
		wr.Holders[holder] = append(wr.Holders[holder], server)
	}
	value, err := json.Marshal(wr)
	if err != nil {
		return nil, errors.Wrap(err, "orderregistrar: encode record of orders")
	}
	return value, nil
}

// decode returns the era of a record and the VM of each server in it. An empty
// value is an empty record. After an error the holders are empty, not nil.
func decode(value []byte) (era int64, holders map[string]string, err error) {
	holders = map[string]string{}
	if len(value) == 0 {
		return 0, holders, nil
	}
	var wr wireRecord
	if err := json.Unmarshal(value, &wr); err != nil {
		return 0, holders, errors.Wrap(err, "orderregistrar: decode record of orders")
	}
	for holder, servers := range wr.Holders {
		for _, server := range servers {
			holders[server] = holder
		}
	}
	return wr.Era, holders, nil
}
