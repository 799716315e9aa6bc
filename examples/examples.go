// Package examples embeds the settings of the example deployments harwick-pell,
// qurum and small.
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
var settings embed.FS

// Files returns the settings files of a deployment in the order of their names.
// It fails if there is no deployment of that name.
func Files(deployment string) ([]configurer.File, error) {
	names, err := fs.Glob(settings, deployment+"/*.ini")
	if err != nil || len(names) == 0 {
		return nil, errors.Errorf("no example deployment %q; use harwick-pell, qurum or small", deployment)
	}
	files := make([]configurer.File, 0, len(names))
	for _, name := range names {
		text, err := settings.ReadFile(name)
		if err != nil {
			return nil, errors.Wrapf(err, "read example settings file %s", name)
		}
		files = append(files, configurer.File{Name: name[len(deployment)+1:], Text: string(text)})
	}
	return files, nil
}
