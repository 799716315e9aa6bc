package watcher

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// reportTimeout bounds one read of a report.
const reportTimeout = time.Second

// maxReportBytes bounds the size of a report.
const maxReportBytes = 1 << 20

// wireReport is the JSON form of a report, as engines send it.
type wireReport struct {
	BootID string `json:"boot-id"`
	Models []struct {
		Name    string `json:"name"`
		Version string `json:"version"`
	} `json:"models"`
	Adapters    []string    `json:"adapters"`
	Loading     []string    `json:"loading"`
	Running     int         `json:"running"`
	Waiting     int         `json:"waiting"`
	Leaving     bool        `json:"leaving"`
	Sequence    uint64      `json:"sequence"`
	AgeMillis   int64       `json:"age-ms"`
	CacheEvents []wireEvent `json:"cache-events"`
}

type wireEvent struct {
	Sequence uint64 `json:"sequence"`
	Hash     uint64 `json:"hash"`
	Evicted  bool   `json:"evicted"`
}

// decodeReport decodes a report that was received at the time now.
func decodeReport(rd io.Reader, now time.Time) (Report, error) {
	var wire wireReport
	if err := json.NewDecoder(io.LimitReader(rd, maxReportBytes)).Decode(&wire); err != nil {
		return Report{}, errors.Wrap(err, "decode JSON")
	}
	rp := Report{
		BootID:   wire.BootID,
		Models:   map[string]string{},
		Running:  wire.Running,
		Waiting:  wire.Waiting,
		Adapters: wire.Adapters,
		Loading:  wire.Loading,
		Leaving:  wire.Leaving,
		Sequence: wire.Sequence,
		Taken:    now.Add(-time.Duration(max(wire.AgeMillis, 0)) * time.Millisecond),
	}
	for _, md := range wire.Models {
		rp.Models[md.Name] = md.Version
	}
	for _, ev := range wire.CacheEvents {
		rp.CacheEvents = append(rp.CacheEvents, router.CacheEvent(ev))
	}
	return rp, nil
}

// reader reads reports over HTTP.
type reader struct{ http *http.Client }

func newReader() *reader { return &reader{http: &http.Client{Timeout: reportTimeout}} }

func (rd *reader) read(ctx context.Context, bs *configurer.BackendServer) (Report, error) {
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+bs.Address()+"/control/report", http.NoBody)
	if err != nil {
		return Report{}, errors.Wrap(err, "build report request")
	}
	rs, err := rd.http.Do(rq)
	if err != nil {
		return Report{}, errors.Wrapf(err, "read report of %q", bs.Name())
	}
	defer func() { _ = rs.Body.Close() }()
	if rs.StatusCode != http.StatusOK {
		return Report{}, errors.Errorf("read report of %q: status %d", bs.Name(), rs.StatusCode)
	}
	rp, err := decodeReport(rs.Body, time.Now())
	if err != nil {
		return Report{}, errors.Wrapf(err, "decode report of %q", bs.Name())
	}
	rp.Server = bs.Name()
	rp.Address = bs.Address()
	return rp, nil
}
