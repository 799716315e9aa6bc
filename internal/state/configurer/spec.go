package configurer

import (
	"encoding/hex"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

// keySpec describes one key of a section.
type keySpec struct {
	name    string
	unit    string
	def     string
	allowed string
	doc     string
	// mayLack says that the key may be left out although it has no default.
	mayLack bool
	// set parses text into the target, a pointer to the section's type; it
	// reports whether the text is allowed.
	set func(target any, text string) bool
}

// optional reports whether the key may be left out although it has no default.
func (ks keySpec) optional() bool {
	return ks.mayLack || ks.unit == "list" || strings.HasPrefix(ks.name, "default-")
}

// sectionSpec describes one kind of section.
type sectionSpec struct {
	kind  string
	named bool
	doc   string
	keys  []keySpec
	// target returns the pointer that the keys are set on.
	target func(st *Settings, name string) any
}

// title returns the section's name as it is written.
func (sp sectionSpec) title() string {
	if sp.named {
		return sp.kind + ".NAME"
	}
	return sp.kind
}

func namedSection[T any](kind, doc string, target func(*Settings, string) *T, keys ...keySpec) sectionSpec {
	build := func(st *Settings, name string) any { return target(st, name) }
	return sectionSpec{kind: kind, named: true, doc: doc, keys: keys, target: build}
}

func singleSection[T any](kind, doc string, target func(*Settings) *T, keys ...keySpec) sectionSpec {
	get := func(st *Settings, _ string) any { return target(st) }
	return sectionSpec{kind: kind, doc: doc, keys: keys, target: get}
}

// add puts a new named section into its map.
func add[T any](all *map[string]*T, name string, made *T) *T {
	if *all == nil {
		*all = map[string]*T{}
	}
	(*all)[name] = made
	return made
}

// parsed builds a key from a parser and the place where its value goes.
func parsed[T, V any](ks keySpec, parse func(string) (V, bool), place func(*T) *V) keySpec {
	ks.set = func(target any, text string) bool {
		vl, ok := parse(text)
		if ok {
			*place(target.(*T)) = vl
		}
		return ok
	}
	return ks
}

func textKey[T any](name, def, doc string, place func(*T) *string) keySpec {
	ks := keySpec{name: name, unit: "text", def: def, allowed: "a name without spaces", doc: doc}
	parse := func(tx string) (string, bool) { return tx, tx != "" && !strings.ContainsAny(tx, " \t,") }
	return parsed(ks, parse, place)
}

// nameKey is a textKey that may be left out.
func nameKey[T any](name, doc string, place func(*T) *string) keySpec {
	ks := keySpec{name: name, unit: "text", allowed: "a name without spaces, or nothing", doc: doc, mayLack: true}
	parse := func(tx string) (string, bool) { return tx, !strings.ContainsAny(tx, " \t,") }
	return parsed(ks, parse, place)
}

// parseCount reads a whole number that is not negative.
func parseCount(tx string) (int, bool) {
	count, err := strconv.Atoi(tx)
	return count, err == nil && count >= 0
}

func hashKey[T any](name, doc string, place func(*T) *string) keySpec {
	ks := keySpec{name: name, unit: "hexadecimal", allowed: "64 lower-case hexadecimal digits", doc: doc}
	parse := func(tx string) (string, bool) {
		_, err := hex.DecodeString(tx)
		return tx, err == nil && len(tx) == 64 && strings.ToLower(tx) == tx
	}
	return parsed(ks, parse, place)
}

func listKey[T any](name, def, doc string, place func(*T) *[]string) keySpec {
	ks := keySpec{name: name, unit: "list", def: def, allowed: "names separated by commas", doc: doc}
	return parsed(ks, splitList, place)
}

func addressListKey[T any](name, doc string, place func(*T) *[]string) keySpec {
	ks := keySpec{name: name, unit: "list of host:port", allowed: "host:port, separated by commas", doc: doc}
	parse := func(tx string) ([]string, bool) {
		all, ok := splitList(tx)
		for _, one := range all {
			_, good := parseAddress(one)
			ok = ok && good
		}
		return all, ok && len(all) > 0
	}
	return parsed(ks, parse, place)
}

func addressKey[T any](name, doc string, place func(*T) *string) keySpec {
	ks := keySpec{name: name, unit: "host:port", allowed: "host:port with an IP number", doc: doc}
	return parsed(ks, parseAddress, place)
}

func boolKey[T any](name, def, doc string, place func(*T) *bool) keySpec {
	ks := keySpec{name: name, unit: "yes or no", def: def, allowed: "yes or no", doc: doc}
	parse := func(tx string) (bool, bool) { return tx == "yes", tx == "yes" || tx == "no" }
	return parsed(ks, parse, place)
}

func choiceKey[T any, V ~string](name, def string, choices []V, doc string, place func(*T) *V) keySpec {
	words := make([]string, 0, len(choices))
	for _, ch := range choices {
		words = append(words, string(ch))
	}
	ks := keySpec{name: name, unit: "word", def: def, allowed: strings.Join(words, ", "), doc: doc}
	parse := func(tx string) (V, bool) {
		for _, ch := range choices {
			if tx == string(ch) {
				return ch, true
			}
		}
		return "", false
	}
	return parsed(ks, parse, place)
}

func intKey[T any](name, def string, low, high int, doc string, place func(*T) *int) keySpec {
	allowed := fmt.Sprintf("a whole number from %d to %d", low, high)
	ks := keySpec{name: name, unit: "number", def: def, allowed: allowed, doc: doc}
	parse := func(tx string) (int, bool) {
		vl, err := strconv.Atoi(tx)
		return vl, err == nil && vl >= low && vl <= high
	}
	return parsed(ks, parse, place)
}

func floatKey[T any](name, def string, low, high float64, doc string, place func(*T) *float64) keySpec {
	allowed := fmt.Sprintf("a number from %g to %g", low, high)
	ks := keySpec{name: name, unit: "number", def: def, allowed: allowed, doc: doc}
	parse := func(tx string) (float64, bool) {
		vl, err := strconv.ParseFloat(tx, 64)
		return vl, err == nil && vl >= low && vl <= high
	}
	return parsed(ks, parse, place)
}

func durationKey[T any](name, def string, low, high time.Duration, doc string, place func(*T) *time.Duration) keySpec {
	allowed := fmt.Sprintf("a duration from %v to %v", low, high)
	ks := keySpec{name: name, unit: "duration", def: def, allowed: allowed, doc: doc}
	parse := func(tx string) (time.Duration, bool) {
		vl, err := time.ParseDuration(tx)
		return vl, err == nil && vl >= low && vl <= high
	}
	return parsed(ks, parse, place)
}

func bytesKey[T any](name, def string, low, high int64, doc string, place func(*T) *int64) keySpec {
	allowed := fmt.Sprintf("a size from %s to %s, in B, KiB, MiB, GiB or TiB", formatBytes(low), formatBytes(high))
	ks := keySpec{name: name, unit: "bytes", def: def, allowed: allowed, doc: doc}
	parse := func(tx string) (int64, bool) {
		vl, ok := parseBytes(tx)
		return vl, ok && vl >= low && vl <= high
	}
	return parsed(ks, parse, place)
}

func splitList(tx string) ([]string, bool) {
	var all []string
	for _, part := range strings.Split(tx, ",") {
		if part = strings.TrimSpace(part); part != "" {
			all = append(all, part)
		}
	}
	return all, true
}

func parseAddress(tx string) (string, bool) {
	host, port, err := net.SplitHostPort(tx)
	if err != nil || net.ParseIP(host) == nil {
		return "", false
	}
	number, err := strconv.Atoi(port)
	return tx, err == nil && number > 0 && number < 1<<16
}

// byteUnits are ordered from the largest, and B comes last as it ends them all.
var byteUnits = []struct {
	suffix string
	size   int64
}{
	{"TiB", 1 << 40},
	{"GiB", gibibyte},
	{"MiB", mebibyte},
	{"KiB", kibibyte},
	{"B", 1},
}

func parseBytes(tx string) (int64, bool) {
	for _, un := range byteUnits {
		digits, found := strings.CutSuffix(tx, un.suffix)
		if !found {
			continue
		}
		count, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || count < 0 || count > (1<<62)/un.size {
			return 0, false
		}
		return count * un.size, true
	}
	return 0, false
}

func formatBytes(count int64) string {
	for _, un := range byteUnits {
		if count >= un.size && count%un.size == 0 {
			return strconv.FormatInt(count/un.size, 10) + un.suffix
		}
	}
	return "0B"
}
