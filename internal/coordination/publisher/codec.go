package publisher

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

// maxUnpackedBytes bounds the settings text of one revision.
const maxUnpackedBytes = 64 << 20

// head is the value that names the latest revision.
type head struct {
	number int64
	batch  string
	author string
	part   string
}

func (hd head) encode() ([]byte, error) {
	var buf bytes.Buffer
	if err := messenger.EncodeAll(msgpack.NewEncoder(&buf), hd.number, hd.batch, hd.author, hd.part); err != nil {
		return nil, errors.Wrap(err, "encode configuration head")
	}
	return buf.Bytes(), nil
}

func decodeHead(value []byte) (head, error) {
	var hd head
	de := msgpack.NewDecoder(bytes.NewReader(value))
	if err := messenger.DecodeAll(de, &hd.number, &hd.batch, &hd.author, &hd.part); err != nil {
		return head{}, errors.Wrapf(ErrCorrupt, "head: %v", err)
	}
	return hd, nil
}

// packFiles returns the compressed files. Equal files give equal bytes.
func packFiles(files []configurer.File) ([]byte, error) {
	var buf bytes.Buffer
	zw := gzip.NewWriter(&buf)
	one := func(en *msgpack.Encoder, fl configurer.File) error {
		return messenger.EncodeAll(en, fl.Name, fl.Text)
	}
	if err := messenger.EncodeList(msgpack.NewEncoder(zw), files, one); err != nil {
		return nil, errors.Wrap(err, "encode settings files")
	}
	if err := zw.Close(); err != nil {
		return nil, errors.Wrap(err, "compress settings files")
	}
	if buf.Len() > storer.MaxValueBytes {
		return nil, errors.Errorf("settings take %d bytes when compressed, over %d", buf.Len(), storer.MaxValueBytes)
	}
	return buf.Bytes(), nil
}

func unpackFiles(part []byte) ([]configurer.File, error) {
	zr, err := gzip.NewReader(bytes.NewReader(part))
	if err != nil {
		return nil, errors.Wrap(err, "decompress settings files")
	}
	one := func(de *msgpack.Decoder) (configurer.File, error) {
		var fl configurer.File
		err := messenger.DecodeAll(de, &fl.Name, &fl.Text)
		return fl, err
	}
	return messenger.DecodeList(msgpack.NewDecoder(io.LimitReader(zr, maxUnpackedBytes)), one)
}

// unpack checks a part against its head and parses it.
func unpack(hd head, part []byte) (*Revision, error) {
	if hashOf(part) != hd.part {
		return nil, errors.Wrap(ErrCorrupt, "part does not match its hash")
	}
	files, err := unpackFiles(part)
	if err != nil {
		return nil, errors.Wrapf(ErrCorrupt, "part: %v", err)
	}
	settings, faults := configurer.Parse(files)
	if len(faults) > 0 {
		return nil, errors.Wrapf(ErrCorrupt, "part: %v", faults[0])
	}
	return &Revision{head: hd, files: files, settings: settings}, nil
}
