// Package aqintake limits what clients can make a process hold: memory of requests that
// are being read, connections, and the time that they take. It wraps the listeners and
// handlers of net/http.
package aqintake

import "time"

// Bytes is an amount of memory.
type Bytes int

// The units of Bytes.
const (
	KiB Bytes = 1 << 10
	MiB Bytes = 1 << 20
)

// Limits are the limits of one process.
type Limits struct {
	// Budget limits the memory that is reserved for heads and bodies of all connections
	// together. Its last quarter is for requests that hold at most smallHold.
	Budget Bytes
	// Connections limits the connections of a port that clients reach.
	Connections int
	// ConnectionsPerAddress limits those of one remote address. It is at most
	// Connections.
	ConnectionsPerAddress int
	// Working limits the requests at work of a port with LimitWork. As many wait, or 64;
	// further ones are refused, since each holds a connection with unread bytes.
	Working int
	// HeadBytes and HeadLines limit one head, empty lines before it included.
	HeadBytes int
	HeadLines int
	// HeadTime limits the time from the first byte of a head to its end, and the wait for
	// that byte on a new connection.
	HeadTime time.Duration
	// IdleTime is how long a connection may be idle between two requests.
	IdleTime time.Duration
	// BodyTime limits the time from the end of a head to the end of the body.
	BodyTime time.Duration
	// BodyPace is the least number of bytes of a body in each PaceWindow.
	BodyPace   int
	PaceWindow time.Duration
	// WriteTime is how long a write may wait for a client that does not read.
	WriteTime time.Duration
}

// Derivation of defaults from the machine.
const (
	budgetShare    = 8
	minBudget      = 8 * MiB
	memoryPerConn  = 64 * KiB
	reservedFiles  = 200
	minSocketShare = 4
	// reservedShare divides the memory to what the collector's limit leaves for the program
	// itself and for garbage beyond the limit, which is soft. It leaves at least
	// minReserved: the program's own pages take half of that.
	reservedShare = 5
	minReserved   = 24 * MiB
	// auxiliaryShare divides the connections of a port for operators or the load
	// balancer from those of a port for clients.
	auxiliaryShare = 16
	minAuxiliary   = 4
	minWorking     = 8
)

// DefaultBudget returns the default of Limits.Budget.
func DefaultBudget(memory Bytes) Bytes { return max(memory/budgetShare, minBudget) }

// DefaultConnections returns the default of Limits.Connections. It leaves descriptors for
// files and for connections that the process opens itself.
func DefaultConnections(memory Bytes, descriptors int) int {
	return max(1, min(int(memory/memoryPerConn), Sockets(descriptors)*3/4))
}

// DefaultWorking returns the default of Limits.Working: half of the descriptors that the
// connections of clients leave.
func DefaultWorking(connections, descriptors int) int {
	return max(minWorking, (Sockets(descriptors)-connections)/2)
}

// Sockets returns how many of the descriptors are for sockets.
func Sockets(descriptors int) int {
	return max(descriptors-reservedFiles, descriptors/minSocketShare)
}

// DefaultConnectionsPerAddress returns the default of Limits.ConnectionsPerAddress. It is
// most of the connections, because all clients may come through one load balancer.
func DefaultConnectionsPerAddress(connections int) int { return max(1, connections*7/8) }

// CollectorLimit returns the soft memory limit of the garbage collector.
func CollectorLimit(memory Bytes) Bytes { return memory - max(memory/reservedShare, minReserved) }

// Port describes a listening address.
type Port struct {
	// Auxiliary ports are for operators and probes. They have few connections of their
	// own, which clients of other ports can't take.
	Auxiliary bool
	// LimitWork means that requests at work open connections of their own, and that their
	// number is limited.
	LimitWork bool
	// Refusal holds headers of every refusal, ReasonHeader names the one that gives its
	// reason. Both may be empty.
	Refusal      map[string]string
	ReasonHeader string
	// Streams means that the handler passes bodies on and does not hold them.
	Streams bool
}

// LargestHead returns the memory that is reserved for the largest head.
func (l Limits) LargestHead() Bytes {
	head := headScanner{
		bytes: l.HeadBytes,
		lines: min(l.HeadLines, l.HeadBytes/minLineBytes),
	}
	return head.cost()
}

// waiting returns how many requests may wait to be at work.
func (l Limits) waiting() int { return max(minWaiting, l.Working) }

// minLineBytes is the size of the shortest header line.
const minLineBytes = 3

func (l Limits) connections(p Port) int {
	if p.Auxiliary {
		return max(minAuxiliary, l.Connections/auxiliaryShare)
	}
	return l.Connections
}

func (l Limits) connectionsPerAddress(p Port) int {
	return min(l.connections(p), l.ConnectionsPerAddress)
}
