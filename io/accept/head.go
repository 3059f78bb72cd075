package accept

const (
	// byteCost and lineCost are what a byte and a line of a head cost once it is parsed, copied and formatted
	// again: a line becomes an entry of a map, with a slice and a string.
	byteCost = 4
	lineCost = 256
	// headSlack is how far beyond the limit a head is read, in bytes. A head a little beyond it is refused by
	// the handler, which has the whole request.
	headSlack = 4 << 10
)

// headCounter counts the bytes of a head as they arrive. The zero value is at the beginning of a head.
type headCounter struct {
	size  int64
	ended bool
	exact bool
	// begun is set once a line that is not empty has begun, inLine while the current line has a character.
	begun, inLine bool
	// leftover is set if bytes have arrived together with a head or a body that may belong to the next head.
	leftover bool
}

// begin starts the next head.
func (hc *headCounter) begin() {
	*hc = headCounter{exact: !hc.leftover, leftover: hc.leftover}
}

// count counts bytes that have arrived, up to the end of the head, and returns what they cost.
func (hc *headCounter) count(data []byte) int64 {
	lines := int64(0)
	for ix, by := range data {
		if hc.ended {
			hc.leftover = true
			return byteCost*int64(ix) + lineCost*lines
		}
		hc.size++
		switch {
		case by == '\n':
			lines++
			hc.ended = hc.begun && !hc.inLine
			hc.inLine = false
		case by != '\r':
			hc.begun, hc.inLine = true, true
		}
	}
	return byteCost*int64(len(data)) + lineCost*lines
}

// skip notes bytes that arrive while a request is being read or served.
func (hc *headCounter) skip(count int) { hc.leftover = hc.leftover || count > 0 }
