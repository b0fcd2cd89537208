package feed

import (
	"sync"
	"time"
)

// maxCachedFrames is the number of encoded frames that a server keeps.
const maxCachedFrames = 16

// maxFrameAge is how long a frame with relative times is sent again. Such times are
// wrong by as much. Hosts that connect at the same time still share a frame.
const maxFrameAge = time.Second

// frameKey identifies a frame that is the same for all entry hosts.
type frameKey struct {
	after, next Cursor
	compressed  bool
	deltas      bool
}

// frameCache holds the frames that were encoded last, since after a change, or
// when many entry hosts connect at once, most of them need the same frame. While
// one caller encodes a frame, the others wait for it.
type frameCache struct {
	mu     sync.Mutex
	frames []cachedFrame // oldest first
}

type cachedFrame struct {
	key       frameKey
	data      []byte
	ages      bool // whether it holds times that are relative to encodedAt
	encodedAt time.Time
}

func (f cachedFrame) isUsable(now time.Time) bool {
	return !f.ages || now.Sub(f.encodedAt) < maxFrameAge
}

// get returns the frame of a key and the cursor after it. If the cache does not
// have the frame, it calls encode, which returns a frame, nil if there is none,
// the cursor after it, and whether the frame holds relative times.
func (c *frameCache) get(key frameKey, encode func() ([]byte, Cursor, bool, error)) ([]byte, Cursor, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, f := range c.frames {
		if f.key == key && f.isUsable(now) {
			return f.data, key.next, nil
		}
	}
	data, next, ages, err := encode()
	if data == nil || err != nil {
		return nil, next, err
	}
	key.next = next // there may have been a change since the key was made
	c.frames = append(c.frames, cachedFrame{key: key, data: data, ages: ages, encodedAt: now})
	if len(c.frames) > maxCachedFrames {
		c.frames = c.frames[1:]
	}
	return data, next, nil
}
