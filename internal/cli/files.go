package cli

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/tailscale/hujson"

	"greengagequay/internal/api"
	"greengagequay/internal/fault"
	"greengagequay/internal/jsonc"
)

// valueTree is the form of a file of settings: {path: {key: value}}.
type valueTree map[string]map[string]json.RawMessage

type applyCmd struct {
	changeFlags
	File string `arg:"" help:"File of settings, - is standard input."`
}

// Run submits the file as one change.
func (c *applyCmd) Run(e *env) error {
	tree, err := readTree(c.File)
	if err != nil {
		return err
	}
	return c.submit(e, tree.ops())
}

// readTree reads a file of settings: JSON with comments.
func readTree(name string) (valueTree, error) {
	if name == "-" {
		name = "/dev/stdin"
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, fault.New(fault.Invalid, "check the file", "read settings: %w", err)
	}
	return parseTree(data)
}

// parseTree parses a file of settings. The value null unsets a key.
func parseTree(data []byte) (valueTree, error) {
	var tree valueTree
	if err := jsonc.Decode(data, &tree); err != nil {
		return nil, fault.New(fault.Invalid, `write {"/service": {"key": value}}`, "parse settings: %w", err)
	}
	return tree, nil
}

// ops returns the operations that set the tree, in order of path and key.
func (t valueTree) ops() []api.Op {
	var ops []api.Op
	t.walk(func(path, key string, value json.RawMessage) {
		if string(value) == "null" {
			ops = append(ops, opOf(api.OpActionUnset, path, key, ""))
			return
		}
		ops = append(ops, opOf(api.OpActionSet, path, key, string(value)))
	})
	return ops
}

func (t valueTree) walk(fn func(path, key string, value json.RawMessage)) {
	for _, path := range sortedKeys(t) {
		for _, key := range sortedKeys(t[path]) {
			fn(path, key, t[path][key])
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// fetchTree returns what is set, and its revision.
func fetchTree(e *env) (valueTree, int64, error) {
	list, err := ask(e, (*api.Client).GetTree)
	if err != nil {
		return nil, 0, err
	}
	tree := valueTree{}
	for _, s := range list.Settings {
		if tree[s.Path] == nil {
			tree[s.Path] = map[string]json.RawMessage{}
		}
		tree[s.Path][s.Key] = json.RawMessage(s.Value)
	}
	return tree, list.Revision, nil
}

type diffCmd struct {
	File string `arg:"" help:"File of settings, - is standard input."`
}

// difference is a value that differs between what is set and a file.
type difference struct {
	Path string `json:"path"`
	Key  string `json:"key"`
	Set  string `json:"set"`  // empty if not set
	File string `json:"file"` // empty if the file does not name it
}

// Run prints the differences.
func (c *diffCmd) Run(e *env) error {
	wanted, err := readTree(c.File)
	if err != nil {
		return err
	}
	present, _, err := fetchTree(e)
	if err != nil {
		return err
	}
	list := diffTrees(present, wanted)
	var rows [][]any
	for _, d := range list {
		rows = append(rows, []any{d.Path, d.Key, orDash(d.Set), orDash(d.File)})
	}
	return e.print(list, "PATH\tKEY\tSET\tFILE", rows)
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// diffTrees returns the differences in order of path and key.
func diffTrees(present, wanted valueTree) []difference {
	list := []difference{}
	wanted.walk(func(path, key string, value json.RawMessage) {
		old := string(present[path][key])
		if string(value) == "null" {
			value = nil
		}
		if compact(old) != compact(string(value)) {
			list = append(list, difference{Path: path, Key: key, Set: old, File: string(value)})
		}
	})
	present.walk(func(path, key string, value json.RawMessage) {
		if _, named := wanted[path][key]; !named {
			list = append(list, difference{Path: path, Key: key, Set: string(value)})
		}
	})
	slices.SortFunc(list, func(a, b difference) int { return strings.Compare(a.Path+" "+a.Key, b.Path+" "+b.Key) })
	return list
}

// compact returns JSON in its one compact form, so that spaces do not count.
func compact(text string) string {
	var v any
	if json.Unmarshal([]byte(text), &v) != nil {
		return text
	}
	out, _ := json.Marshal(v)
	return string(out)
}

type exportCmd struct {
	Base string `help:"Older file whose comments are kept." type:"existingfile"`
}

// Run prints the settings as JSON with comments.
func (c *exportCmd) Run(e *env) error {
	present, revision, err := fetchTree(e)
	if err != nil {
		return err
	}
	base := []byte(fmt.Sprintf("// settings revision %d\n{}", revision))
	if c.Base != "" {
		if base, err = os.ReadFile(c.Base); err != nil {
			return fault.New(fault.Invalid, "check --base", "read settings: %w", err)
		}
	}
	out, err := exportTree(base, present)
	if err != nil {
		return err
	}
	_, err = e.out.Write(out)
	return err
}

// patchOp is one operation of a JSON patch (RFC 6902).
type patchOp struct {
	Op    string          `json:"op"`
	Path  string          `json:"path"`
	Value json.RawMessage `json:"value,omitempty"`
}

// exportTree changes the base file so that it holds the present values. Its
// comments stay.
func exportTree(base []byte, present valueTree) ([]byte, error) {
	doc, err := hujson.Parse(base)
	if err != nil {
		return nil, fault.New(fault.Invalid, "mend the JSON at that place", "parse settings: %w", err)
	}
	old, err := parseTree(base)
	if err != nil {
		return nil, err
	}
	patch, err := json.Marshal(patchFor(old, present))
	if err != nil {
		return nil, fmt.Errorf("encode patch: %w", err)
	}
	if err := doc.Patch(patch); err != nil {
		return nil, fault.New(fault.Invalid, "export without --base", "change the file: %w", err)
	}
	doc.Format()
	return doc.Pack(), nil
}

func patchFor(old, present valueTree) []patchOp {
	ops := []patchOp{}
	for _, path := range sortedKeys(old) {
		if _, kept := present[path]; !kept {
			ops = append(ops, patchOp{Op: "remove", Path: pointer(path)})
		}
	}
	for _, path := range sortedKeys(present) {
		if _, known := old[path]; !known {
			ops = append(ops, patchOp{Op: "add", Path: pointer(path), Value: json.RawMessage("{}")})
		}
		for _, key := range sortedKeys(old[path]) {
			if _, kept := present[path][key]; !kept {
				ops = append(ops, patchOp{Op: "remove", Path: pointer(path, key)})
			}
		}
		for _, key := range sortedKeys(present[path]) {
			if compact(string(old[path][key])) != compact(string(present[path][key])) {
				ops = append(ops, patchOp{Op: "add", Path: pointer(path, key), Value: present[path][key]})
			}
		}
	}
	return ops
}

// pointer returns the JSON pointer (RFC 6901) of the parts.
func pointer(parts ...string) string {
	var b strings.Builder
	for _, p := range parts {
		p = strings.ReplaceAll(p, "~", "~0")
		b.WriteString("/" + strings.ReplaceAll(p, "/", "~1"))
	}
	return b.String()
}
