package accountant_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lagoonpass/lagoonpass/internal/state/accountant"
)

// TestReservedEqualsSumOverHistory compares the ledger with a sum over the
// whole history of events.
func TestReservedEqualsSumOverHistory(t *testing.T) {
	type event struct {
		accountant.Attempt
		ended bool
	}
	rapid.Check(t, func(rt *rapid.T) {
		lg := &accountant.Ledger{}
		var history []*event
		used := map[accountant.Copy]int64{}
		now := time.Now()
		for range rapid.IntRange(1, 60).Draw(rt, "events") {
			cp := accountant.NewCopy(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "model"), "1")
			switch rapid.IntRange(0, 3).Draw(rt, "event") {
			case 0:
				bytes := rapid.Int64Range(1, 50).Draw(rt, "bytes")
				history = append(history, &event{Attempt: lg.Begin(accountant.Load, cp, bytes, now)})
				used[cp] = max(used[cp], bytes)
			case 1:
				history = append(history, &event{Attempt: lg.Begin(accountant.Unload, cp, 1, now)})
				used[cp] = max(used[cp], 1)
			case 2:
				if len(history) == 0 {
					continue
				}
				ev := rapid.SampledFrom(history).Draw(rt, "answered")
				if !ev.ended && ev.Action() == accountant.Unload {
					delete(used, ev.Copy)
				} else if !ev.ended {
					used[ev.Copy] = max(used[ev.Copy], ev.Bytes())
				}
				ev.ended = true
				lg.MarkExecuted(ev.Fence())
			case 3:
				value, err := lg.Encode()
				require.NoError(rt, err)
				lg, err = accountant.Decode(value, now)
				require.NoError(rt, err)
			}
			want := int64(0)
			for _, name := range []string{"a", "b", "c"} {
				most := used[accountant.NewCopy(name, "1")]
				for _, ev := range history {
					if !ev.ended && ev.Model() == name && ev.Action() == accountant.Load {
						most = max(most, ev.Bytes())
					}
				}
				want += most
			}
			require.Equal(rt, want, lg.Reserved())
		}
	})
}

func TestTakeOverRestartsLateOrderBound(t *testing.T) {
	now := time.Now()
	cp := accountant.NewCopy("a", "1")
	lg := &accountant.Ledger{}
	lg.Begin(accountant.Load, cp, 60, now)
	later := now.Add(time.Hour)
	lg.TakeOver("n2", later)
	lg.Expire(later.Add(time.Second), time.Second)
	require.True(t, lg.Pending(accountant.Load, cp))
	lg.Expire(later.Add(time.Second+1), time.Second)
	require.False(t, lg.Pending(accountant.Load, cp))
}

func TestRebootKeepsPendingLoadsReserved(t *testing.T) {
	for _, checks := range []bool{false, true} {
		lg := &accountant.Ledger{}
		lg.RecordBoot("b1", checks)
		lg.MarkExecuted(lg.Begin(accountant.Load, accountant.NewCopy("a", "1"), 30, time.Now()).Fence())
		lg.Begin(accountant.Load, accountant.NewCopy("b", "1"), 40, time.Now())
		require.True(t, lg.RecordBoot("b2", checks))
		require.Equal(t, map[bool]int64{false: 40, true: 0}[checks], lg.Reserved())
	}
}

func TestSetRefusesOlderFencingNumber(t *testing.T) {
	rp := &accountant.Replicas{}
	require.True(t, rp.Set("w1", 5, false))
	require.False(t, rp.Set("w1", 4, true))
	require.Empty(t, rp.Servers())
}

func FuzzDecode(f *testing.F) {
	lg := &accountant.Ledger{}
	lg.RecordBoot("b1", true)
	lg.MarkExecuted(lg.Begin(accountant.Load, accountant.NewCopy("a", "1"), 30, time.Now()).Fence())
	lg.Begin(accountant.SetRole, accountant.NewCopy("mixed", ""), 5, time.Now())
	value, err := lg.Encode()
	require.NoError(f, err)
	f.Add(value)
	f.Add(value[:len(value)-1])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, value []byte) {
		_, _ = accountant.DecodeReplicas(value)
		lg, err := accountant.Decode(value, time.Time{})
		if err != nil {
			require.ErrorIs(t, err, accountant.ErrCorrupt)
			return
		}
		encoded, err := lg.Encode()
		require.NoError(t, err)
		decoded, err := accountant.Decode(encoded, time.Time{})
		require.NoError(t, err)
		require.Equal(t, lg, decoded)
	})
}

func BenchmarkFits(b *testing.B) {
	lg := &accountant.Ledger{}
	for ix := range 16 {
		lg.Begin(accountant.Load, accountant.NewCopy(string(rune('a'+ix)), "1"), 5, time.Now())
	}
	cp := accountant.NewCopy("z", "1")
	b.ReportAllocs()
	for b.Loop() {
		lg.Fits(100, cp, 5)
	}
}
