package publisher

import (
	"fmt"
	"sort"

	"gopkg.in/ini.v1"

	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// Change is one key that differs between two sets of settings files.
type Change struct {
	// File, Section and Key say where.
	File, Section, Key string
	// Old and New are the values; an absent key has an empty one.
	Old, New string
}

// String returns the change as a line for people.
func (ch Change) String() string {
	return fmt.Sprintf("%s: [%s] %s: %q -> %q", ch.File, ch.Section, ch.Key, ch.Old, ch.New)
}

// Difference returns the keys that differ, in the order of file, section and
// key. Comments and the order of keys make no difference.
func Difference(before, after []configurer.File) []Change {
	was, is := flatten(before), flatten(after)
	var changes []Change
	for at, old := range was {
		if value, ok := is[at]; !ok || value != old {
			changes = append(changes, at.change(old, value))
		}
	}
	for at, value := range is {
		if _, ok := was[at]; !ok {
			changes = append(changes, at.change("", value))
		}
	}
	sort.Slice(changes, func(ix, jx int) bool {
		one, two := changes[ix], changes[jx]
		if one.File != two.File {
			return one.File < two.File
		}
		if one.Section != two.Section {
			return one.Section < two.Section
		}
		return one.Key < two.Key
	})
	return changes
}

// place is where a value stands.
type place struct{ file, section, key string }

func (pl place) change(before, after string) Change {
	return Change{File: pl.file, Section: pl.section, Key: pl.key, Old: before, New: after}
}

func flatten(files []configurer.File) map[place]string {
	values := map[place]string{}
	opts := ini.LoadOptions{KeyValueDelimiters: "=", IgnoreInlineComment: true}
	for _, fl := range files {
		doc, err := ini.LoadSources(opts, []byte(fl.Text))
		if err != nil {
			values[place{file: fl.Name}] = fl.Text
			continue
		}
		for _, sc := range doc.Sections() {
			for _, ky := range sc.Keys() {
				values[place{fl.Name, sc.Name(), ky.Name()}] = ky.Value()
			}
		}
	}
	return values
}
