package messenger

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// QuotaUse is what a node states about one caller's quota.
type QuotaUse struct {
	// Caller is the caller's index among the names that Callers identifies.
	Caller uint32
	// Spent is the number of units spent since the last grant for the caller that the
	// node received, and Refunded that of refunds of spending that was stated before.
	Spent, Refunded uint32
	// Demand is the code of the number of units requested per second, including those
	// of refused requests.
	Demand uint8
	// Prefetch asks for the units of the next second in advance.
	Prefetch bool
	// Waiting is the cost of the requests that wait for units, and Head that of the
	// first of them.
	Waiting, Head uint32
	// Share is the code of the share of the quota that the node may use without a
	// ledger. It is stated only to a ledger that the node has not heard of before.
	Share uint8
}

// QuotaReport tells the leader what a node has spent of the callers' quotas and
// what it needs. Integers have variable length and an early report leaves out what
// the last regular one stated, since reports are frequent.
type QuotaReport struct {
	// Regular says that the report is about all callers and states Node, Term and
	// Callers.
	Regular bool
	// Leaving says that the node stops and returns all units and shares.
	Leaving bool
	// Incarnation is the number of the sender's process, and Number that of the
	// report in it.
	Incarnation uint32
	Number      uint64
	// Seen is the number of the last report to which the sender got the answer of a
	// ledger, or 0.
	Seen uint64
	// Node is the sender's id.
	Node string
	// Term is the term of the last ledger that the node heard of, or 0.
	Term int64
	// Callers identifies the list of callers' names that the indexes refer to.
	Callers uint32
	// Uses are the callers that the report is about.
	Uses []QuotaUse
}

// Kind implements Message.
func (*QuotaReport) Kind() Kind { return KindQuotaReport }

// The flags of a QuotaReport.
const (
	reportRegular = 1 << iota
	reportLeaving
)

// The flags of a QuotaUse. Those after useExtended are in a byte of their own.
const (
	usePrefetches = 1 << iota
	useExtended
	useWaits
	useWaitsMore
	useShares
	useRefunds

	useFlagBits = 2
)

// flagBit returns the flag if it is set, and else 0.
func flagBit(set bool, bit uint64) uint64 {
	if set {
		return bit
	}
	return 0
}

// Encode implements Message.
func (qr *QuotaReport) Encode(en *msgpack.Encoder) error {
	flags := flagBit(qr.Regular, reportRegular) | flagBit(qr.Leaving, reportLeaving)
	buf := appendVarints(nil, flags, uint64(qr.Incarnation), qr.Number, qr.Number-qr.Seen)
	if qr.Regular {
		buf = appendVarints(buf, uint64(len(qr.Node)))
		buf = append(buf, qr.Node...)
		buf = appendVarints(buf, uint64(qr.Term), uint64(qr.Callers))
	}
	for _, qu := range qr.Uses {
		more := flagBit(qu.Waiting > 0, useWaits) | flagBit(qu.Waiting > 0 && qu.Waiting != qu.Head, useWaitsMore) | flagBit(qu.Share > 0, useShares) | flagBit(qu.Refunded > 0, useRefunds)
		buf = appendVarints(buf, uint64(qu.Caller)<<useFlagBits|flagBit(qu.Prefetch, usePrefetches)|flagBit(more != 0, useExtended))
		if more != 0 {
			buf = append(buf, uint8(more))
		}
		buf = append(appendVarints(buf, uint64(qu.Spent)), qu.Demand)
		if more&useWaits != 0 {
			buf = appendVarints(buf, uint64(qu.Head))
		}
		if more&useWaitsMore != 0 {
			buf = appendVarints(buf, uint64(qu.Waiting))
		}
		if more&useShares != 0 {
			buf = append(buf, qu.Share)
		}
		if more&useRefunds != 0 {
			buf = appendVarints(buf, uint64(qu.Refunded))
		}
	}
	return EncodeAll(en, buf)
}

// Decode implements Message.
func (qr *QuotaReport) Decode(de *msgpack.Decoder) error {
	var buf []byte
	if err := DecodeAll(de, &buf); err != nil {
		return err
	}
	vr := varintReader{buf}
	var flags, behind uint64
	if err := vr.read(&flags, &qr.Incarnation, &qr.Number, &behind); err != nil {
		return err
	}
	qr.Regular, qr.Leaving, qr.Seen = flags&reportRegular != 0, flags&reportLeaving != 0, qr.Number-behind
	if qr.Regular {
		var term uint64
		if err := vr.read(&qr.Node, &term, &qr.Callers); err != nil {
			return err
		}
		qr.Term = int64(term)
	}
	for len(vr.rest) > 0 {
		qu, err := decodeUse(&vr)
		if err != nil {
			return err
		}
		qr.Uses = append(qr.Uses, qu)
	}
	return nil
}

func decodeUse(vr *varintReader) (QuotaUse, error) {
	var head uint64
	var more uint8
	var qu QuotaUse
	if err := vr.read(&head); err != nil {
		return qu, err
	}
	qu.Caller, qu.Prefetch = uint32(head>>useFlagBits), head&usePrefetches != 0
	if head&useExtended != 0 {
		if err := vr.read(&more); err != nil {
			return qu, err
		}
	}
	targets := []any{&qu.Spent, &qu.Demand}
	if more&useWaits != 0 {
		targets = append(targets, &qu.Head)
	}
	if more&useWaitsMore != 0 {
		targets = append(targets, &qu.Waiting)
	}
	if more&useShares != 0 {
		targets = append(targets, &qu.Share)
	}
	if more&useRefunds != 0 {
		targets = append(targets, &qu.Refunded)
	}
	err := vr.read(targets...)
	if more&useWaitsMore == 0 {
		qu.Waiting = qu.Head
	}
	return qu, err
}

// QuotaPart is a node's part of one caller's quota.
type QuotaPart struct {
	// Caller is the caller's index, as in the report.
	Caller uint32
	// Granted says that the part states units: the node may spend Units from the
	// spending that its report stated. They replace those of earlier grants.
	Granted bool
	Units   uint32
	// Shared says that the part states Share, the code of the share of the quota that
	// the node may use without a ledger.
	Shared bool
	Share  uint8
	// Wait is the time until there are units again, if fewer were granted than
	// requested, and Spread the time over which refused requests are to return. Their
	// resolutions are WaitUnit and SpreadUnit.
	Wait, Spread time.Duration
}

// The resolutions of the times in a QuotaPart.
const (
	WaitUnit   = time.Millisecond
	SpreadUnit = 100 * time.Millisecond
)

// QuotaGrant answers a QuotaReport. Its units are valid for a fixed time from when
// the report was sent.
type QuotaGrant struct {
	// Kept says that the sender keeps a ledger.
	Kept bool
	// Fallback says that no units are granted and the node uses its shares.
	Fallback bool
	// Report is the number of the report, modulo 256.
	Report uint8
	// Term is the term of the ledger, or 0 if the report states it.
	Term int64
	// Parts are the node's parts of quotas.
	Parts []QuotaPart
}

// Kind implements Message.
func (*QuotaGrant) Kind() Kind { return KindQuotaGrant }

// The flags of a QuotaGrant.
const (
	grantKept = 1 << iota
	grantFallback
	grantTerm
)

// The flags of a QuotaPart. Those after partExtended are in a byte of their own.
const (
	partGrants = 1 << iota
	partExtended
	partWaits
	partShares

	partFlagBits = 2
)

// Encode implements Message.
func (qg *QuotaGrant) Encode(en *msgpack.Encoder) error {
	flags := flagBit(qg.Kept, grantKept) | flagBit(qg.Fallback, grantFallback) | flagBit(qg.Term != 0, grantTerm)
	buf := []byte{uint8(flags), qg.Report}
	if qg.Term != 0 {
		buf = appendVarints(buf, uint64(qg.Term))
	}
	for _, qp := range qg.Parts {
		wait, spread := uint64(qp.Wait/WaitUnit), uint8(min(qp.Spread/SpreadUnit, math.MaxUint8))
		more := flagBit(wait > 0 || spread > 0, partWaits) | flagBit(qp.Shared, partShares)
		buf = appendVarints(buf, uint64(qp.Caller)<<partFlagBits|flagBit(qp.Granted, partGrants)|flagBit(more != 0, partExtended))
		if more != 0 {
			buf = append(buf, uint8(more))
		}
		if qp.Granted {
			buf = appendVarints(buf, uint64(qp.Units))
		}
		if more&partShares != 0 {
			buf = append(buf, qp.Share)
		}
		if more&partWaits != 0 {
			buf = append(appendVarints(buf, wait), spread)
		}
	}
	return EncodeAll(en, buf)
}

// Decode implements Message.
func (qg *QuotaGrant) Decode(de *msgpack.Decoder) error {
	var buf []byte
	if err := DecodeAll(de, &buf); err != nil {
		return err
	}
	vr := varintReader{buf}
	var flags uint8
	if err := vr.read(&flags, &qg.Report); err != nil {
		return err
	}
	qg.Kept, qg.Fallback = flags&grantKept != 0, flags&grantFallback != 0
	if flags&grantTerm != 0 {
		var term uint64
		if err := vr.read(&term); err != nil {
			return err
		}
		qg.Term = int64(term)
	}
	for len(vr.rest) > 0 {
		qp, err := decodePart(&vr)
		if err != nil {
			return err
		}
		qg.Parts = append(qg.Parts, qp)
	}
	return nil
}

func decodePart(vr *varintReader) (QuotaPart, error) {
	var head uint64
	var wait uint32
	var more, spread uint8
	var qp QuotaPart
	if err := vr.read(&head); err != nil {
		return qp, err
	}
	qp.Caller, qp.Granted = uint32(head>>partFlagBits), head&partGrants != 0
	var targets []any
	if head&partExtended != 0 {
		if err := vr.read(&more); err != nil {
			return qp, err
		}
	}
	if qp.Granted {
		targets = append(targets, &qp.Units)
	}
	if qp.Shared = more&partShares != 0; qp.Shared {
		targets = append(targets, &qp.Share)
	}
	if more&partWaits != 0 {
		targets = append(targets, &wait, &spread)
	}
	err := vr.read(targets...)
	qp.Wait, qp.Spread = time.Duration(wait)*WaitUnit, time.Duration(spread)*SpreadUnit
	return qp, err
}

var errQuotaFormat = errors.New("quota message is cut short or has an invalid integer")

func appendVarints(buf []byte, values ...uint64) []byte {
	for _, vl := range values {
		buf = binary.AppendUvarint(buf, vl)
	}
	return buf
}

// varintReader reads integers of variable length and single bytes.
type varintReader struct{ rest []byte }

// read reads into targets of type *uint64, *uint32, *string and *uint8, the
// last as a byte. Of a value that is out of range it keeps the low bits.
func (vr *varintReader) read(targets ...any) error {
	for _, tg := range targets {
		if tp, ok := tg.(*uint8); ok {
			if len(vr.rest) == 0 {
				return errQuotaFormat
			}
			*tp, vr.rest = vr.rest[0], vr.rest[1:]
			continue
		}
		if tp, ok := tg.(*string); ok {
			var size uint64
			if err := vr.read(&size); err != nil || size > uint64(len(vr.rest)) {
				return errQuotaFormat
			}
			*tp, vr.rest = string(vr.rest[:size]), vr.rest[size:]
			continue
		}
		value, size := binary.Uvarint(vr.rest)
		if size <= 0 {
			return errQuotaFormat
		}
		vr.rest = vr.rest[size:]
		switch tp := tg.(type) {
		case *uint64:
			*tp = value
		case *uint32:
			*tp = uint32(value)
		default:
			return errors.Errorf("no codec for type %T", tg)
		}
	}
	return nil
}
