// Package place computes the placement of buckets on backend servers. It is
// pure: the present placement and the wanted members in, a delta out.
package place

import (
	"cmp"
	"maps"
	"slices"

	"greengagequay/internal/model"
	"greengagequay/internal/settings"
	"greengagequay/internal/table"
)

// Input is what a placement is computed from.
type Input struct {
	Tree     settings.Tree
	Current  *table.Placement
	Hosts    []model.Host    // entry hosts that are alive
	Backends []model.Backend // announced backend servers
}

// Next returns the delta that brings the placement to its next step.
func Next(in Input) table.Delta {
	d := table.Delta{Base: in.Current.Revision, NextNum: in.Current.NextNum}
	diffHosts(&d, in)
	diffBackends(&d, in)
	next := in.Current.Clone()
	next.Apply(d, d.Base)
	for _, service := range in.Tree.Services() {
		placeService(&d, next, service, in.Tree.Int(settings.Path(service), settings.FlowBuckets))
	}
	for _, service := range slices.Sorted(maps.Keys(next.Buckets)) {
		if !slices.Contains(in.Tree.Services(), service) {
			d.RemoveServices = append(d.RemoveServices, service)
		}
	}
	return d
}

func diffHosts(d *table.Delta, in Input) {
	byName := map[string]table.Host{}
	for _, h := range in.Current.Hosts {
		byName[h.Name] = h
	}
	for _, h := range in.Hosts {
		want := table.Host{Name: h.Name, Zone: h.Zone, RPC: h.RPC, Relay: h.Relay, Incarnation: h.Incarnation}
		old, known := byName[h.Name]
		delete(byName, h.Name)
		want.Num = old.Num
		if !known {
			want.Num = table.HostNum(d.NextNum)
			d.NextNum++
		}
		if want != old {
			d.SetHosts = append(d.SetHosts, want)
		}
	}
	for _, h := range byName {
		d.RemoveHosts = append(d.RemoveHosts, h.Num)
	}
	slices.Sort(d.RemoveHosts)
}

func diffBackends(d *table.Delta, in Input) {
	byID := map[string]table.Backend{}
	for _, b := range in.Current.Backends {
		byID[b.ID] = b
	}
	for _, b := range in.Backends {
		want := fromModel(b)
		old, known := byID[b.ID]
		delete(byID, b.ID)
		want.Num = old.Num
		if !known {
			want.Num = table.BackendNum(d.NextNum)
			d.NextNum++
		}
		if want != old {
			d.SetBackends = append(d.SetBackends, want)
		}
	}
	for _, b := range byID {
		d.RemoveBackends = append(d.RemoveBackends, b.Num)
	}
	slices.Sort(d.RemoveBackends)
}

func fromModel(b model.Backend) table.Backend {
	return table.Backend{
		ID: b.ID, Service: b.Service, Zone: b.Zone, State: b.State,
		Packet: b.Packet, Request: b.Request, Stream: b.Stream,
		Slots: b.Slots, Weight: b.Weight, Incarnation: b.Incarnation,
	}
}

// placeService spreads the buckets evenly over the ready backend servers and
// keeps each bucket where it is as far as that allows.
func placeService(d *table.Delta, p *table.Placement, service string, count int) {
	ready := readyBackends(p, service)
	buckets := p.Buckets[service]
	if len(buckets) != count {
		buckets = make([]table.Bucket, count)
	}
	quota := apportion(count, ready)
	var homeless []int
	for i, b := range buckets {
		if quota[b.Oldest()] > 0 {
			quota[b.Oldest()]--
			continue
		}
		homeless = append(homeless, i)
	}
	for _, i := range homeless {
		update := table.BucketUpdate{Service: service, Index: i, Count: count}
		if num, ok := takeQuota(quota, ready); ok {
			update.Bucket = table.StableAt(num)
		}
		if buckets[i].Oldest() != 0 || update.Bucket.Oldest() != 0 {
			d.SetBuckets = append(d.SetBuckets, update)
		}
	}
}

func readyBackends(p *table.Placement, service string) []table.BackendNum {
	var nums []table.BackendNum
	for _, b := range p.Backends {
		if b.Service == service && b.State == model.Ready {
			nums = append(nums, b.Num)
		}
	}
	slices.SortFunc(nums, cmp.Compare[table.BackendNum])
	return nums
}

func apportion(count int, ready []table.BackendNum) map[table.BackendNum]int {
	quota := map[table.BackendNum]int{}
	for i, num := range ready {
		quota[num] = count / len(ready)
		if i < count%len(ready) {
			quota[num]++
		}
	}
	return quota
}

func takeQuota(quota map[table.BackendNum]int, ready []table.BackendNum) (table.BackendNum, bool) {
	for _, num := range ready {
		if quota[num] > 0 {
			quota[num]--
			return num, true
		}
	}
	return 0, false
}
