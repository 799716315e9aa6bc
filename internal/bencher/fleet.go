package bencher

import (
	"fmt"
	"strings"

	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

const (
	// fleetZones is the number of availability zones of a synthetic fleet.
	fleetZones = 11
	// firstFleetPort is the port of the first backend server.
	firstFleetPort = 20000
)

// FleetFiles returns the settings files of a synthetic fleet, to measure how
// costs grow with its size.
func FleetFiles(servers, models, callers int) []configurer.File {
	var text strings.Builder
	text.WriteString("[engine-kind.fenced]\nchecks-fencing = yes\nresumes = yes\n[class.urgent]\nrank = 0\n")
	files := []configurer.File{{Name: "10-kinds.ini", Text: text.String()}}
	files = append(files, fleetFile("20-models.ini", models, func(ix int) string {
		return fmt.Sprintf("[model.model-%04d]\nversion = v%d\nmemory = %dGiB\nshare = %d\n", ix, ix%7, 6+ix%14, 1+ix%9)
	}))
	files = append(files, fleetFile("30-servers.ini", servers, func(ix int) string {
		return fmt.Sprintf("[backend-server.worker-%04d]\nkind = fenced\naddress = 127.0.0.1:%d\nzone = zone-%02d\n"+
			"accelerators = 8\nmemory = 640GiB\ncache-reserve = 160GiB\nadapter-reserve = 32GiB\nslots = 128\n",
			ix, firstFleetPort+ix, ix%fleetZones)
	}))
	files = append(files, fleetFile("40-callers.ini", callers, func(ix int) string {
		return fmt.Sprintf("[caller.caller-%04d]\nkey-sha256 = %064x\nquota = 100\ndefault-class = urgent\n", ix, ix+1)
	}))
	return files
}

func fleetFile(name string, count int, section func(ix int) string) configurer.File {
	var text strings.Builder
	for ix := range count {
		text.WriteString(section(ix))
	}
	return configurer.File{Name: name, Text: text.String()}
}
