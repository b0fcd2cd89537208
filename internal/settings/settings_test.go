package settings

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/fault"
)

func set(path, key, value string) Op {
	return Op{Action: Set, Path: path, Key: key, Value: value}
}

func newTree(t *testing.T, ops ...Op) Tree {
	out, err := Tree{}.Apply(ops)
	qt.Assert(t, err, qt.IsNil)
	return out
}

func TestDeeperNodeOverrides(t *testing.T) {
	c := qt.New(t)
	tr := newTree(t,
		set("/pantanir", ServiceZones, `["rvk-a"]`),
		set("/", BackendSlots, "2"),
		set("/pantanir/rvk-a/b1", BackendSlots, "5"))
	c.Assert(tr.Int("/pantanir/rvk-a/b2", BackendSlots), qt.Equals, 2)
	c.Assert(tr.Int("/pantanir/rvk-a/b1", BackendSlots), qt.Equals, 5)
	v, err := tr.Effective("/pantanir/rvk-a/b1", BackendSlots)
	c.Assert(err, qt.IsNil)
	c.Assert(v.Origin, qt.Equals, "/pantanir/rvk-a/b1")
	c.Assert(v.Overrides, qt.DeepEquals, []Override{{Path: "/", Raw: "2"}})
	reverted, err := tr.Apply([]Op{{Action: Unset, Path: "/pantanir/rvk-a/b1", Key: BackendSlots}})
	c.Assert(err, qt.IsNil)
	c.Assert(reverted.Int("/pantanir/rvk-a/b1", BackendSlots), qt.Equals, 2)
	c.Assert(tr.Int("/pantanir/rvk-a/b1", BackendSlots), qt.Equals, 5) // the original tree is unchanged
}

func TestRefusedChanges(t *testing.T) {
	base := []Op{
		set("/pantanir", ServiceZones, `["rvk-a"]`),
		set("/pantanir", ServiceAddresses, `["203.0.113.10:443/tcp"]`),
	}
	for _, tc := range []struct {
		name string
		ops  []Op
		want string
	}{
		{"service without a zone", []Op{set("/pantanir", ServiceZones, `[]`)}, "without an availability zone"},
		{"address of another service", []Op{set("/myndir", ServiceZones, `["rvk-a"]`), set("/myndir", ServiceAddresses, `["203.0.113.10:443/tcp"]`)}, "belongs to service"},
		{"number of buckets changes", []Op{set("/pantanir", FlowBuckets, "512")}, "cannot change"},
		{"inherited number of buckets changes", []Op{set("/", FlowBuckets, "512")}, "cannot change"},
		{"not a power of two", []Op{set("/pantanir", FlowBuckets, "300")}, "power of two"},
		{"unknown key", []Op{set("/", "flow.color", "1")}, "does not exist"},
		{"out of range", []Op{set("/", BackendSlots, "0")}, "out of range"},
		{"wrong type", []Op{set("/", BackendSlots, `"three"`)}, "malformed"},
		{"duration without unit", []Op{set("/", RequestTimeout, `"30"`)}, "malformed"},
		{"zone without the service", []Op{set("/pantanir/rvk-b", BackendDrain, "true")}, "does not run"},
		{"service that does not exist", []Op{set("/log-intake/ubungo", BackendDrain, "true")}, "does not exist"},
		{"zones set at the root", []Op{set("/", ServiceZones, `["rvk-a"]`)}, "cannot be set"},
		{"relative path", []Op{set("pantanir", BackendSlots, "1")}, "not absolute"},
		{"one of two operations is invalid", []Op{set("/", BackendSlots, "1"), set("/", BackendSlots, "0")}, "out of range"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			before := newTree(t, base...)
			after, err := before.Apply(tc.ops)
			c.Assert(fault.KindOf(err), qt.Equals, fault.Invalid)
			c.Assert(err, qt.ErrorMatches, "(?s).*"+tc.want+".*")
			c.Assert(fault.From(err).Remedy, qt.Not(qt.Equals), "")
			c.Assert(after.Export(), qt.DeepEquals, before.Export())
		})
	}
}

func TestExportImport(t *testing.T) {
	c := qt.New(t)
	tr := newTree(t, set("/pantanir", ServiceZones, `["rvk-a"]`), set("/pantanir/rvk-a", RequestQueue, "4"))
	c.Assert(Import(tr.Export()).Export(), qt.DeepEquals, tr.Export())
}

func TestEveryDefaultIsValid(t *testing.T) {
	for _, k := range Keys() {
		if k.Name == ServiceZones {
			continue // the default is no zone, but a service must have one
		}
		qt.Check(t, k.Check(k.Default), qt.IsNil, qt.Commentf("%s", k.Name))
	}
}

func FuzzApply(f *testing.F) {
	f.Add("/pantanir", ServiceZones, `["rvk-a"]`)
	f.Add("/", RequestTimeout, `"1h"`)
	f.Add("//", "", "")
	f.Fuzz(func(t *testing.T, path, key, value string) {
		next, err := Tree{}.Apply([]Op{set(path, key, value)})
		if err == nil {
			next.Walk(func(p, k, _ string) { _, _ = next.Effective(p, k) })
			return
		}
		if fault.KindOf(err) != fault.Invalid {
			t.Fatalf("error of kind %s: %v", fault.KindOf(err), err)
		}
	})
}
