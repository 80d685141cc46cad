package aqintake

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"acaciaquay/internal/base/aqthrottle"
	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
)

// Intake limits what the clients of a process make it hold. All its ports share it.
type Intake struct {
	limits   Limits
	clock    aqclock.Clock
	ledger   *ledger
	reporter reporter
	// working has room for one element for each request at work of ports with LimitWork.
	working chan struct{}
	// waiting counts the requests that wait for room in working.
	waiting atomic.Int64
}

// New returns an intake without ports.
func New(limits Limits, clock aqclock.Clock, log *aqlog.Logger, metrics *aqmetric.Set) *Intake {
	i := &Intake{
		limits:  limits,
		clock:   clock,
		ledger:  newLedger(limits.Budget, clock),
		working: make(chan struct{}, limits.Working),
		reporter: reporter{
			log:     log,
			metrics: metrics,
			clock:   clock,
			throttle: aqthrottle.Throttle{
				Interval: logInterval,
				MaxKeys:  int(refusalCount),
			},
		},
	}
	metrics.Gauge(string(aqmetric.IntakeBytes), func() float64 {
		used, _ := i.ledger.totals()
		return float64(used)
	})
	metrics.Gauge(string(aqmetric.IntakeConnections), func() float64 {
		_, connections := i.ledger.totals()
		return float64(connections)
	})
	return i
}

// Server is an HTTP server whose clients are limited.
type Server struct {
	intake *Intake
	port   Port
	server *http.Server
}

type connKey struct{}

// Server returns a server for one address. Listen and Serve start it.
func (i *Intake) Server(address string, handler http.Handler, port Port) *Server {
	return &Server{
		intake: i,
		port:   port,
		server: &http.Server{
			Addr:              address,
			Handler:           i.handler(handler, port),
			ReadHeaderTimeout: i.limits.HeadTime,
			IdleTimeout:       i.limits.IdleTime,
			MaxHeaderBytes:    i.limits.HeadBytes,
			ErrorLog:          slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug),
			ConnContext: func(ctx context.Context, c net.Conn) context.Context {
				return context.WithValue(ctx, connKey{}, c)
			},
			ConnState: func(c net.Conn, state http.ConnState) {
				if own, ok := c.(*conn); ok && state == http.StateIdle {
					own.endRequest()
				}
			},
		},
	}
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.server.Addr }

// Serve accepts connections until the server is closed.
func (s *Server) Serve(inner net.Listener) error {
	return s.server.Serve(&listener{
		Listener: inner,
		intake:   s.intake,
		port: &portEntry{
			limit:      s.intake.limits.connections(s.port),
			perAddress: s.intake.limits.connectionsPerAddress(s.port),
			from:       map[netip.Addr]int{},
			full:       s.port.refusalAnswer(http.StatusServiceUnavailable, refusalBudget),
			tooLarge:   s.port.refusalAnswer(http.StatusRequestHeaderFieldsTooLarge, refusalHeadTooLarge),
		},
	})
}

// Shutdown stops accepting and waits for the requests in progress.
func (s *Server) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }

// Close closes the server with all its connections.
func (s *Server) Close() error { return s.server.Close() }

// listener admits connections.
type listener struct {
	net.Listener
	intake *Intake
	port   *portEntry
}

// Accept implements net.Listener. Connections that are not admitted are closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newConn(l.intake, raw, l.port)
		why, victims := l.intake.ledger.admit(&c.entry)
		interrupt(victims)
		if why == refusalNone {
			return c, nil
		}
		l.intake.reporter.report(why, c.remote())
		_ = raw.Close()
	}
}

func addressOf(c net.Conn) netip.Addr {
	if tcp, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// handler tells the connection when a request is complete.
func (i *Intake) handler(next http.Handler, port Port) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		current := &request{
			conn: c,
			port: port,
			ctx:  r.Context(),
		}
		defer current.end()
		if !current.begin(r.ContentLength) {
			for name, value := range port.refusalHeaders(refusalBudget) {
				w.Header().Set(name, value)
			}
			WriteRefusal(w)
			return
		}
		if r.ContentLength != 0 {
			r.Body = &body{
				ReadCloser: r.Body,
				request:    current,
			}
		}
		next.ServeHTTP(w, r)
	})
}

// earliest returns the earlier of two deadlines, of which zero means none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
