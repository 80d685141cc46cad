package aqpeer

import (
	"bufio"
	"io"
	"net"
	"sync"
	"time"

	"acaciaquay/internal/peer/aqinbound"
)

// serverConn is a connection of a peer to this process.
type serverConn struct {
	server *Server
	conn   net.Conn
	held   *aqinbound.Conn

	writeMu sync.Mutex
}

const (
	// readBufferBytes is the size of the buffer of a connection. Larger frames are read past
	// it.
	readBufferBytes = 4 << 10
	// firstDataBytes is what is allocated for a frame before more of it has arrived.
	firstDataBytes = 16 << 10
	// writeTimeout limits the write of an answer to a peer that does not read.
	writeTimeout = 10 * time.Second
)

// read dispatches the frames of the connection until it ends or a frame is refused.
func (c *serverConn) read() {
	reader := bufio.NewReaderSize(c.conn, readBufferBytes)
	var prefix [lengthBytes]byte
	for {
		if _, err := io.ReadFull(reader, prefix[:]); err != nil {
			return
		}
		length, err := frameLength(prefix[:])
		if err != nil {
			c.server.refuseFrame(err)
			return
		}
		data, err := c.readData(reader, length)
		if err != nil {
			return
		}
		f, err := decodeFrame(data)
		if err != nil {
			c.server.refuseFrame(err)
			return
		}
		c.held.Received(0)
		c.server.dispatch(c, f, data)
	}
}

// readData reads a frame into a buffer that grows with what arrives: an announced length
// alone holds no memory.
func (c *serverConn) readData(reader io.Reader, length int) ([]byte, error) {
	if !c.held.Announced(length) {
		return nil, c.refuseData()
	}
	data := takeBuffer(min(length, firstDataBytes))
	for {
		if !c.held.Received(cap(data)) {
			dropBuffer(data)
			return nil, c.refuseData()
		}
		start := len(data)
		data = data[:min(length, cap(data))]
		if _, err := io.ReadFull(reader, data[start:]); err != nil {
			dropBuffer(data)
			return nil, err
		}
		if len(data) == length {
			return data, nil
		}
		larger := append(takeBuffer(min(length, 2*cap(data))), data...)
		dropBuffer(data)
		data = larger
	}
}

func (c *serverConn) refuseData() error {
	c.server.refuseConn(aqinbound.CauseBudget, c.conn.RemoteAddr().String())
	return net.ErrClosed
}

// refuse answers a call that did not run.
func (c *serverConn) refuse(f frame, detail string) {
	c.write(c.server.encodeAnswer(frame{
		CallID: f.CallID,
		Code:   CodeExhausted,
		Detail: detail,
	}))
}

// write sends an answer. It closes the connection if the peer does not read.
func (c *serverConn) write(data []byte) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.conn.Write(data); err != nil {
		_ = c.conn.Close()
	}
}

func (c *serverConn) close() {
	_ = c.conn.Close()
	c.held.Closed()
	c.server.forget(c)
}
