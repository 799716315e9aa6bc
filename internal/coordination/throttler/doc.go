// Package throttler follows what backend servers say in their answers about the
// requests that they take.
//
// # Usage
//
//	sg := throttler.Signals{Limit: 1.5}
package throttler
