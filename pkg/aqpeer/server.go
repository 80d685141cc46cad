package aqpeer

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/internal/base/aqguard"
	"acaciaquay/internal/base/aqthrottle"
	"acaciaquay/internal/peer/aqinbound"
	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
)

// handler serves one method. It takes and returns encoded bodies.
type handler func(ctx context.Context, body []byte) ([]byte, error)

// maxCallsInFlight limits the goroutines that peers' calls start in this process;
// further calls are refused with CodeExhausted.
const maxCallsInFlight = 4096

// serveTimeout is the timeout of one call, so that calls do not pile up while the store
// is down.
const serveTimeout = 30 * time.Second

// Server serves peers' calls.
type Server struct {
	log      *aqlog.Logger
	metrics  *aqmetric.Set
	clock    aqclock.Clock
	guard    aqguard.Guard
	handlers map[Method]handler
	calls    inFlightCalls
	slots    chan struct{}
	inbound  *aqinbound.Ledger
	throttle aqthrottle.Throttle
	ctx      context.Context
	cancel   context.CancelFunc

	mu       sync.Mutex
	listener net.Listener
	conns    map[*serverConn]struct{}
	stopped  bool
}

const (
	// refusalLogInterval is the minimum time between two lines about refusals of one kind.
	refusalLogInterval = 10 * time.Second
	// refusalKinds is the number of these kinds.
	refusalKinds = 2
)

// NewServer returns a server without handlers.
func NewServer(limits aqinbound.Limits, clock aqclock.Clock, log *aqlog.Logger, metrics *aqmetric.Set) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		log:      log,
		metrics:  metrics,
		clock:    clock,
		guard:    aqguard.New(log, metrics),
		handlers: map[Method]handler{},
		slots:    make(chan struct{}, maxCallsInFlight),
		inbound:  aqinbound.NewLedger(limits, clock),
		throttle: aqthrottle.Throttle{
			Interval: refusalLogInterval,
			MaxKeys:  refusalKinds,
		},
		ctx:    ctx,
		cancel: cancel,
		conns:  map[*serverConn]struct{}{},
	}
	metrics.Gauge(string(aqmetric.PeerBytes), func() float64 { return float64(s.inbound.Held()) })
	return s
}

// Handle registers the function that serves a method. It must be called before Start.
func Handle[In, Out any](s *Server, method Method, serve func(context.Context, In) (Out, error)) {
	s.handlers[method] = func(ctx context.Context, body []byte) ([]byte, error) {
		var in In
		if err := Unpack(body, &in); err != nil {
			return nil, Errorf(CodeInvalid, "body of %s: %v", method, err)
		}
		out, err := serve(ctx, in)
		if err != nil {
			return nil, err
		}
		data, err := Pack(out)
		return data, errors.Wrap(err, "peer: encode answer")
	}
}

// Start listens on address, for example 127.0.0.1:7001. It returns when the server
// accepts connections or has failed.
func (s *Server) Start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "peer: listen on %s", address)
	}
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	go s.accept(listener)
	return nil
}

// acceptPause is the pause after a failure to accept, which a lack of descriptors causes.
const acceptPause = 50 * time.Millisecond

func (s *Server) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			s.open(conn)
		case errors.Is(err, net.ErrClosed):
			return
		default:
			s.log.Write(aqlog.PeerAcceptFailed, aqlog.Err(err))
			aqclock.Sleep(s.ctx, s.clock, acceptPause)
		}
	}
}

func (s *Server) open(raw net.Conn) {
	remote := raw.RemoteAddr().String()
	held, ok := s.inbound.Open(func(why aqinbound.Cause) {
		s.refuseConn(why, remote)
		_ = raw.Close()
	})
	if !ok {
		s.refuseConn(aqinbound.CauseConnections, remote)
		_ = raw.Close()
		return
	}
	c := &serverConn{
		server: s,
		conn:   raw,
		held:   held,
	}
	s.mu.Lock()
	stopped := s.stopped
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	if stopped {
		c.close()
		return
	}
	go func() {
		defer c.close()
		_ = s.guard.Run("Peer.Connection", c.read)
	}()
}

func (s *Server) forget(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// stopTimeout is how long Stop waits for calls in flight.
const stopTimeout = 10 * time.Second

// Stop waits for the calls in flight, at most stopTimeout, and closes all connections.
func (s *Server) Stop() {
	select {
	case <-s.calls.whenIdle():
	case <-time.After(stopTimeout):
	}
	s.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for c := range s.conns {
		_ = c.conn.Close()
	}
}

// refuseConn reports a connection that has to be closed.
func (s *Server) refuseConn(why aqinbound.Cause, remote string) {
	reason, event := aqmetric.RefusedPeerBudget, aqlog.PeerBudgetFull
	if why == aqinbound.CauseConnections {
		reason, event = aqmetric.RefusedPeers, aqlog.PeerConnectionsFull
	}
	s.metrics.Refused(reason)
	if s.throttle.Allow(string(reason), s.clock.Now()) {
		s.log.Write(event, slog.String("Remote", remote))
	}
}

func (s *Server) refuseFrame(err error) {
	reason := aqmetric.RefusedFrameMalformed
	if errors.Is(err, ErrFrameTooLarge) {
		reason = aqmetric.RefusedFrameTooLarge
	}
	s.metrics.Refused(reason)
	s.log.Write(aqlog.PeerFrameBad, aqlog.Err(err))
}

// dispatch carries out a call. The frame refers to data, which is not used after it.
func (s *Server) dispatch(c *serverConn, f frame, data []byte) {
	size := len(data)
	s.metrics.Inc(aqmetric.PeerCalls)
	if !c.held.Begin(size) {
		s.metrics.Refused(aqmetric.RefusedPeerBudget)
		dropBuffer(data)
		c.refuse(f, "calls in progress hold too much memory")
		return
	}
	select {
	case s.slots <- struct{}{}:
	default:
		c.held.Abandon(size)
		dropBuffer(data)
		c.refuse(f, "too many calls in progress")
		return
	}
	s.calls.begin()
	go func() {
		defer s.calls.end()
		answer := s.serve(f)
		<-s.slots
		dropBuffer(data)
		encoded := s.encodeAnswer(answer)
		if c.held.Answered(size, len(encoded)) {
			c.write(encoded)
		} else {
			s.refuseConn(aqinbound.CauseBudget, c.conn.RemoteAddr().String())
			_ = c.conn.Close()
		}
		c.held.End(len(encoded))
	}()
}

func (s *Server) serve(f frame) frame {
	serve, ok := s.handlers[f.Method]
	if !ok {
		return frame{
			CallID: f.CallID,
			Code:   CodeInvalid,
			Detail: "no method " + string(f.Method),
		}
	}
	ctx, cancel := context.WithTimeout(s.ctx, serveTimeout)
	defer cancel()
	var body []byte
	var err error
	if failure := s.guard.Run(string(f.Method), func() { body, err = serve(ctx, f.Body) }); failure != nil {
		err = Errorf(CodeInternal, "%v", failure)
	}
	if err != nil {
		return frame{
			CallID: f.CallID,
			Code:   CodeOf(err),
			Detail: err.Error(),
		}
	}
	return frame{CallID: f.CallID, Body: body}
}

// encodeAnswer returns the frame of an answer, nil if there is none to send.
func (s *Server) encodeAnswer(f frame) []byte {
	data, err := encodeFrame(f)
	if err != nil {
		data, err = encodeFrame(frame{
			CallID: f.CallID,
			Code:   CodeInternal,
			Detail: err.Error(),
		})
	}
	if err != nil {
		s.log.Write(aqlog.PeerFrameBad, aqlog.Err(err), slog.String("Direction", "Out"))
		return nil
	}
	return data
}
