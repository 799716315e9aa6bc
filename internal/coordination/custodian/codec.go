package custodian

import (
	"encoding/json"

	"github.com/go-faster/errors"
)

// wireRecord is the record as it is stored: servers by the VM that may have
// sent orders to them.
type wireRecord struct {
	Holders map[string][]string `json:"holders"`
}

func encode(holders map[string]string) ([]byte, error) {
	wr := wireRecord{Holders: map[string][]string{}}
	for server, holder := range holders {
		wr.Holders[holder] = append(wr.Holders[holder], server)
	}
	value, err := json.Marshal(wr)
	if err != nil {
		return nil, errors.Wrap(err, "encode record of orders")
	}
	return value, nil
}

// decode reads a record. No value at all is an empty record.
func decode(value []byte) (map[string]string, error) {
	holders := map[string]string{}
	if len(value) == 0 {
		return holders, nil
	}
	var wr wireRecord
	if err := json.Unmarshal(value, &wr); err != nil {
		return holders, errors.Wrap(err, "decode record of orders")
	}
	for holder, servers := range wr.Holders {
		for _, server := range servers {
			holders[server] = holder
		}
	}
	return holders, nil
}
