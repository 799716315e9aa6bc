package soaker

import (
	"fmt"
	"strings"

	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// callerKey is the API key of the only caller.
const callerKey = "test"

// baseText is the constant part of the settings.
const baseText = `
[class.quick]
rank = 0
deadline = 20s
[class.slow]
rank = 2
deadline = 60s
[caller.t]
key-sha256 = 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08
quota = 100000
burst = 100000
[engine-kind.fenced]
checks-fencing = yes
resumes = yes
[engine-kind.open]
checks-fencing = no
late-order-bound = 60s
resumes = yes
[limits]
weight-loads-per-second = 5
weight-loads-at-once = 5
address-answer-lifetime = 2s
[timeouts]
drain = 2m
`

// models are configured in every revision, extraModel only in some.
var models = []string{"m1", "m2", "m3"}

const extraModel = "extra"

func engineName(ix int) string { return fmt.Sprintf("w%d", ix+1) }

func engineHost(ix int) string { return fmt.Sprintf("10.1.0.%d", ix+1) }

func engineAddress(ix int) string { return engineHost(ix) + ":90" }

// fenced reports whether the engine rejects old fencing numbers.
func fenced(ix int) bool { return ix%2 == 0 }

func serviceAddresses() map[string][]string {
	return map[string][]string{
		"orders": {"10.2.0.1:70", "10.2.0.2:70"},
		"ledger": {"10.2.0.3:70", "10.2.0.4:70"},
	}
}

// settingsFiles returns the settings of a version, with extra sections.
func settingsFiles(version int, extra string) []configurer.File {
	var text strings.Builder
	text.WriteString(baseText)
	for ix, name := range models {
		fmt.Fprintf(&text, "[model.%s]\nmemory = %dGiB\nmin-replicas = 1\n", name, 6+2*ix)
	}
	for ix := range engineCount {
		kind := "open"
		if fenced(ix) {
			kind = "fenced"
		}
		fmt.Fprintf(&text, "[backend-server.%s]\nkind = %s\naddress = %s\nzone = zone-%c\nmemory = 30GiB\ncache-reserve = 4GiB\nadapter-reserve = 2GiB\nslots = 16\n",
			engineName(ix), kind, engineAddress(ix), 'a'+ix%2)
	}
	for name, addresses := range serviceAddresses() {
		honours := "no"
		if name == "ledger" {
			honours = "yes"
		}
		fmt.Fprintf(&text, "[service.%s]\naddresses = %s\nnon-repeatable = POST /book\nhonours-key = %s\ntimeout = 3s\n",
			name, strings.Join(addresses, ", "), honours)
	}
	return []configurer.File{
		{Name: "10-base.ini", Text: text.String()},
		{Name: "90-change.ini", Text: fmt.Sprintf("[limits]\nqueue-requests = %d\n%s", 1000+version, extra)},
	}
}
