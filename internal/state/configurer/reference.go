package configurer

import (
	"fmt"
	"strings"
)

// Reference returns the documentation of every section and key as Markdown,
// from the same tables that the settings are read with.
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

func sentence(doc string) string { return strings.ToUpper(doc[:1]) + doc[1:] }

func defaultText(ks keySpec) string {
	if ks.def != "" {
		return ks.def
	}
	if ks.optional() {
		return "none"
	}
	return "must be set"
}
