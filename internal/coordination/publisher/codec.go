package publisher

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"strings"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

const (
	// maxUnpackedBytes bounds the settings text of one revision.
	maxUnpackedBytes = 64 << 20
	// partBytes is the size of all parts of a revision but the last.
	partBytes = 512 << 10
	// maxParts bounds the parts of a revision.
	maxParts = 16
)

// head names a revision and its parts. The store holds it twice: in the
// revision's record, and in the head as long as the revision is the latest.
type head struct {
	number   int64
	batch    string
	author   string
	previous string
	parts    []string
}

// hash identifies the content.
func (hd *head) hash() string { return hashOf([]byte(strings.Join(hd.parts, "\n"))) }

func (hd *head) encode() ([]byte, error) {
	var buf bytes.Buffer
	en := msgpack.NewEncoder(&buf)
	if err := messenger.EncodeAll(en, hd.number, hd.batch, hd.author, hd.previous); err != nil {
		return nil, errors.Wrap(err, "encode configuration head")
	}
	if err := messenger.EncodeList(en, hd.parts, (*msgpack.Encoder).EncodeString); err != nil {
		return nil, errors.Wrap(err, "encode configuration head")
	}
	return buf.Bytes(), nil
}

func decodeHead(value []byte) (head, error) {
	var hd head
	de := msgpack.NewDecoder(bytes.NewReader(value))
	if err := messenger.DecodeAll(de, &hd.number, &hd.batch, &hd.author, &hd.previous); err != nil {
		return head{}, errors.Wrapf(ErrCorrupt, "head: %v", err)
	}
	parts, err := messenger.DecodeList(de, (*msgpack.Decoder).DecodeString)
	if err != nil {
		return head{}, errors.Wrapf(ErrCorrupt, "head: %v", err)
	}
	if hd.number <= 0 || len(parts) == 0 || len(parts) > maxParts {
		return head{}, errors.Wrapf(ErrCorrupt, "head: number %d with %d parts", hd.number, len(parts))
	}
	hd.parts = parts
	return hd, nil
}

// packFiles returns the compressed files in parts. Equal files give equal
// bytes.
func packFiles(files []configurer.File) ([][]byte, error) {
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
	if buf.Len() > maxParts*partBytes {
		return nil, errors.Errorf("settings take %d bytes when compressed, over %d", buf.Len(), maxParts*partBytes)
	}
	var parts [][]byte
	for buf.Len() > 0 {
		parts = append(parts, bytes.Clone(buf.Next(partBytes)))
	}
	return parts, nil
}

func unpackFiles(parts [][]byte) ([]configurer.File, error) {
	zr, err := gzip.NewReader(bytes.NewReader(bytes.Join(parts, nil)))
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

// checkPart compares a part with the hash under which it is stored.
func checkPart(hash string, part []byte) error {
	if hashOf(part) != hash {
		return errors.Wrapf(ErrCorrupt, "part %.12s does not match its hash", hash)
	}
	return nil
}

// unpack parses the parts of a head, which were checked.
func unpack(hd head, parts [][]byte) (*Revision, error) {
	files, err := unpackFiles(parts)
	if err != nil {
		return nil, errors.Wrapf(ErrCorrupt, "parts: %v", err)
	}
	settings, faults := configurer.Parse(files)
	if len(faults) > 0 {
		return nil, errors.Wrapf(ErrCorrupt, "parts: %v", faults[0])
	}
	return &Revision{head: hd, packed: parts, files: files, settings: settings}, nil
}

func hashOf(part []byte) string {
	sum := sha256.Sum256(part)
	return hex.EncodeToString(sum[:])
}
