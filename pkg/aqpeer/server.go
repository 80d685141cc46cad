package aqpeer

import (
	"context"
	"log/slog"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/pkg/errors"

	"acaciaquay/internal/base/aqguard"
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
	gnet.BuiltinEventEngine
	log      *aqlog.Logger
	metrics  *aqmetric.Set
	guard    aqguard.Guard
	handlers map[Method]handler
	engine   gnet.Engine
	booted   chan struct{}
	calls    inFlightCalls
	slots    chan struct{}
	ctx      context.Context
	cancel   context.CancelFunc
}

// NewServer returns a server without handlers.
func NewServer(log *aqlog.Logger, metrics *aqmetric.Set) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{
		log:      log,
		metrics:  metrics,
		guard:    aqguard.New(log, metrics),
		handlers: map[Method]handler{},
		booted:   make(chan struct{}),
		slots:    make(chan struct{}, maxCallsInFlight),
		ctx:      ctx,
		cancel:   cancel,
	}
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
	failed := make(chan error, 1)
	go func() {
		failed <- gnet.Run(s, "tcp://"+address,
			gnet.WithNumEventLoop(eventLoops),
			gnet.WithReuseAddr(true),
			gnet.WithLogger(discardLogger{}),
		)
	}()
	select {
	case <-s.booted:
		return nil
	case err := <-failed:
		return errors.Wrapf(err, "peer: listen on %s", address)
	}
}

// eventLoops is the number of gnet event loops. Two are enough because handlers run in
// goroutines of their own.
const eventLoops = 2

// stopTimeout is how long Stop waits for calls in flight, and then for gnet.
const stopTimeout = 10 * time.Second

// Stop waits for the calls in flight, at most stopTimeout, and closes all connections.
func (s *Server) Stop() {
	select {
	case <-s.calls.whenIdle():
	case <-time.After(stopTimeout):
	}
	s.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_ = s.engine.Stop(ctx)
}

// OnBoot implements gnet.EventHandler.
func (s *Server) OnBoot(engine gnet.Engine) gnet.Action {
	s.engine = engine
	close(s.booted)
	return gnet.None
}

// OnTraffic implements gnet.EventHandler: it dispatches every complete frame.
func (s *Server) OnTraffic(c gnet.Conn) gnet.Action {
	for {
		body, err := nextBody(c)
		if err != nil {
			return s.refuseFrame(err)
		}
		if body == nil {
			return gnet.None
		}
		f, err := decodeFrame(body)
		if err != nil {
			return s.refuseFrame(err)
		}
		s.dispatch(c, f)
	}
}

// nextBody returns a copy of the next complete frame without its length prefix, nil
// when there is none yet.
func nextBody(c gnet.Conn) ([]byte, error) {
	if c.InboundBuffered() < lengthBytes {
		return nil, nil
	}
	prefix, err := c.Peek(lengthBytes)
	if err != nil {
		return nil, nil
	}
	length, err := frameLength(prefix)
	if err != nil {
		return nil, err
	}
	if c.InboundBuffered() < lengthBytes+length {
		return nil, nil
	}
	whole, err := c.Next(lengthBytes + length)
	if err != nil {
		return nil, ErrFrameMalformed
	}
	return append(make([]byte, 0, length), whole[lengthBytes:]...), nil
}

func (s *Server) refuseFrame(err error) gnet.Action {
	reason := aqmetric.RefusedFrameMalformed
	if errors.Is(err, ErrFrameTooLarge) {
		reason = aqmetric.RefusedFrameTooLarge
	}
	s.metrics.Refused(reason)
	s.log.Write(aqlog.PeerFrameBad, aqlog.Err(err))
	return gnet.Close
}

func (s *Server) dispatch(c gnet.Conn, f frame) {
	s.metrics.Inc(aqmetric.PeerCalls)
	select {
	case s.slots <- struct{}{}:
	default:
		s.answer(c, frame{
			CallID: f.CallID,
			Code:   CodeExhausted,
			Detail: "too many calls in progress",
		})
		return
	}
	s.calls.begin()
	go func() {
		defer s.calls.end()
		defer func() { <-s.slots }()
		s.answer(c, s.serve(f))
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

func (s *Server) answer(c gnet.Conn, f frame) {
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
		return
	}
	_ = c.AsyncWrite(data, nil)
}

// discardLogger drops gnet's own log lines, because this package logs its own events.
type discardLogger struct{}

func (discardLogger) Debugf(string, ...any) {}
func (discardLogger) Infof(string, ...any)  {}
func (discardLogger) Warnf(string, ...any)  {}
func (discardLogger) Errorf(string, ...any) {}
func (discardLogger) Fatalf(string, ...any) {}
