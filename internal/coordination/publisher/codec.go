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
	// pieceBytes bounds the text of a settings file in one part.
	pieceBytes = 512 << 10
	// maxUnpackedBytes bounds the size of a decompressed part.
	maxUnpackedBytes = 2 * pieceBytes
	// maxParts bounds the number of parts of a revision.
	maxParts = 256
)

// head describes a revision and lists its parts. The store holds it in the
// revision's record and, while the revision is the latest, under headKey.
type head struct {
	number   int64
	writeID  string // random; unique to one call of Apply
	author   string
	previous string   // writeID of the revision before, or empty
	parts    []string // hashes of the parts, in order
}

// hash returns the hash of the content, that is of all parts in order.
func (hd *head) hash() string { return hashOf([]byte(strings.Join(hd.parts, "\n"))) }

func (hd *head) encode() ([]byte, error) {
	var buf bytes.Buffer
	en := msgpack.NewEncoder(&buf)
	if err := messenger.EncodeAll(en, hd.number, hd.writeID, hd.author, hd.previous); err != nil {
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
	if err := messenger.DecodeAll(de, &hd.number, &hd.writeID, &hd.author, &hd.previous); err != nil {
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

// packFiles encodes each file as one part, or a long file as several, so that a
// node fetches only the files that a revision changed. Equal files give equal
// bytes.
func packFiles(files []configurer.File) ([][]byte, error) {
	var parts [][]byte
	for _, fl := range files {
		for _, piece := range splitFile(fl) {
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

// splitFile splits a file into pieces of at most pieceBytes, all under its
// name.
func splitFile(fl configurer.File) []configurer.File {
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

// unpackFiles decodes parts and joins consecutive pieces with the same name.
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

// checkPart returns ErrCorrupt unless the part has the hash.
func checkPart(hash string, part []byte) error {
	if hashOf(part) != hash {
		return errors.Wrapf(ErrCorrupt, "part %.12s does not match its hash", hash)
	}
	return nil
}

// unpack returns the revision of a head, given its parts. The caller has
// checked their hashes.
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
