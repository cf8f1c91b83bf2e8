package daemoncmd

import (
	"context"
	"flag"
	"io"

	"cassialatch.dev/cassialatch/internal/command"
	"cassialatch.dev/cassialatch/internal/daemonclient"
	"cassialatch.dev/cassialatch/internal/format"
	"cassialatch.dev/wire/operatorapi"
)

// Explain is the subcommand "route explain".
var Explain = &command.Command{
	Name:    "route explain",
	Summary: "Show which backend servers a daemon would choose for a request, and why",
	Help: `Sends nothing to a backend server. A request that the daemon would refuse is
explained as well and does not make the command fail.`,
	Setup: setupExplain,
}

func setupExplain(flags *flag.FlagSet) command.Runner {
	var query daemonclient.ExplainQuery
	flags.StringVar(&query.Workspace, "workspace", "", "`name` of the request's workspace")
	flags.StringVar(&query.Model, "model", "", "`name` of the model; defaults to the workspace's first model")
	flags.StringVar(&query.Chat, "chat", "", "chat `token` from an earlier response to the caller")
	call := func(ctx context.Context, c *daemonclient.Client) (*operatorapi.Explanation, error) {
		if query.Workspace == "" {
			return nil, command.NewUsageError("route explain needs -workspace")
		}
		return c.Explain(ctx, query)
	}
	return setup(flags, call, writeExplanation)
}

func writeExplanation(w io.Writer, e *operatorapi.Explanation) error {
	head := format.NewTable("")
	head.AddRow("workspace", e.Workspace)
	head.AddRow("model", e.Model)
	head.AddRow("class", e.Class)
	head.AddRow("warm", e.WarmBackend)
	if e.RefusalReason != "" {
		head.AddRow("refused", e.RefusalReason)
	}
	candidates := format.NewTable("Candidates", "BACKEND SERVER", "HOME", "IN FLIGHT", "LIMIT", "REASON")
	for _, c := range e.Candidates {
		candidates.AddRow(c.Backend, c.Home, c.InFlight, c.Limit, c.Reason)
	}
	return writeTables(w, head, candidates)
}

func writeTables(w io.Writer, tables ...*format.Table) error {
	for _, t := range tables {
		if err := t.Write(w); err != nil {
			return err
		}
	}
	return nil
}
