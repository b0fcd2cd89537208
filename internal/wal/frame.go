package wal

import (
	"encoding/binary"
	"hash/crc32"
)

// A frame is the unit of writing: a header and a payload. The checksum covers
// everything that follows it in the frame. The fields with their sizes in bytes,
// in little-endian byte order:
//
//	magic 4 | checksum 4 | length 4 | kind 1 | sequence 8 | payload
const (
	frameMagic      = 0x77616c31 // "wal1"
	headerBytes     = 21
	checksumStart   = 8
	maxPayloadBytes = 1 << 30
)

// frameKind is the kind of a frame's content.
type frameKind uint8

const (
	kindSegment  frameKind = iota + 1 // first frame of a segment, with the hard state
	kindBatch                         // entries and the hard state that was saved with them
	kindReset                         // the log restarts after an installed snapshot
	kindClosed                        // the log was closed cleanly
	kindSnapshot                      // the only frame of a snapshot file
	kindIdentity                      // the only frame of the identity file
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// frame is one decoded frame.
type frame struct {
	kind     frameKind
	sequence uint64 // numbers the frames of the log without gaps
	payload  []byte
	size     int // bytes in the file
}

func appendFrame(buf []byte, kind frameKind, sequence uint64, payload []byte) []byte {
	start := len(buf)
	buf = binary.LittleEndian.AppendUint32(buf, frameMagic)
	buf = binary.LittleEndian.AppendUint32(buf, 0)
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(payload)))
	buf = append(buf, byte(kind))
	buf = binary.LittleEndian.AppendUint64(buf, sequence)
	buf = append(buf, payload...)
	sum := crc32.Checksum(buf[start+checksumStart:], crcTable)
	binary.LittleEndian.PutUint32(buf[start+4:], sum)
	return buf
}

// parseFrame returns the frame at the start of data, and false if there is no
// complete frame that passes its check.
func parseFrame(data []byte) (frame, bool) {
	if len(data) < headerBytes || binary.LittleEndian.Uint32(data) != frameMagic {
		return frame{}, false
	}
	length := binary.LittleEndian.Uint32(data[8:])
	if length > maxPayloadBytes || headerBytes+int(length) > len(data) {
		return frame{}, false
	}
	size := headerBytes + int(length)
	if crc32.Checksum(data[checksumStart:size], crcTable) != binary.LittleEndian.Uint32(data[4:]) {
		return frame{}, false
	}
	return frame{
		kind:     frameKind(data[12]),
		sequence: binary.LittleEndian.Uint64(data[13:]),
		payload:  data[headerBytes:size],
		size:     size,
	}, true
}

// containsFrame reports whether data contains a valid frame at any offset. After
// a crash no frame follows the one that was being written, since each frame is
// synced before the next one is written.
func containsFrame(data []byte) bool {
	for i := 0; i+headerBytes <= len(data); i++ {
		if binary.LittleEndian.Uint32(data[i:]) != frameMagic {
			continue
		}
		if _, ok := parseFrame(data[i:]); ok {
			return true
		}
	}
	return false
}
