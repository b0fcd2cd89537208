package cli

import (
	"context"
	"encoding/json"
	"os/user"
	"time"

	"greengagequay/internal/api"
	"greengagequay/internal/settings"
)

type settingsCmd struct {
	Get     getCmd     `cmd:"" help:"Show the effective settings of a node."`
	Set     setCmd     `cmd:"" help:"Set a value at a node."`
	Unset   unsetCmd   `cmd:"" help:"Remove a value, so that the node inherits it."`
	Explain explainCmd `cmd:"" help:"Show where a value comes from."`
	History historyCmd `cmd:"" help:"List accepted changes."`
	Apply   applyCmd   `cmd:"" help:"Apply a settings file: JSON with comments, {path: {key: value}}."`
	Diff    diffCmd    `cmd:"" help:"Show the differences between a settings file and the values that are set."`
	Export  exportCmd  `cmd:"" help:"Write the values that are set as a file for apply; comments of an older file can be kept."`
	Keys    keysCmd    `cmd:"" help:"List all keys."`
}

func author() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

type getCmd struct {
	Path string `arg:"" help:"Node, such as /pantanir/rvk-a."`
	Key  string `arg:"" optional:"" help:"Key; all keys if absent."`
}

func (c *getCmd) Run(e *env) error {
	list, err := fetchSettings(e, c.Path, c.Key)
	if err != nil {
		return err
	}
	var rows [][]any
	for _, s := range list.Settings {
		rows = append(rows, []any{s.Key, s.Value, s.Origin})
	}
	return e.print(list, "KEY\tVALUE\tFROM", rows)
}

func fetchSettings(e *env, path, key string) (*api.SettingList, error) {
	params := api.GetSettingsParams{Path: path}
	if key != "" {
		params.Key.SetTo(key)
	}
	return callAPI(e, func(client *api.Client, ctx context.Context) (*api.SettingList, error) {
		return client.GetSettings(ctx, params)
	})
}

type setCmd struct {
	changeFlags
	Path  string `arg:"" help:"Node, such as /pantanir."`
	Key   string `arg:"" help:"Key, such as request.timeout."`
	Value string `arg:"" help:"Value as JSON; quotes around text are optional."`
}

func (c *setCmd) Run(e *env) error {
	return c.submit(e, []api.Op{newOp(api.OpActionSet, c.Path, c.Key, asJSON(c.Value))})
}

// asJSON returns the value, quoted as a JSON string if it is not valid JSON.
func asJSON(v string) string {
	if json.Valid([]byte(v)) {
		return v
	}
	quoted, _ := json.Marshal(v)
	return string(quoted)
}

func newOp(action api.OpAction, path, key, value string) api.Op {
	return api.Op{Action: action, Path: path, Key: key, Value: api.NewOptString(value)}
}

type unsetCmd struct {
	changeFlags
	Path string `arg:"" help:"Node."`
	Key  string `arg:"" help:"Key."`
}

func (c *unsetCmd) Run(e *env) error {
	return c.submit(e, []api.Op{newOp(api.OpActionUnset, c.Path, c.Key, "")})
}

type explainCmd struct {
	Path string `arg:"" help:"Node."`
	Key  string `arg:"" help:"Key."`
}

func (c *explainCmd) Run(e *env) error {
	list, err := fetchSettings(e, c.Path, c.Key)
	if err != nil {
		return err
	}
	var rows [][]any
	for _, s := range list.Settings {
		rows = append(rows, []any{s.Key, s.Value, s.Origin, "in force"})
		for _, o := range s.Overrides {
			rows = append(rows, []any{s.Key, o.Value, o.Path, "overridden"})
		}
	}
	return e.print(list, "KEY\tVALUE\tFROM\tSTATE", rows)
}

type historyCmd struct {
	Limit int `help:"Maximum number of changes to list." default:"20"`
}

func (c *historyCmd) Run(e *env) error {
	params := api.ListChangesParams{Limit: api.NewOptInt(c.Limit)}
	list, err := callAPI(e, func(client *api.Client, ctx context.Context) (*api.ChangeList, error) {
		return client.ListChanges(ctx, params)
	})
	if err != nil {
		return err
	}
	var rows [][]any
	for _, ch := range list.Changes {
		for _, op := range ch.Ops {
			rows = append(rows, []any{ch.Revision, ch.Time.Format(time.RFC3339), ch.Author, ch.ID, op.Action, op.Path, op.Key, op.Value.Value})
		}
	}
	return e.print(list, "REVISION\tTIME\tAUTHOR\tID\tACTION\tPATH\tKEY\tVALUE", rows)
}

type keysCmd struct{}

func (c *keysCmd) Run(e *env) error {
	keys := settings.Keys()
	var rows [][]any
	for _, k := range keys {
		rows = append(rows, []any{k.Name, k.Type, k.Unit, k.Default, k.Help})
	}
	return e.print(keys, "KEY\tTYPE\tUNIT\tDEFAULT\tMEANING", rows)
}
