package commander

import (
	"context"
	"flag"
	"net/http"
	"time"

	"github.com/google/subcommands"

	"github.com/lagoonpass/lagoonpass/internal/standin/engine"
	"github.com/lagoonpass/lagoonpass/internal/standin/platform"
	"github.com/lagoonpass/lagoonpass/internal/standin/service"
)

// standinCommand serves one stand-in in a separate process.
type standinCommand struct {
	listen string
	// kind is platform, engine or service.
	kind string
	// name is the name of an engine.
	name string
	// peers holds the peer addresses of the entry VMs in the platform's list.
	peers string
	// fenced makes the engine refuse orders with an old fencing number.
	fenced bool
}

// Name implements subcommands.Command.
func (*standinCommand) Name() string { return "standin" }

// Synopsis implements subcommands.Command.
func (*standinCommand) Synopsis() string { return "serve a stand-in of the platform or a back end" }

// Usage implements subcommands.Command.
func (*standinCommand) Usage() string {
	return "standin -kind platform|engine|service [-listen HOST:PORT] [-entries HOST:PORT,...]\n"
}

// SetFlags implements subcommands.Command.
func (sc *standinCommand) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&sc.listen, "listen", "127.0.0.1:2379", "address to listen on")
	fs.StringVar(&sc.kind, "kind", "platform", "platform, engine or service")
	fs.StringVar(&sc.name, "name", "w01", "name of an engine")
	fs.StringVar(&sc.peers, "entries", "", "peer addresses of the entry VMs in the platform's list")
	fs.BoolVar(&sc.fenced, "fenced", true, "the engine refuses orders with an old fencing number")
}

// Execute implements subcommands.Command.
func (sc *standinCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	handlers := map[string]http.Handler{
		"platform": platform.Handler(platform.NewMemory(), sc.vms),
		"engine":   engine.New(sc.name, engine.WithFencing(sc.fenced)).Handler(),
		"service":  service.New().Handler(),
	}
	hd, ok := handlers[sc.kind]
	if !ok {
		return printError(subcommands.ExitUsageError, "no stand-in of kind %q", sc.kind)
	}
	sv := &http.Server{Addr: sc.listen, Handler: hd, ReadHeaderTimeout: time.Minute}
	stop := context.AfterFunc(ctx, func() { _ = sv.Close() })
	defer stop()
	if err := sv.ListenAndServe(); err != nil && ctx.Err() == nil {
		return printError(subcommands.ExitFailure, "%v", err)
	}
	return subcommands.ExitSuccess
}

func (sc *standinCommand) vms() []platform.VM {
	return platform.ParseVMs(sc.peers)
}
