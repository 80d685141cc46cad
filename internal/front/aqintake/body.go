package aqintake

import "io"

// body reads a request's body for a handler and accounts for it.
type body struct {
	io.ReadCloser
	conn *conn
	// number is that of the request on its connection.
	number int
	err    error
}

// Read implements io.Reader. Its error is one for which IsRefusal is true if the request
// must not be carried out.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		if refused := b.conn.bodyReceived(b.number, n); refused != nil {
			n, err = 0, refused
		}
	}
	if err == io.EOF {
		if refused := b.conn.bodyEnded(b.number); refused != nil {
			n, err = 0, refused
		}
	}
	b.err = err
	return n, err
}
