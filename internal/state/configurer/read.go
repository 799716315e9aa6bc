package configurer

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/go-faster/errors"
	"gopkg.in/ini.v1"
)

// syntaxAllowed describes the valid lines of a file.
const syntaxAllowed = "[section], key = value, or a comment after ; or #"

// File is one settings file.
type File struct {
	// Name is the file's name within its folder. Files are merged in the order
	// of their names.
	Name string
	// Text is the file's content.
	Text string
}

// ReadFolder reads, merges and validates all .ini files of a folder. The
// settings are nil if there is any fault. The error is not nil if a file cannot
// be read or the folder has no .ini file.
func ReadFolder(folder string) (*Settings, []Fault, error) {
	files, err := Files(folder)
	if err != nil {
		return nil, nil, err
	}
	st, faults := Parse(files)
	return st, faults, nil
}

// Files reads all .ini files of a folder, sorted by name. A folder without such
// a file is an error.
func Files(folder string) ([]File, error) {
	names, err := filepath.Glob(filepath.Join(folder, "*.ini"))
	if err != nil {
		return nil, errors.Wrapf(err, "read settings folder %q", folder)
	}
	if len(names) == 0 {
		return nil, errors.Errorf("read settings folder %q: it holds no .ini file", folder)
	}
	sort.Strings(names)
	files := make([]File, 0, len(names))
	for _, name := range names {
		text, err := os.ReadFile(name)
		if err != nil {
			return nil, errors.Wrapf(err, "read settings file %q", name)
		}
		files = append(files, File{Name: filepath.Base(name), Text: string(text)})
	}
	return files, nil
}

// Parse merges and validates files. Later files take precedence. The settings
// are nil if there is any fault; faults are sorted by file and line.
func Parse(files []File) (*Settings, []Fault) {
	rd := &reader{sections: map[string]*section{}}
	for _, fl := range files {
		rd.merge(fl)
	}
	st := rd.build()
	rd.checkReferences(st)
	if len(rd.faults) > 0 {
		sortFaults(rd.faults)
		return nil, rd.faults
	}
	return st, nil
}

func sortFaults(faults []Fault) {
	sort.SliceStable(faults, func(ix, jx int) bool {
		if faults[ix].File != faults[jx].File {
			return faults[ix].File < faults[jx].File
		}
		return faults[ix].Line < faults[jx].Line
	})
}

// entry is a key's value with the file and line that set it.
type entry struct {
	value string
	file  string
	line  int
}

// section is a section after the merge.
type section struct {
	name string
	// file and line are the place of the section's first header.
	file string
	line int
	keys map[string]entry
}

// reader merges files and collects faults.
type reader struct {
	sections map[string]*section
	// order holds the names of the sections in the order of their first header.
	order  []string
	faults []Fault
}

func (rd *reader) merge(fl File) {
	opts := ini.LoadOptions{KeyValueDelimiters: "=", IgnoreInlineComment: true}
	doc, err := ini.LoadSources(opts, []byte(fl.Text))
	if err != nil {
		rd.faults = append(rd.faults, syntaxFault(fl))
		return
	}
	lines := LineNumbers(fl.Text)
	rd.rejectDuplicateKeys(fl)
	for _, sc := range doc.Sections() {
		if sc.Name() == ini.DefaultSection && len(sc.Keys()) == 0 {
			continue
		}
		target := rd.section(sc.Name(), fl.Name, lines[sc.Name()])
		for _, ky := range sc.Keys() {
			line := lines[sc.Name()+"\n"+ky.Name()]
			target.keys[ky.Name()] = entry{value: ky.Value(), file: fl.Name, line: line}
		}
	}
}

// section returns the section with the name and creates it if needed. file and
// line are the place of its first header.
func (rd *reader) section(name, file string, line int) *section {
	if sc, ok := rd.sections[name]; ok {
		return sc
	}
	sc := &section{name: name, file: file, line: line, keys: map[string]entry{}}
	rd.sections[name] = sc
	rd.order = append(rd.order, name)
	return sc
}

// syntaxFault returns a fault for the first line that is not a section, a key
// or a comment.
func syntaxFault(fl File) Fault {
	for ix, line := range strings.Split(fl.Text, "\n") {
		line = strings.TrimSpace(line)
		section := strings.HasPrefix(line, "[") && strings.HasSuffix(line, "]")
		comment := line == "" || line[0] == ';' || line[0] == '#'
		if !section && !comment && !strings.Contains(line, "=") {
			return Fault{File: fl.Name, Line: ix + 1, Found: line, Allowed: syntaxAllowed}
		}
	}
	return Fault{File: fl.Name, Line: 1, Found: "a file that cannot be read as INI", Allowed: syntaxAllowed}
}

// rejectDuplicateKeys reports each key that occurs twice in a section of one
// file, because it is unclear which value is intended.
func (rd *reader) rejectDuplicateKeys(fl File) {
	seen := map[string]int{}
	current := ini.DefaultSection
	for ix, line := range strings.Split(fl.Text, "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") && strings.HasSuffix(line, "]") {
			current = strings.TrimSpace(line[1 : len(line)-1])
			continue
		}
		key, value, found := strings.Cut(line, "=")
		if !found || line[0] == ';' || line[0] == '#' {
			continue
		}
		key = strings.TrimSpace(key)
		if first, ok := seen[current+"\n"+key]; ok {
			rd.faults = append(rd.faults, Fault{
				File: fl.Name, Line: ix + 1, Section: current, Key: key,
				Found: strings.TrimSpace(value), Allowed: fmt.Sprintf("the key once in a file; it stands in line %d", first),
			})
		}
		seen[current+"\n"+key] = ix + 1
	}
}

// LineNumbers returns the line numbers, from one, of all sections and keys. The
// map key of a section is its name, that of a key is "section\nkey".
func LineNumbers(text string) map[string]int {
	lines := map[string]int{}
	current := ini.DefaultSection
	for ix, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") && strings.HasSuffix(line, "]") {
			current = strings.TrimSpace(line[1 : len(line)-1])
			lines[current] = ix + 1
			continue
		}
		if key, _, found := strings.Cut(line, "="); found {
			lines[current+"\n"+strings.TrimSpace(key)] = ix + 1
		}
	}
	return lines
}

// build parses all sections and adds a fault for each invalid one. An unnamed
// section that no file contains gets its defaults.
func (rd *reader) build() *Settings {
	st := &Settings{
		sections: rd.sections,
		limits:   &Limits{},
		records:  &Records{},
		retries:  &Retries{},
		timeouts: &Timeouts{},
		planning: &Planning{},
	}
	specs := map[string]sectionSpec{}
	for _, sp := range schema() {
		specs[sp.kind] = sp
		if !sp.named {
			rd.section(sp.kind, "", 0)
		}
	}
	for _, name := range rd.order {
		rd.buildSection(st, specs, rd.sections[name])
	}
	st.sort()
	return st
}

// buildSection parses the keys of a section into its settings.
func (rd *reader) buildSection(st *Settings, specs map[string]sectionSpec, sc *section) {
	kind, name, hasName := strings.Cut(sc.name, ".")
	sp, ok := specs[kind]
	if !ok || sp.named != hasName || sp.named && name == "" {
		rd.fault(sc, "", sc.name, "a known section"+nearestSection(kind, specs))
		return
	}
	target := sp.target(st, name)
	for _, ks := range sp.keys {
		rd.buildKey(target, sc, ks)
	}
	rd.rejectUnknownKeys(sc, sp)
}

// buildKey parses the value or the default of one key into the target.
func (rd *reader) buildKey(target any, sc *section, ks keySpec) {
	en, written := sc.keys[ks.name]
	if !written && ks.def == "" {
		if ks.optional() {
			return
		}
		rd.fault(sc, ks.name, "", ks.allowed+"; the key must be set")
		return
	}
	text := en.value
	if !written {
		text = ks.def
	}
	if !ks.set(target, text) {
		rd.fault(sc, ks.name, text, ks.allowed)
	}
}

func (rd *reader) rejectUnknownKeys(sc *section, sp sectionSpec) {
	known := make([]string, 0, len(sp.keys))
	for _, ks := range sp.keys {
		known = append(known, ks.name)
	}
	unknown := make([]string, 0)
	for key := range sc.keys {
		if !contains(known, key) {
			unknown = append(unknown, key)
		}
	}
	sort.Strings(unknown)
	for _, key := range unknown {
		rd.fault(sc, key, sc.keys[key].value, "a known key"+NearestHint(key, known))
	}
}

// fault adds a fault at the line of the key, or of the section if no file sets
// the key.
func (rd *reader) fault(sc *section, key, found, allowed string) {
	ft := Fault{File: sc.file, Line: sc.line, Section: sc.name, Key: key, Found: found, Allowed: allowed}
	if en, ok := sc.keys[key]; ok {
		ft.File, ft.Line = en.file, en.line
	}
	if !rd.reported(ft) {
		rd.faults = append(rd.faults, ft)
	}
}

// reported reports whether the key already has a fault. Only the first fault of
// a key is kept, because it may cause the later ones.
func (rd *reader) reported(ft Fault) bool {
	for _, other := range rd.faults {
		if other.Section == ft.Section && other.Key == ft.Key {
			return true
		}
	}
	return false
}

func contains(names []string, wanted string) bool {
	for _, name := range names {
		if name == wanted {
			return true
		}
	}
	return false
}

// nearestSection returns a hint with the title of the section whose kind has
// the smallest edit distance to kind, or an empty string if none is close.
func nearestSection(kind string, specs map[string]sectionSpec) string {
	name := nearestName(kind, namesOf(specs))
	if name == "" {
		return ""
	}
	return fmt.Sprintf("; the nearest is %q", specs[name].title())
}

// NearestHint returns a hint with the known name at the smallest edit distance
// from found, or an empty string if none is close.
func NearestHint(found string, known []string) string {
	best := nearestName(found, known)
	if best == "" {
		return ""
	}
	return fmt.Sprintf("; the nearest is %q", best)
}

// nearestName returns the known name at the smallest edit distance from found.
// A distance of len(found) or more is not close; without a close name, it
// returns an empty string.
func nearestName(found string, known []string) string {
	best, least := "", len(found)
	for _, name := range known {
		if dist := editDistance(found, name); dist < least {
			best, least = name, dist
		}
	}
	return best
}

// editDistance returns the Levenshtein distance in bytes.
func editDistance(from, to string) int {
	row := make([]int, len(to)+1)
	for jx := range row {
		row[jx] = jx
	}
	for ix := range len(from) {
		diagonal := row[0]
		row[0] = ix + 1
		for jx := range len(to) {
			cost := diagonal
			if from[ix] != to[jx] {
				cost = 1 + min(diagonal, row[jx], row[jx+1])
			}
			diagonal, row[jx+1] = row[jx+1], cost
		}
	}
	return row[len(to)]
}
