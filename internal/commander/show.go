package commander

import (
	"context"
	"flag"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"github.com/lagoonpass/lagoonpass/internal/coordination/publisher"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// Permissions of the folder and the files that show writes.
const (
	folderPermissions = 0o755
	filePermissions   = 0o644
)

// showCommand prints the settings files of a revision.
type showCommand struct {
	storeFlag
	outputFlag
	revision int64
	// folder is a new folder for the files; empty to print them.
	folder string
}

// Name implements subcommands.Command.
func (*showCommand) Name() string { return "show" }

// Synopsis implements subcommands.Command.
func (*showCommand) Synopsis() string { return "print or write the settings files of a revision" }

// Usage implements subcommands.Command.
func (*showCommand) Usage() string {
	return "show [-store URL] [-revision N] [-folder NEW-FOLDER] [-output text|json]\n"
}

// SetFlags implements subcommands.Command.
func (sc *showCommand) SetFlags(fs *flag.FlagSet) {
	sc.addStoreFlag(fs)
	sc.addOutputFlag(fs)
	fs.Int64Var(&sc.revision, "revision", latestRevision, "revision to show; -1 for the latest")
	fs.StringVar(&sc.folder, "folder", "", "write the files into this new folder, from which they can be applied")
}

// Execute implements subcommands.Command.
func (sc *showCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if fs.NArg() != 0 || !sc.valid() {
		return printUsage(sc)
	}
	rv, err := sc.load(ctx, sc.revision)
	if err != nil {
		return sc.fail(storeExitCode(err), err)
	}
	if sc.folder == "" {
		sc.print(rv)
		return subcommands.ExitSuccess
	}
	if err := writeFiles(sc.folder, rv.Files()); err != nil {
		return sc.fail(subcommands.ExitFailure, err)
	}
	return subcommands.ExitSuccess
}

func (sc *showCommand) print(rv *publisher.Revision) {
	if sc.isJSON() {
		files := []map[string]any{}
		for _, fl := range rv.Files() {
			files = append(files, map[string]any{"name": fl.Name, "text": fl.Text})
		}
		printJSON(map[string]any{"revision": rv.Number(), "author": rv.Author(), "hash": rv.Hash(), "files": files})
		return
	}
	printf("; revision %d by %s\n", rv.Number(), rv.Author())
	for _, fl := range rv.Files() {
		printf("\n; file %s\n%s", fl.Name, fl.Text)
	}
}

// writeFiles writes the files into a new folder. The folder must not exist, so
// that applying it applies no other files.
func writeFiles(folder string, files []configurer.File) error {
	if err := os.Mkdir(folder, folderPermissions); err != nil {
		return errors.Wrap(err, "make folder")
	}
	for _, fl := range files {
		if fl.Name != filepath.Base(fl.Name) {
			return errors.Errorf("file name %q leads out of the folder", fl.Name)
		}
		if err := os.WriteFile(filepath.Join(folder, fl.Name), []byte(fl.Text), filePermissions); err != nil {
			return errors.Wrap(err, "write settings file")
		}
	}
	return nil
}
