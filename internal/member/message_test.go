package member_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/member"
)

func FuzzDecode(f *testing.F) {
	for _, m := range []*member.Message{
		{Kind: member.Ping, From: "a", Seq: 7, Progress: &member.Progress{List: 1, Revision: 9, Lag: []byte{0, 1}}},
		{Kind: member.Digest, From: "a", Zones: []member.ZoneDigest{{Zone: "z", Sum: 5}}},
		{Kind: member.Records, From: "a", Hosts: []member.HostRecord{{Name: "b", Zone: "z", Version: 3, State: 1, Accusers: []string{"c"}}}, Items: []member.Item{{Key: "k", Zone: "z", Body: []byte("x")}}},
		{Kind: member.Answer, From: "a", Heartbeat: &member.Heartbeat{Epoch: 1, Seq: 2, Late: []member.HostProgress{{Index: 1}}}},
	} {
		data, err := member.Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
		f.Add(data[:len(data)/2])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := member.Decode(data)
		if err != nil {
			return
		}
		core := newNetwork(1, 1, 2).nodes[0].core
		core.Step(startTime, "10.0.0.9:1", m)
		core.Tick(startTime)
	})
}

func TestDecodeInvalid(t *testing.T) {
	c := qt.New(t)
	for _, data := range [][]byte{nil, {0xff}, make([]byte, member.MaxDatagram+1), {0xa0}, {0xa2, 1, 1, 2, 0x60}} {
		_, err := member.Decode(data)
		c.Check(err, qt.IsNotNil)
	}
	_, err := member.Encode(&member.Message{Kind: member.Want, From: "a", Zone: string(make([]byte, member.MaxDatagram))})
	c.Check(err, qt.ErrorMatches, ".*exceeds a datagram.*")
}
