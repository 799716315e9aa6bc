package prober

import "time"

// ListedEntryVMs returns the names of the entry VMs in the platform's list and
// the time of the last successful read; ok is false if the list was never read.
func (pb *Prober) ListedEntryVMs() (names []string, at time.Time, ok bool) {
	pb.mu.Lock()
	defer pb.mu.Unlock()
	for _, vm := range pb.vms {
		names = append(names, vm.Name)
	}
	return names, pb.listReadAt, pb.listKnown
}
