// Package events finds the events of an event stream (text/event-stream) in its bytes.
//
// # Concepts
//
// An event is a block of lines that ends with an empty line. Lines end with LF, CR LF or CR. A line
// that begins with a colon is a comment, which belongs to no event. Routers forward the bytes of events
// as they are, so that nothing is decoded here but the ids.
//
// # Usage
//
//	var sc events.Scanner
//	end, count := sc.Scan(data) // data[:end] ends with the last whole event
//	broken := sc.Open()         // at the end of the stream
package events

import "bytes"

// Scanner finds the ends of events in a stream that arrives in parts. The zero value is ready to use.
type Scanner struct {
	// lineLen is the length of the current line, comment whether it is one.
	lineLen int
	comment bool
	// afterCR is set if the last byte was a CR: an LF belongs to the same line end.
	afterCR bool
	// inBlock is set if the current block has a line, inEvent if it has one that is no comment.
	inBlock, inEvent bool
}

// Scan reads the next bytes of the stream. It returns the length up to the end of the last block that
// ends there, 0 if none does, and the number of events that end there.
func (sc *Scanner) Scan(data []byte) (end, count int) {
	for {
		length, event := sc.next(data[end:])
		if length == 0 {
			return end, count
		}
		end += length
		if event {
			count++
		}
	}
}

// Open reports whether the stream is inside an event: one that ends here was broken off.
func (sc *Scanner) Open() bool { return sc.inEvent || sc.lineLen > 0 && !sc.comment }

// next reads up to the end of the next block and returns its length, 0 if it does not end in data, and
// whether the block is an event.
func (sc *Scanner) next(data []byte) (length int, event bool) {
	for ix, by := range data {
		if by == '\n' && sc.afterCR {
			sc.afterCR = false
			if !sc.inBlock && sc.lineLen == 0 {
				return ix + 1, false // the end of the previous block's empty line
			}
			continue
		}
		sc.afterCR = by == '\r'
		switch {
		case by != '\r' && by != '\n':
			if sc.lineLen == 0 {
				sc.comment = by == ':'
			}
			sc.lineLen++
		case sc.lineLen > 0:
			sc.lineLen, sc.inBlock, sc.inEvent = 0, true, sc.inEvent || !sc.comment
		default:
			event = sc.inEvent
			sc.inBlock, sc.inEvent = false, false
			if sc.afterCR && ix+1 < len(data) && data[ix+1] == '\n' {
				sc.afterCR = false
				ix++
			}
			return ix + 1, event
		}
	}
	return 0, false
}

// Cut returns the first block of data, with its empty line, and the rest. Without an empty line, all of
// data is the block.
func Cut(data []byte) (block, rest []byte) {
	var sc Scanner
	if length, _ := sc.next(data); length > 0 {
		return data[:length], data[length:]
	}
	return data, nil
}

// Count returns the number of whole events in data.
func Count(data []byte) int {
	var sc Scanner
	_, count := sc.Scan(data)
	return count
}

// IsComment reports whether a block has no line but comments.
func IsComment(block []byte) bool {
	var sc Scanner
	_, event := sc.next(block)
	return !event && !sc.Open()
}

var idField = []byte("id:")

// LastID returns the id of the last event that has one, "" if none has.
func LastID(data []byte) string {
	at := bytes.LastIndex(data, idField)
	for at > 0 && data[at-1] != '\n' && data[at-1] != '\r' {
		at = bytes.LastIndex(data[:at], idField)
	}
	if at < 0 {
		return ""
	}
	line := data[at+len(idField):]
	if end := bytes.IndexAny(line, "\r\n"); end >= 0 {
		line = line[:end]
	}
	return string(bytes.TrimSpace(line))
}
