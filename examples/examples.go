// Package examples holds the settings of two deployments, for the demo.
//
// # Usage
//
//	files, err := examples.Files("qurum")
package examples

import (
	"embed"
	"io/fs"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

//go:embed */*.ini
var folders embed.FS

// Files returns the settings files of a deployment in the order of names.
func Files(deployment string) ([]configurer.File, error) {
	names, err := fs.Glob(folders, deployment+"/*.ini")
	if err != nil || len(names) == 0 {
		return nil, errors.Errorf("no deployment %q; there are harwick-pell and qurum", deployment)
	}
	files := make([]configurer.File, 0, len(names))
	for _, name := range names {
		text, err := folders.ReadFile(name)
		if err != nil {
			return nil, errors.Wrapf(err, "read %s", name)
		}
		files = append(files, configurer.File{Name: name[len(deployment)+1:], Text: string(text)})
	}
	return files, nil
}
