package publisher

import (
	"fmt"
	"sort"

	"gopkg.in/ini.v1"

	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// Change is the difference in one key between two sets of settings files.
type Change struct {
	// File, Section and Key locate the value. Section and Key are empty if one
	// of the files has no valid syntax.
	File, Section, Key string
	// Old and New are the values; an absent key has an empty value.
	Old, New string
}

// String returns the change as one line of text.
func (ch Change) String() string {
	return fmt.Sprintf("%s: [%s] %s: %q -> %q", ch.File, ch.Section, ch.Key, ch.Old, ch.New)
}

// Difference returns the keys whose values differ, sorted by file, section and
// key. It ignores comments and the order of keys.
func Difference(before, after []configurer.File) []Change {
	oldValues, newValues := flatten(before), flatten(after)
	var changes []Change
	for loc, old := range oldValues {
		if value, ok := newValues[loc]; !ok || value != old {
			changes = append(changes, loc.change(old, value))
		}
	}
	for loc, value := range newValues {
		if _, ok := oldValues[loc]; !ok {
			changes = append(changes, loc.change("", value))
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

// location identifies a value in a set of settings files.
type location struct{ file, section, key string }

func (lc location) change(before, after string) Change {
	return Change{File: lc.file, Section: lc.section, Key: lc.key, Old: before, New: after}
}

// flatten returns all values by location. A file without valid syntax is a
// single value.
func flatten(files []configurer.File) map[location]string {
	values := map[location]string{}
	opts := ini.LoadOptions{KeyValueDelimiters: "=", IgnoreInlineComment: true}
	for _, fl := range files {
		doc, err := ini.LoadSources(opts, []byte(fl.Text))
		if err != nil {
			values[location{file: fl.Name}] = fl.Text
			continue
		}
		for _, sc := range doc.Sections() {
			for _, ky := range sc.Keys() {
				values[location{fl.Name, sc.Name(), ky.Name()}] = ky.Value()
			}
		}
	}
	return values
}
