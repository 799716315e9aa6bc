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
	// pieceBytes is the longest text in one part.
	pieceBytes = 512 << 10
	// maxUnpackedBytes bounds what a part is unpacked to.
	maxUnpackedBytes = 2 * pieceBytes
	// maxParts bounds the parts of a revision.
	maxParts = 256
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

// packFiles returns each file as a part of its own, and a long one in several,
// so that a node fetches only what a revision changed. Equal files give equal
// bytes.
func packFiles(files []configurer.File) ([][]byte, error) {
	var parts [][]byte
	for _, fl := range files {
		for _, piece := range pieces(fl) {
			part, err := packPiece(piece)
			if err != nil {
				return nil, err
			}
			parts = append(parts, part)
		}
	}
	if len(parts) > maxParts {
		return nil, errors.Errorf("settings take %d parts, over %d", len(parts), maxParts)
	}
	return parts, nil
}

// pieces cuts a file into pieces of its name.
func pieces(fl configurer.File) []configurer.File {
	var all []configurer.File
	text := fl.Text
	for len(text) > pieceBytes {
		all = append(all, configurer.File{Name: fl.Name, Text: text[:pieceBytes]})
		text = text[pieceBytes:]
	}
	return append(all, configurer.File{Name: fl.Name, Text: text})
}

func packPiece(piece configurer.File) ([]byte, error) {
	var buf bytes.Buffer
	zw := gzip.NewWriter(&buf)
	if err := messenger.EncodeAll(msgpack.NewEncoder(zw), piece.Name, piece.Text); err != nil {
		return nil, errors.Wrap(err, "encode settings file")
	}
	if err := zw.Close(); err != nil {
		return nil, errors.Wrap(err, "compress settings file")
	}
	return buf.Bytes(), nil
}

// unpackFiles puts pieces that follow each other under one name together.
func unpackFiles(parts [][]byte) ([]configurer.File, error) {
	var files []configurer.File
	for _, part := range parts {
		piece, err := unpackPiece(part)
		if err != nil {
			return nil, err
		}
		if last := len(files) - 1; last >= 0 && files[last].Name == piece.Name {
			files[last].Text += piece.Text
			continue
		}
		files = append(files, piece)
	}
	return files, nil
}

func unpackPiece(part []byte) (configurer.File, error) {
	var piece configurer.File
	zr, err := gzip.NewReader(bytes.NewReader(part))
	if err != nil {
		return piece, errors.Wrap(err, "decompress settings file")
	}
	de := msgpack.NewDecoder(io.LimitReader(zr, maxUnpackedBytes))
	return piece, messenger.DecodeAll(de, &piece.Name, &piece.Text)
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
