package member_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/member"
)

// Guards against an item that makes the datagrams that carry it undecodable.
func TestItemThatIsNoUTF8Decodes(t *testing.T) {
	c := qt.New(t)
	items := []member.Item{{Key: "b/\xff", Zone: "a"}, {Key: "b/p1", Zone: "a"}}
	data, err := member.Encode(&member.Message{Kind: member.Updates, From: "entry-1", Items: items})
	c.Assert(err, qt.IsNil)
	got, err := member.Decode(data)
	c.Assert(err, qt.IsNil)
	c.Assert(got.Items, qt.HasLen, len(items))
}
