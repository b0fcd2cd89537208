package cli

import (
	"context"
	"io"
	"os"
	"time"

	"greengagequay/internal/api"
	"greengagequay/internal/control"
	"greengagequay/internal/fault"
	"greengagequay/internal/wal"
)

// backupFileMode lets only the owner read and write a backup file.
const backupFileMode = 0o600

type controlCmd struct {
	Members  membersCmd  `cmd:"" help:"List the members of the replicated log."`
	Add      addCmd      `cmd:"" help:"Add a control host as a learner."`
	Promote  promoteCmd  `cmd:"" help:"Promote a learner that has caught up to voter."`
	Remove   removeCmd   `cmd:"" help:"Remove a member, such as a host whose disk was lost."`
	Snapshot snapshotCmd `cmd:"" help:"Write a backup of the committed state."`
	Restore  restoreCmd  `cmd:"" help:"Restore a backup into an empty data folder while quayd is stopped."`
}

type membersCmd struct{}

func (c *membersCmd) Run(e *env) error {
	list, err := callAPI(e, (*api.Client).ListControlMembers)
	if err != nil {
		return err
	}
	var rows [][]any
	for _, m := range list {
		rows = append(rows, []any{m.Name, m.Address, m.Role, m.Leader, m.Matched.Value})
	}
	return e.print(list, "HOST\tADDRESS\tROLE\tLEADER\tMATCHED", rows)
}

// changeMember submits a membership change of one control host.
func changeMember(e *env, action api.ControlMemberChangeAction, name, addr string) error {
	req := &api.ControlMemberChange{Action: action, Name: name}
	if addr != "" {
		req.Address.SetTo(addr)
	}
	res, err := callAPI(e, func(client *api.Client, ctx context.Context) (*api.ChangeResult, error) {
		return client.ChangeControlMember(ctx, req)
	})
	if err != nil {
		return err
	}
	return e.print(res, "HOST\tREVISION", [][]any{{res.ID, res.Revision}})
}

type addCmd struct {
	Name    string `arg:"" help:"Name of the host."`
	Address string `arg:"" help:"RPC address of the host, IP:port."`
}

func (c *addCmd) Run(e *env) error {
	return changeMember(e, api.ControlMemberChangeActionAdd, c.Name, c.Address)
}

type promoteCmd struct {
	Name string `arg:"" help:"Name of the learner."`
}

func (c *promoteCmd) Run(e *env) error {
	return changeMember(e, api.ControlMemberChangeActionPromote, c.Name, "")
}

type removeCmd struct {
	Name string `arg:"" help:"Name of the member."`
}

func (c *removeCmd) Run(e *env) error {
	return changeMember(e, api.ControlMemberChangeActionRemove, c.Name, "")
}

type snapshotCmd struct {
	File string `arg:"" help:"File to write; it must not exist."`
}

func (c *snapshotCmd) Run(e *env) error {
	body, err := callAPI(e, (*api.Client).GetSnapshot)
	if err != nil {
		return err
	}
	data, err := io.ReadAll(body)
	if err != nil {
		return fault.New(fault.Unavailable, "run the command again", "read backup: %w", err)
	}
	s, err := wal.DecodeBackup(c.File, data)
	if err != nil {
		return err
	}
	if err := writeNewFile(c.File, data); err != nil {
		return err
	}
	return e.print(map[string]any{"file": c.File, "revision": s.Index, "bytes": len(data)}, "FILE\tREVISION\tBYTES", [][]any{{c.File, s.Index, len(data)}})
}

// writeNewFile creates a file, writes the data and syncs it. It fails if the file
// exists.
func writeNewFile(name string, data []byte) error {
	f, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, backupFileMode)
	if err != nil {
		return fault.New(fault.Invalid, "name a file that does not exist", "write backup: %w", err)
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return fault.New(fault.Unavailable, "free space on the disk", "write backup: %w", err)
	}
	return nil
}

type restoreCmd struct {
	File string `arg:"" help:"Backup file." type:"existingfile"`
	Data string `help:"Empty data folder of the host that starts the restored log." required:"" type:"path"`
	Name string `help:"Name of that host." required:""`
	RPC  string `help:"RPC address of that host, IP:port." required:"" name:"rpc"`
}

func (c *restoreCmd) Run(e *env) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return fault.New(fault.Invalid, "give the path of a readable file", "read backup: %w", err)
	}
	disk, err := wal.OpenFolder(c.Data)
	if err != nil {
		return err
	}
	revision, err := control.Restore(disk, c.Name, c.RPC, data, time.Now(), control.RandomNumber)
	if err != nil {
		return err
	}
	return e.print(map[string]any{"data": c.Data, "revision": revision}, "DATA\tREVISION", [][]any{{c.Data, revision}})
}
