package configurer

import (
	"fmt"
	"strings"
)

// Reference returns the documentation of every section and key as Markdown. It
// is generated from the schema that Parse uses.
func Reference() string {
	var out strings.Builder
	for _, sp := range schema() {
		fmt.Fprintf(&out, "## [%s]\n\n%s.\n\n", sp.title(), sentence(sp.doc))
		out.WriteString("| key | unit | default | allowed | meaning |\n| --- | --- | --- | --- | --- |\n")
		for _, ks := range sp.keys {
			fmt.Fprintf(&out, "| %s | %s | %s | %s | %s |\n", ks.name, ks.unit, defaultText(ks), ks.allowed, sentence(ks.doc))
		}
		out.WriteString("\n")
	}
	return out.String()
}

// sentence capitalises the first letter.
func sentence(doc string) string { return strings.ToUpper(doc[:1]) + doc[1:] }

// defaultText returns the text of the default column.
func defaultText(ks keySpec) string {
	if ks.def != "" {
		return ks.def
	}
	if ks.optional() {
		return "none"
	}
	return "must be set"
}
