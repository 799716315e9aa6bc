package watcher

import (
	"bytes"
	"maps"
	"slices"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lagoonpass/lagoonpass/internal/coordination/spreader"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
)

// Prefixes of the keys of spread entries.
const (
	// residencyPrefix is followed by a server's name: what is ready there.
	residencyPrefix = "server/"
	// leavingPrefix is followed by a server's name: the boot that is leaving
	// by the platform's list.
	leavingPrefix = "leaving/"
)

// residency is the part of a report that all nodes have to know.
type residency struct {
	address  string
	bootID   string
	ready    bool
	leaving  bool
	loading  bool
	models   map[string]string
	adapters []string
}

// residencyOf returns what all nodes have to know of a report.
func residencyOf(rp Report) residency {
	return residency{
		address:  rp.Address,
		bootID:   rp.BootID,
		ready:    true,
		leaving:  rp.Leaving,
		loading:  len(rp.Loading) > 0,
		models:   rp.Models,
		adapters: slices.Sorted(slices.Values(rp.Adapters)),
	}
}

// report returns the residency as a report that says nothing of load.
func (rs residency) report(server string) Report {
	rp := Report{
		Server:     server,
		Address:    rs.address,
		BootID:     rs.bootID,
		Models:     rs.models,
		Adapters:   rs.adapters,
		Leaving:    rs.leaving,
		Unmeasured: true,
	}
	if rs.loading {
		rp.Loading = []string{""}
	}
	return rp
}

// payload encodes the residency. If it is too long for the spreader, adapters
// are left out, and then models: full says whether all is in.
func (rs residency) payload() (payload []byte, full bool) {
	names := slices.Sorted(maps.Keys(rs.models))
	adapters := rs.adapters
	full = true
	for {
		payload = rs.encode(names, adapters)
		if len(payload) <= spreader.MaxPayloadBytes {
			return payload, full
		}
		full = false
		if len(adapters) > 0 {
			adapters = adapters[:len(adapters)-1]
			continue
		}
		if len(names) == 0 {
			return residency{}.encode(nil, nil), false
		}
		names = names[:len(names)-1]
	}
}

func (rs residency) encode(names, adapters []string) []byte {
	var buf bytes.Buffer
	en := msgpack.NewEncoder(&buf)
	en.UseCompactInts(true)
	err := messenger.EncodeAll(en, rs.address, rs.bootID, rs.ready, rs.leaving, rs.loading)
	if err == nil {
		err = messenger.EncodeList(en, names, func(en *msgpack.Encoder, name string) error {
			return messenger.EncodeAll(en, name, rs.models[name])
		})
	}
	if err == nil {
		err = messenger.EncodeList(en, adapters, func(en *msgpack.Encoder, name string) error {
			return messenger.EncodeAll(en, name)
		})
	}
	if err != nil {
		return nil
	}
	return buf.Bytes()
}

func decodeResidency(payload []byte) (residency, error) {
	rs := residency{models: map[string]string{}}
	de := msgpack.NewDecoder(bytes.NewReader(payload))
	if err := messenger.DecodeAll(de, &rs.address, &rs.bootID, &rs.ready, &rs.leaving, &rs.loading); err != nil {
		return residency{}, errors.Wrap(err, "decode residency")
	}
	_, err := messenger.DecodeList(de, func(de *msgpack.Decoder) (string, error) {
		var name, version string
		err := messenger.DecodeAll(de, &name, &version)
		rs.models[name] = version
		return name, err
	})
	if err != nil {
		return residency{}, errors.Wrap(err, "decode models of residency")
	}
	rs.adapters, err = messenger.DecodeList(de, func(de *msgpack.Decoder) (string, error) {
		var name string
		err := messenger.DecodeAll(de, &name)
		return name, err
	})
	if err != nil {
		return residency{}, errors.Wrap(err, "decode adapters of residency")
	}
	return rs, nil
}
