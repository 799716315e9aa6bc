package prober

import "time"

// Listed returns the names of the entry VMs in the platform's list as it was
// last read, and when that was; ok is false if it was never read.
func (pb *Prober) Listed() (names []string, at time.Time, ok bool) {
	pb.mu.Lock()
	defer pb.mu.Unlock()
	for _, vm := range pb.vms {
		names = append(names, vm.Name)
	}
	return names, pb.readAt, pb.listed
}
