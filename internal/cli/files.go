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

// valueTree is the content of a settings file: {path: {key: value}}.
type valueTree map[string]map[string]json.RawMessage

type applyCmd struct {
	changeFlags
	File string `arg:"" help:"Settings file; - reads standard input."`
}

// Run submits the file as one change.
func (c *applyCmd) Run(e *env) error {
	tree, err := readTree(c.File)
	if err != nil {
		return err
	}
	return c.submit(e, tree.ops())
}

// readTree reads a settings file, which is JSON with comments.
func readTree(name string) (valueTree, error) {
	if name == "-" {
		name = "/dev/stdin"
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, fault.New(fault.Invalid, "give the path of a readable file", "read settings: %w", err)
	}
	tree, err := parseTree(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return tree, nil
}

// parseTree parses a settings file. The value null unsets a key.
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
			ops = append(ops, newOp(api.OpActionUnset, path, key, ""))
			return
		}
		ops = append(ops, newOp(api.OpActionSet, path, key, string(value)))
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

// fetchTree returns all values that are set, and the settings revision.
func fetchTree(e *env) (valueTree, int64, error) {
	list, err := callAPI(e, (*api.Client).GetTree)
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
	File string `arg:"" help:"Settings file; - reads standard input."`
}

// difference is a key whose value is not the same in the system and in a file.
type difference struct {
	Path string `json:"path"`
	Key  string `json:"key"`
	Set  string `json:"set"`  // value in the system; empty if the key is not set
	File string `json:"file"` // value in the file; empty if the key is absent or null
}

// Run prints the differences between the file and the system.
func (c *diffCmd) Run(e *env) error {
	desired, err := readTree(c.File)
	if err != nil {
		return err
	}
	current, _, err := fetchTree(e)
	if err != nil {
		return err
	}
	list := diffTrees(current, desired)
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

// diffTrees returns the differences between two trees, in order of path and key.
func diffTrees(current, desired valueTree) []difference {
	list := []difference{}
	desired.walk(func(path, key string, value json.RawMessage) {
		old := string(current[path][key])
		if string(value) == "null" {
			value = nil
		}
		if compact(old) != compact(string(value)) {
			list = append(list, difference{Path: path, Key: key, Set: old, File: string(value)})
		}
	})
	current.walk(func(path, key string, value json.RawMessage) {
		if _, named := desired[path][key]; !named {
			list = append(list, difference{Path: path, Key: key, Set: string(value)})
		}
	})
	slices.SortFunc(list, func(a, b difference) int { return strings.Compare(a.Path+" "+a.Key, b.Path+" "+b.Key) })
	return list
}

// compact returns JSON without spaces and with sorted names, so that only
// differences in the value count. Text that is not JSON is returned unchanged.
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
	current, revision, err := fetchTree(e)
	if err != nil {
		return err
	}
	base := []byte(fmt.Sprintf("// settings revision %d\n{}", revision))
	if c.Base != "" {
		if base, err = os.ReadFile(c.Base); err != nil {
			return fault.New(fault.Invalid, "check --base", "read settings: %w", err)
		}
	}
	out, err := exportTree(base, current)
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

// exportTree updates the content of the base file to the current values and
// keeps its comments.
func exportTree(base []byte, current valueTree) ([]byte, error) {
	doc, err := hujson.Parse(base)
	if err != nil {
		return nil, fault.New(fault.Invalid, "correct the JSON at that position", "parse settings: %w", err)
	}
	old, err := parseTree(base)
	if err != nil {
		return nil, err
	}
	patch, err := json.Marshal(patchFor(old, current))
	if err != nil {
		return nil, fmt.Errorf("encode patch: %w", err)
	}
	if err := doc.Patch(patch); err != nil {
		return nil, fault.New(fault.Invalid, "export without --base", "patch the --base file: %w", err)
	}
	doc.Format()
	return doc.Pack(), nil
}

// patchFor returns the JSON patch that turns the old tree into the current one.
func patchFor(old, current valueTree) []patchOp {
	ops := []patchOp{}
	for _, path := range sortedKeys(old) {
		if _, kept := current[path]; !kept {
			ops = append(ops, patchOp{Op: "remove", Path: pointer(path)})
		}
	}
	for _, path := range sortedKeys(current) {
		if _, known := old[path]; !known {
			ops = append(ops, patchOp{Op: "add", Path: pointer(path), Value: json.RawMessage("{}")})
		}
		for _, key := range sortedKeys(old[path]) {
			if _, kept := current[path][key]; !kept {
				ops = append(ops, patchOp{Op: "remove", Path: pointer(path, key)})
			}
		}
		for _, key := range sortedKeys(current[path]) {
			if compact(string(old[path][key])) != compact(string(current[path][key])) {
				ops = append(ops, patchOp{Op: "add", Path: pointer(path, key), Value: current[path][key]})
			}
		}
	}
	return ops
}

// pointer returns the JSON pointer (RFC 6901) with the given parts.
func pointer(parts ...string) string {
	var b strings.Builder
	for _, p := range parts {
		p = strings.ReplaceAll(p, "~", "~0")
		b.WriteString("/" + strings.ReplaceAll(p, "/", "~1"))
	}
	return b.String()
}
