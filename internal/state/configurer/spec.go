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
	name string
	// unit is the unit or type of the value in the reference page.
	unit string
	// def is the text of the default, or empty if there is none.
	def string
	// allowed describes the valid values in faults and in the reference page.
	allowed string
	// doc is the meaning of the key in the reference page.
	doc string
	// omittable is true if the key is optional although it has no default. See
	// also the method optional.
	omittable bool
	// set parses text and stores the value in the target, a pointer to the
	// section's type. It reports whether the text is valid.
	set func(target any, text string) bool
}

// optional reports whether the key may be omitted although it has no default.
func (ks keySpec) optional() bool {
	return ks.omittable || ks.unit == "list" || strings.HasPrefix(ks.name, "default-")
}

// sectionSpec describes one kind of section.
type sectionSpec struct {
	// kind is the section's name, or the part before the dot if it is named.
	kind string
	// named is true if the header has the form [kind.name]. Other sections
	// occur once and exist even if no file has them.
	named bool
	doc   string
	keys  []keySpec
	// target returns a pointer to the settings of the section, which it creates
	// if the section is named.
	target func(st *Settings, name string) any
}

// title returns the section's header without brackets, with NAME as the name.
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

// addSection adds a named section to its map and returns it.
func addSection[T any](all *map[string]*T, name string, made *T) *T {
	if *all == nil {
		*all = map[string]*T{}
	}
	(*all)[name] = made
	return made
}

// withParser returns the key with a setter that parses a text and stores the
// value in the field.
func withParser[T, V any](ks keySpec, parse func(string) (V, bool), field func(*T) *V) keySpec {
	ks.set = func(target any, text string) bool {
		vl, ok := parse(text)
		if ok {
			*field(target.(*T)) = vl
		}
		return ok
	}
	return ks
}

func textKey[T any](name, def, doc string, field func(*T) *string) keySpec {
	ks := keySpec{name: name, unit: "text", def: def, allowed: "a name without spaces", doc: doc}
	parse := func(tx string) (string, bool) { return tx, tx != "" && !strings.ContainsAny(tx, " \t,") }
	return withParser(ks, parse, field)
}

// nameKey returns a text key that may be omitted or empty.
func nameKey[T any](name, doc string, field func(*T) *string) keySpec {
	ks := keySpec{name: name, unit: "text", allowed: "a name without spaces, or nothing", doc: doc, omittable: true}
	parse := func(tx string) (string, bool) { return tx, !strings.ContainsAny(tx, " \t,") }
	return withParser(ks, parse, field)
}

// parseCount parses a non-negative integer.
func parseCount(tx string) (int, bool) {
	count, err := strconv.Atoi(tx)
	return count, err == nil && count >= 0
}

func hashListKey[T any](name, doc string, field func(*T) *[]string) keySpec {
	ks := keySpec{name: name, unit: "list of hexadecimal", allowed: "64 lower-case hexadecimal digits, separated by commas", doc: doc}
	parse := func(tx string) ([]string, bool) {
		hashes, ok := splitList(tx)
		for _, hash := range hashes {
			_, err := hex.DecodeString(hash)
			ok = ok && err == nil && len(hash) == 64 && strings.ToLower(hash) == hash
		}
		return hashes, ok
	}
	return withParser(ks, parse, field)
}

func listKey[T any](name, def, doc string, field func(*T) *[]string) keySpec {
	ks := keySpec{name: name, unit: "list", def: def, allowed: "names separated by commas", doc: doc}
	return withParser(ks, splitList, field)
}

func addressListKey[T any](name, doc string, field func(*T) *[]string) keySpec {
	ks := keySpec{name: name, unit: "list of host:port", allowed: "host:port, separated by commas", doc: doc}
	parse := func(tx string) ([]string, bool) {
		addresses, ok := splitList(tx)
		for _, address := range addresses {
			_, valid := parseAddress(address)
			ok = ok && valid
		}
		return addresses, ok && len(addresses) > 0
	}
	return withParser(ks, parse, field)
}

func addressKey[T any](name, doc string, field func(*T) *string) keySpec {
	ks := keySpec{name: name, unit: "host:port", allowed: "host:port with an IP number", doc: doc}
	return withParser(ks, parseAddress, field)
}

func boolKey[T any](name, def, doc string, field func(*T) *bool) keySpec {
	ks := keySpec{name: name, unit: "yes or no", def: def, allowed: "yes or no", doc: doc}
	parse := func(tx string) (bool, bool) { return tx == "yes", tx == "yes" || tx == "no" }
	return withParser(ks, parse, field)
}

func choiceKey[T any, V ~string](name, def string, choices []V, doc string, field func(*T) *V) keySpec {
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
	return withParser(ks, parse, field)
}

func intKey[T any](name, def string, low, high int, doc string, field func(*T) *int) keySpec {
	allowed := fmt.Sprintf("a whole number from %d to %d", low, high)
	ks := keySpec{name: name, unit: "number", def: def, allowed: allowed, doc: doc}
	parse := func(tx string) (int, bool) {
		vl, err := strconv.Atoi(tx)
		return vl, err == nil && vl >= low && vl <= high
	}
	return withParser(ks, parse, field)
}

func floatKey[T any](name, def string, low, high float64, doc string, field func(*T) *float64) keySpec {
	allowed := fmt.Sprintf("a number from %g to %g", low, high)
	ks := keySpec{name: name, unit: "number", def: def, allowed: allowed, doc: doc}
	parse := func(tx string) (float64, bool) {
		vl, err := strconv.ParseFloat(tx, 64)
		return vl, err == nil && vl >= low && vl <= high
	}
	return withParser(ks, parse, field)
}

func durationKey[T any](name, def string, low, high time.Duration, doc string, field func(*T) *time.Duration) keySpec {
	allowed := fmt.Sprintf("a duration from %v to %v", low, high)
	ks := keySpec{name: name, unit: "duration", def: def, allowed: allowed, doc: doc}
	parse := func(tx string) (time.Duration, bool) {
		vl, err := time.ParseDuration(tx)
		return vl, err == nil && vl >= low && vl <= high
	}
	return withParser(ks, parse, field)
}

func bytesKey[T any](name, def string, low, high int64, doc string, field func(*T) *int64) keySpec {
	allowed := fmt.Sprintf("a size from %s to %s, in B, KiB, MiB, GiB or TiB", formatBytes(low), formatBytes(high))
	ks := keySpec{name: name, unit: "bytes", def: def, allowed: allowed, doc: doc}
	parse := func(tx string) (int64, bool) {
		vl, ok := parseBytes(tx)
		return vl, ok && vl >= low && vl <= high
	}
	return withParser(ks, parse, field)
}

// splitList splits a list at commas and drops empty parts. It accepts every
// text.
func splitList(tx string) ([]string, bool) {
	var all []string
	for _, part := range strings.Split(tx, ",") {
		if part = strings.TrimSpace(part); part != "" {
			all = append(all, part)
		}
	}
	return all, true
}

// parseAddress accepts an IP address with a port from 1 to 65535.
func parseAddress(tx string) (string, bool) {
	host, port, err := net.SplitHostPort(tx)
	if err != nil || net.ParseIP(host) == nil {
		return "", false
	}
	number, err := strconv.Atoi(port)
	return tx, err == nil && number > 0 && number < 1<<16
}

// byteUnits are sorted from the largest. B is last because it is a suffix of
// all other units.
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

// parseBytes parses an integer with a unit. Sizes above 1<<62 bytes are
// invalid.
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

// formatBytes formats a size in the largest unit that divides it.
func formatBytes(count int64) string {
	for _, un := range byteUnits {
		if count >= un.size && count%un.size == 0 {
			return strconv.FormatInt(count/un.size, 10) + un.suffix
		}
	}
	return "0B"
}
