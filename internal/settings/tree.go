package settings

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"greengagequay/internal/fault"
)

// Action is what an operation does to a value.
type Action string

// The actions of an operation.
const (
	Set   Action = "set"
	Unset Action = "unset"
)

// Op is one operation of a change.
type Op struct {
	Action Action
	Path   string
	Key    string
	Value  string // as JSON; empty for Unset
}

// Tree is an immutable tree of settings. The zero value is the empty tree.
type Tree struct {
	nodes map[string]map[string]string // path -> key -> value as JSON
}

// Value is the effective value of a key at a node.
type Value struct {
	Key       Key
	Raw       string     // as JSON
	Origin    string     // path at which the value is set, or "default"
	Overrides []Override // values of higher nodes that are not in effect, nearest first
}

// Override is a value that a deeper node overrides.
type Override struct {
	Path string
	Raw  string
}

// CleanPath checks a path and returns its canonical form.
func CleanPath(path string) (string, error) {
	if !strings.HasPrefix(path, "/") {
		return "", fault.New(fault.Invalid, `start the path with "/"`, "path %q is not absolute", path)
	}
	trimmed := strings.Trim(path, "/")
	if trimmed == "" {
		return "/", nil
	}
	parts := strings.Split(trimmed, "/")
	if len(parts) > int(BackendLevel) {
		return "", fault.New(fault.Invalid, "use at most /service/zone/backend", "path %q is too deep", path)
	}
	if slices.Contains(parts, "") {
		return "", fault.New(fault.Invalid, "remove the empty part", "path %q has an empty part", path)
	}
	return "/" + strings.Join(parts, "/"), nil
}

// LevelOf returns the level of a clean path.
func LevelOf(path string) Level {
	if path == "/" {
		return Root
	}
	return Level(strings.Count(path, "/"))
}

// Path returns the clean path of the given parts.
func Path(parts ...string) string { return "/" + strings.Join(parts, "/") }

// Apply returns the tree after the operations. If one of them is invalid or the
// resulting tree is inconsistent, it returns t and the first error.
func (t Tree) Apply(ops []Op) (Tree, error) {
	next := t.clone()
	for _, op := range ops {
		if err := next.apply(op); err != nil {
			return t, err
		}
	}
	if err := next.check(t); err != nil {
		return t, err
	}
	return next, nil
}

func (t Tree) clone() Tree {
	nodes := make(map[string]map[string]string, len(t.nodes))
	for path, values := range t.nodes {
		copied := make(map[string]string, len(values))
		for k, v := range values {
			copied[k] = v
		}
		nodes[path] = copied
	}
	return Tree{nodes: nodes}
}

func (t Tree) apply(op Op) error {
	path, err := CleanPath(op.Path)
	if err != nil {
		return err
	}
	key, err := Lookup(op.Key)
	if err != nil {
		return err
	}
	if op.Action == Unset {
		delete(t.nodes[path], op.Key)
		if len(t.nodes[path]) == 0 {
			delete(t.nodes, path)
		}
		return nil
	}
	if op.Action != Set {
		return fault.New(fault.Invalid, `use "set" or "unset"`, "action %q does not exist", op.Action)
	}
	if err := key.checkLevel(path); err != nil {
		return err
	}
	if err := key.Check(op.Value); err != nil {
		return err
	}
	if t.nodes[path] == nil {
		t.nodes[path] = map[string]string{}
	}
	t.nodes[path][op.Key] = op.Value
	return nil
}

func (k Key) checkLevel(path string) error {
	level := LevelOf(path)
	if level > k.Deepest {
		return fault.New(fault.Invalid, "set the key at a higher level of the tree", "setting %q cannot be set at %q", k.Name, path)
	}
	if k.Only && level != k.Deepest {
		return fault.New(fault.Invalid, "set the key at a service, such as /pantanir", "setting %q cannot be set at %q", k.Name, path)
	}
	return nil
}

// Effective returns the effective value of a key at a node.
func (t Tree) Effective(path, name string) (Value, error) {
	key, err := Lookup(name)
	if err != nil {
		return Value{}, err
	}
	v := Value{Key: key, Raw: key.Default, Origin: "default"}
	for p := path; ; p = parent(p) {
		raw, ok := t.nodes[p][name]
		switch {
		case ok && v.Origin == "default":
			v.Raw, v.Origin = raw, p
		case ok:
			v.Overrides = append(v.Overrides, Override{Path: p, Raw: raw})
		}
		if p == "/" {
			return v, nil
		}
	}
}

func parent(path string) string {
	i := strings.LastIndexByte(path, '/')
	if i <= 0 {
		return "/"
	}
	return path[:i]
}

// Services returns the sorted names of all services.
func (t Tree) Services() []string {
	var names []string
	for path, values := range t.nodes {
		if _, ok := values[ServiceZones]; ok {
			names = append(names, path[1:])
		}
	}
	slices.Sort(names)
	return names
}

// Walk calls fn for every value that is set, sorted by path and then by key.
func (t Tree) Walk(fn func(path, key, raw string)) {
	paths := make([]string, 0, len(t.nodes))
	for p := range t.nodes {
		paths = append(paths, p)
	}
	slices.Sort(paths)
	for _, p := range paths {
		names := make([]string, 0, len(t.nodes[p]))
		for k := range t.nodes[p] {
			names = append(names, k)
		}
		slices.Sort(names)
		for _, k := range names {
			fn(p, k, t.nodes[p][k])
		}
	}
}

// Int returns an effective value of type Int. Like the other typed methods, it
// panics if the key does not exist or has another type, which is a programming
// error of the caller.
func (t Tree) Int(path, name string) int {
	var v int
	t.decode(path, name, Int, &v)
	return v
}

// Float returns an effective value of type Float.
func (t Tree) Float(path, name string) float64 {
	var v float64
	t.decode(path, name, Float, &v)
	return v
}

// Bool returns an effective value of type Bool.
func (t Tree) Bool(path, name string) bool {
	var v bool
	t.decode(path, name, Bool, &v)
	return v
}

// TextList returns an effective value of type TextList or AddrList.
func (t Tree) TextList(path, name string) []string {
	var v []string
	t.decode(path, name, "", &v)
	return v
}

// Duration returns an effective value of type Duration.
func (t Tree) Duration(path, name string) time.Duration {
	var s string
	t.decode(path, name, Duration, &s)
	d, err := time.ParseDuration(s)
	if err != nil {
		panic(err)
	}
	return d
}

// decode stores the effective value in the variable that into points to. It
// panics if the key does not exist or does not have type want. An empty want
// accepts every type.
func (t Tree) decode(path, name string, want Type, into any) {
	v, err := t.Effective(path, name)
	if err != nil {
		panic(err)
	}
	if want != "" && v.Key.Type != want {
		panic("settings: key " + name + " has type " + string(v.Key.Type))
	}
	if err := json.Unmarshal([]byte(v.Raw), into); err != nil {
		panic(err)
	}
}

// splitServiceZone returns the service and the zone of a clean path. The zone is
// empty if the path has none.
func splitServiceZone(path string) (service, zone string) {
	parts := strings.Split(strings.Trim(path, "/"), "/")
	service = parts[0]
	if len(parts) > 1 {
		zone = parts[1]
	}
	return service, zone
}

// Export returns the operations that build the tree, sorted by path and key.
func (t Tree) Export() []Op {
	var ops []Op
	t.Walk(func(path, key, raw string) {
		ops = append(ops, Op{Action: Set, Path: path, Key: key, Value: raw})
	})
	return ops
}

// Import returns the tree that the operations from Export build. It does not
// check them again: they were checked when the changes were accepted.
func Import(ops []Op) Tree {
	t := Tree{nodes: map[string]map[string]string{}}
	for _, op := range ops {
		if t.nodes[op.Path] == nil {
			t.nodes[op.Path] = map[string]string{}
		}
		t.nodes[op.Path][op.Key] = op.Value
	}
	return t
}
