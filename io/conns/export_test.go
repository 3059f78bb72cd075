package conns

// HoldsReadBuffer reports whether the connection holds a read buffer.
func (co *Conn) HoldsReadBuffer() bool { return co.rd != nil }
