package aqsettings

import (
	"fmt"
	"time"

	"acaciaquay/internal/front/aqintake"
	"acaciaquay/internal/peer/aqinbound"
	"acaciaquay/pkg/aqpeer"
)

// Intake limits what clients may make a process hold.
type Intake struct {
	// Memory is the memory in MiB that the process may use.
	Memory int
	// Descriptors is the number of file descriptors that the process may use.
	Descriptors int
	// Limits holds no zero after the settings are read.
	Limits aqintake.Limits
	// Peers limits the port for other processes. It holds no zero after the settings are read.
	Peers aqinbound.Limits
}

// minHeadLines is how many header lines the shortest limit on a head must allow.
const minHeadLines = 16

// intakeFields lists the settings that limit what clients may make a process hold.
var intakeFields = []Field{
	count("Intake", "Memory", "MiB", "512", 64, 1<<20,
		"Memory that this process may use. The defaults of Budget and Connections are derived from it, and the garbage collector works harder from four fifths of it on.",
		func(s *Settings) *int { return &s.Intake.Memory }),
	count("Intake", "Descriptors", "descriptors", "4096", 64, 1<<20,
		"File descriptors that this process may use. The default of Connections is derived from it.",
		func(s *Settings) *int { return &s.Intake.Descriptors }),
	count("Intake", "Budget", "bytes", "0", 0, 1<<40,
		"Memory that is reserved for all requests that are being read or at work: a multiple of the bytes of their heads and bodies. Requests beyond it are refused, the slowest first. 0 means an eighth of Memory, at least 8 MiB.",
		func(s *Settings) *int { return (*int)(&s.Intake.Limits.Budget) }),
	count("Intake", "Connections", "connections", "0", 0, 1<<20,
		"Connections of clients. 0 means one for each 64 KiB of Memory, at most three quarters of the Descriptors less 200. The ports for operators and probes have a sixteenth of that number each, of their own.",
		func(s *Settings) *int { return &s.Intake.Limits.Connections }),
	count("Intake", "ConnectionsPerAddress", "connections", "0", 0, 1<<20,
		"Connections of clients from one address. 0 means seven eighths of Connections, because all clients may come through one load balancer.",
		func(s *Settings) *int { return &s.Intake.Limits.ConnectionsPerAddress }),
	count("Intake", "Working", "requests", "0", 0, 1<<20,
		"Requests of submitters that a site's process works on at once; as many others, or 64, wait for at most ten seconds, and further ones are refused. 0 means half of the descriptors for sockets that Connections leave, because a request may open a connection to the store.",
		func(s *Settings) *int { return &s.Intake.Limits.Working }),
	count("Intake", "HeadBytes", "bytes", "65536", 1024, 1<<20,
		"Maximum size of a request's head, with the empty lines before it.",
		func(s *Settings) *int { return &s.Intake.Limits.HeadBytes }),
	count("Intake", "HeadLines", "lines", "8192", minHeadLines, 1<<16,
		"Maximum number of lines of a head. It allows any head of 16 KiB.",
		func(s *Settings) *int { return &s.Intake.Limits.HeadLines }),
	duration("Intake", "HeadTime", "5s", 10*time.Millisecond, time.Hour,
		"Time for a head, and until the first byte on a new connection.",
		func(s *Settings) *time.Duration { return &s.Intake.Limits.HeadTime }),
	duration("Intake", "IdleTime", "2m", 10*time.Millisecond, 24*time.Hour,
		"How long a connection may be idle between two requests.",
		func(s *Settings) *time.Duration { return &s.Intake.Limits.IdleTime }),
	duration("Intake", "BodyTime", "5m", 10*time.Millisecond, 24*time.Hour,
		"Time for a body.",
		func(s *Settings) *time.Duration { return &s.Intake.Limits.BodyTime }),
	count("Intake", "BodyPace", "bytes", "1024", 1, 1<<20,
		"Bytes of a body that must arrive in each PaceWindow, if so much is left.",
		func(s *Settings) *int { return &s.Intake.Limits.BodyPace }),
	duration("Intake", "PaceWindow", "5s", 10*time.Millisecond, time.Hour,
		"Time to which BodyPace refers.",
		func(s *Settings) *time.Duration { return &s.Intake.Limits.PaceWindow }),
	duration("Intake", "WriteTime", "10s", 10*time.Millisecond, time.Hour,
		"How long a client may not read its answer.",
		func(s *Settings) *time.Duration { return &s.Intake.Limits.WriteTime }),
	count("Intake", "PeerConnections", "connections", "0", 0, 1<<20,
		"Connections of other processes at the peer port. A new one beyond it replaces one without a call in progress. 0 means a quarter of the Descriptors less 200, at least 32.",
		func(s *Settings) *int { return &s.Intake.Peers.Connections }),
	count("Intake", "PeerBudget", "bytes", "0", 0, 1<<40,
		"Memory for what other processes make this one hold at the peer port: unfinished frames, calls in progress and unread answers. Connections that hold most are closed first, calls beyond it are refused. 0 means an eighth of Memory, at least 20 MiB.",
		func(s *Settings) *int { return (*int)(&s.Intake.Peers.Budget) }),
}

// derive sets the limits that are zero and checks those that depend on each other.
func (i *Intake) derive(file string) error {
	memory := aqintake.Bytes(i.Memory) * aqintake.MiB
	l := &i.Limits
	if l.Budget == 0 {
		l.Budget = aqintake.DefaultBudget(memory)
	}
	if l.Connections == 0 {
		l.Connections = aqintake.DefaultConnections(memory, i.Descriptors)
	}
	if l.ConnectionsPerAddress == 0 {
		l.ConnectionsPerAddress = aqintake.DefaultConnectionsPerAddress(l.Connections)
	}
	if l.Working == 0 {
		l.Working = aqintake.DefaultWorking(l.Connections, i.Descriptors)
	}
	if i.Peers.Connections == 0 {
		i.Peers.Connections = aqinbound.DefaultConnections(i.Descriptors)
	}
	if i.Peers.Budget == 0 {
		i.Peers.Budget = aqinbound.DefaultBudget(memory, aqpeer.MaxFrameBytes)
	}
	fail := func(key, format string, args ...any) error {
		return &SettingError{
			File:    file,
			Section: "Intake",
			Key:     key,
			Reason:  fmt.Sprintf(format, args...),
		}
	}
	switch {
	case l.Budget > memory/2:
		return fail("Budget", "must be at most half of Intake.Memory (%d bytes)", memory/2)
	case l.Budget+i.Peers.Budget > memory*3/4:
		return fail("PeerBudget", "must be at most three quarters of Intake.Memory less Intake.Budget (%d bytes)", memory*3/4-l.Budget)
	case i.Peers.Budget < aqinbound.MinBudget(aqpeer.MaxFrameBytes):
		return fail("PeerBudget", "must be at least %d bytes for the largest frame", aqinbound.MinBudget(aqpeer.MaxFrameBytes))
	case l.Budget < l.LargestHead():
		return fail("Budget", "must be at least %d bytes for the largest head", l.LargestHead())
	case l.Connections >= i.Descriptors:
		return fail("Connections", "must be below Intake.Descriptors (%d)", i.Descriptors)
	case l.Connections+i.Peers.Connections >= i.Descriptors:
		return fail("PeerConnections", "must be below Intake.Descriptors less Intake.Connections (%d)", i.Descriptors-l.Connections)
	case l.ConnectionsPerAddress > l.Connections:
		return fail("ConnectionsPerAddress", "must be at most Intake.Connections (%d)", l.Connections)
	case l.PaceWindow > l.BodyTime:
		return fail("PaceWindow", "must be at most Intake.BodyTime (%s)", l.BodyTime)
	}
	return nil
}
