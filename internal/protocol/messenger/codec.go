package messenger

import (
	"io"
	"time"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// maxElements limits the announced length of a list, against corrupt frames.
const maxElements = 1 << 20

// EncodeAll writes the values in order. They must be of the basic types that
// encodeOne lists.
func EncodeAll(en *msgpack.Encoder, values ...any) error {
	for _, vl := range values {
		if err := encodeOne(en, vl); err != nil {
			return err
		}
	}
	return nil
}

func encodeOne(en *msgpack.Encoder, vl any) error {
	switch tv := vl.(type) {
	case string:
		return en.EncodeString(tv)
	case []byte:
		return en.EncodeBytes(tv)
	case []uint32:
		return EncodeList(en, tv, func(en *msgpack.Encoder, nr uint32) error { return en.EncodeUint(uint64(nr)) })
	case bool:
		return en.EncodeBool(tv)
	case int:
		return en.EncodeInt(int64(tv))
	case int64:
		return en.EncodeInt(tv)
	case uint8:
		return en.EncodeUint(uint64(tv))
	case uint32:
		return en.EncodeUint(uint64(tv))
	case uint64:
		return en.EncodeUint(tv)
	case float64:
		return en.EncodeFloat64(tv)
	case time.Duration:
		return en.EncodeInt(int64(tv))
	}
	return errors.Errorf("no codec for type %T", vl)
}

// DecodeAll reads values that EncodeAll wrote. The targets are pointers in the
// same order.
func DecodeAll(de *msgpack.Decoder, targets ...any) error {
	for _, tg := range targets {
		if err := decodeOne(de, tg); err != nil {
			return err
		}
	}
	return nil
}

// decodeTrailing is DecodeAll for fields that messages of earlier builds lack. These
// keep their zero values.
func decodeTrailing(de *msgpack.Decoder, targets ...any) error {
	for _, tg := range targets {
		if atEnd(de) {
			return nil
		}
		if err := decodeOne(de, tg); err != nil {
			return err
		}
	}
	return nil
}

// atEnd reports whether a message has no further fields, since an earlier build sent it.
func atEnd(de *msgpack.Decoder) bool {
	_, err := de.PeekCode()
	return err == io.EOF
}

func decodeOne(de *msgpack.Decoder, target any) (err error) {
	switch tp := target.(type) {
	case *string:
		*tp, err = de.DecodeString()
	case *[]byte:
		*tp, err = de.DecodeBytes()
	case *[]uint32:
		*tp, err = DecodeList(de, (*msgpack.Decoder).DecodeUint32)
	case *bool:
		*tp, err = de.DecodeBool()
	case *int:
		*tp, err = de.DecodeInt()
	case *int64:
		*tp, err = de.DecodeInt64()
	case *uint8:
		*tp, err = de.DecodeUint8()
	case *uint32:
		*tp, err = de.DecodeUint32()
	case *uint64:
		*tp, err = de.DecodeUint64()
	case *float64:
		*tp, err = de.DecodeFloat64()
	case *time.Duration:
		var nanos int64
		nanos, err = de.DecodeInt64()
		*tp = time.Duration(nanos)
	default:
		err = errors.Errorf("no codec for type %T", target)
	}
	return err
}

// EncodeList writes the length of a list, then each element with encode.
func EncodeList[T any](en *msgpack.Encoder, list []T, encode func(*msgpack.Encoder, T) error) error {
	if err := en.EncodeArrayLen(len(list)); err != nil {
		return err
	}
	for _, el := range list {
		if err := encode(en, el); err != nil {
			return err
		}
	}
	return nil
}

// DecodeList reads a list that EncodeList wrote, each element with decode. It
// fails if the announced length exceeds maxElements.
func DecodeList[T any](de *msgpack.Decoder, decode func(*msgpack.Decoder) (T, error)) ([]T, error) {
	count, err := de.DecodeArrayLen()
	if err != nil {
		return nil, err
	}
	if count > maxElements {
		return nil, errors.Errorf("list of %d elements exceeds %d", count, maxElements)
	}
	var list []T
	for range max(count, 0) {
		el, err := decode(de)
		if err != nil {
			return nil, err
		}
		list = append(list, el)
	}
	return list, nil
}
