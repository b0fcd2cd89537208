package wal

import (
	"encoding/binary"
	"hash/crc32"
)

// A frame is the unit of writing: a header and a payload. The checksum covers
// all of the frame but itself.
//
//	magic 4 | checksum 4 | length 4 | kind 1 | sequence 8 | payload
const (
	frameMagic      = 0x77616c31 // "wal1"
	headerBytes     = 21
	checksumStart   = 8
	maxPayloadBytes = 1 << 30
)

// frameKind tells what a frame holds.
type frameKind uint8

const (
	kindSegment  frameKind = iota + 1 // first frame of a segment
	kindBatch                         // entries and hard state that were saved together
	kindReset                         // the log starts again after a snapshot
	kindClosed                        // the log was closed in order
	kindSnapshot                      // the only frame of a snapshot file
	kindIdentity                      // the only frame of the identity file
)

var checksums = crc32.MakeTable(crc32.Castagnoli)

// frame is one decoded frame.
type frame struct {
	kind     frameKind
	sequence uint64 // counts the frames of the log without gaps
	payload  []byte
	size     int // in the file
}

func appendFrame(buf []byte, kind frameKind, sequence uint64, payload []byte) []byte {
	start := len(buf)
	buf = binary.LittleEndian.AppendUint32(buf, frameMagic)
	buf = binary.LittleEndian.AppendUint32(buf, 0)
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(payload)))
	buf = append(buf, byte(kind))
	buf = binary.LittleEndian.AppendUint64(buf, sequence)
	buf = append(buf, payload...)
	sum := crc32.Checksum(buf[start+checksumStart:], checksums)
	binary.LittleEndian.PutUint32(buf[start+4:], sum)
	return buf
}

// parseFrame returns the frame at the start of data, and false if there is no
// whole frame that passes its check.
func parseFrame(data []byte) (frame, bool) {
	if len(data) < headerBytes || binary.LittleEndian.Uint32(data) != frameMagic {
		return frame{}, false
	}
	length := binary.LittleEndian.Uint32(data[8:])
	if length > maxPayloadBytes || headerBytes+int(length) > len(data) {
		return frame{}, false
	}
	size := headerBytes + int(length)
	if crc32.Checksum(data[checksumStart:size], checksums) != binary.LittleEndian.Uint32(data[4:]) {
		return frame{}, false
	}
	return frame{
		kind:     frameKind(data[12]),
		sequence: binary.LittleEndian.Uint64(data[13:]),
		payload:  data[headerBytes:size],
		size:     size,
	}, true
}

// laterFrame reports whether a whole frame stands anywhere in data. After a
// crash there is none behind the frame that was being written, since the frame
// before it was synced first.
func laterFrame(data []byte) bool {
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
