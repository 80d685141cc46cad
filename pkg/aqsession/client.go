// Package aqsession maintains a shard owner's session on one worker. It opens the
// session, renews it with one call for all tasks, and sends numbered commands.
//
// The timing rules bound how long a deposed owner can keep tasks running. A
// renewal is sent only while the last proof of ownership is younger than the
// proof limit. The client reads the clock after the previous answer and
// immediately before sending. At most one renewal is in flight, and it carries the
// single-use token of the previous answer.
package aqsession

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqplatform"
	"acaciaquay/pkg/aqtype"
)

// Owner proves ownership and receives the events of the session. Its methods must
// not block.
type Owner interface {
	// Proof returns the send time of the last call that proved ownership.
	Proof() time.Time
	// Opened reports a new session with all runs on the worker. Starts decided
	// under earlier sessions are never sent after it.
	Opened(worker aqtype.WorkerID, serial Serial, runs []aqplatform.TaskRun)
	// Changed reports the runs that changed.
	Changed(worker aqtype.WorkerID, runs []aqplatform.TaskRun)
	// Refused reports starts that the worker refused for lack of capacity.
	Refused(worker aqtype.WorkerID, runs []aqplatform.RunID)
	// Closed reports that the session is closed until the next Opened.
	Closed(worker aqtype.WorkerID, err error)
}

// Serial identifies a session within the process and is never reused. A start
// carries the serial of the session under which it was decided.
type Serial uint64

var lastSerial atomic.Uint64

// Limits are the timing parameters of a session.
type Limits struct {
	// TTL is how long the worker runs the tasks without a renewal (T).
	TTL time.Duration
	// ProofLimit is the maximum age of the last proof of ownership for a renewal
	// (D).
	ProofLimit time.Duration
	// RenewWait is how long the worker holds a renewal while no run changes.
	RenewWait time.Duration
	// RenewPause is the delay between an answer and the next renewal.
	RenewPause time.Duration
	// RetryDelay is the delay before an open that follows a failed call, and
	// before a command with an unknown outcome is sent again.
	RetryDelay time.Duration
	// DriftPercent is the maximum difference in rate between two clocks.
	DriftPercent int
}

// ExpireAfter is how long after the worker's last answer, or after the proof limit,
// all sessions of an owner have expired: one TTL in which a renewal in flight can
// still arrive, and one by which that renewal extends the session.
func (l Limits) ExpireAfter() time.Duration {
	return l.withDrift(2 * l.TTL)
}

// ReassignAfter is how long after the commit of its epoch a new owner that cannot
// reach a worker must wait before it may treat the worker's tasks as stopped.
func (l Limits) ReassignAfter() time.Duration {
	return l.withDrift(l.ProofLimit + 2*l.TTL)
}

func (l Limits) withDrift(d time.Duration) time.Duration {
	return d + d*time.Duration(l.DriftPercent)/100
}

// Options configure a client.
type Options struct {
	Workers aqplatform.Workers
	Clock   aqclock.Clock
	Owner   Owner
	Limits  Limits
	Worker  aqtype.WorkerID
	Address string
	Shard   aqtype.ShardID
	Epoch   aqtype.Epoch
}

// ErrNoProof means that the last proof of ownership is too old to open or renew a
// session.
var ErrNoProof = errors.New("session: ownership not proved within the limit")

// Client maintains the session on one worker.
type Client struct {
	options Options

	mu sync.Mutex
	// serial is the serial of the last session opened, zero before the first.
	serial  Serial
	session aqplatform.SessionID
	token   aqplatform.SessionToken
	version uint64
	// number is the last command number used in this epoch. Opens use numbers too:
	// the worker refuses commands whose number is not higher than that of an open.
	number uint64
	open   bool
	// renewed is set by the first renewal of the open session.
	renewed bool
	outbox  Orders
	wake    chan struct{}
	// lastAnswer is when the last open or renewal was answered. At most one
	// renewal has been sent since.
	lastAnswer time.Time
}

// NewClient returns a client without a session.
func NewClient(o Options) *Client {
	return &Client{
		options: o,
		wake:    make(chan struct{}, 1),
	}
}

// Run maintains the session until ctx ends. It returns when no call is in flight.
func (c *Client) Run(ctx context.Context) {
	var commands sync.WaitGroup
	commands.Add(1)
	go func() {
		defer commands.Done()
		c.runCommands(ctx)
	}()
	for ctx.Err() == nil {
		err := c.Step(ctx)
		if err == nil {
			aqclock.Sleep(ctx, c.options.Clock, c.options.Limits.RenewPause)
			continue
		}
		if ctx.Err() == nil {
			c.CloseSession(err)
		}
		aqclock.Sleep(ctx, c.options.Clock, c.options.Limits.RetryDelay)
	}
	commands.Wait()
}

// Step opens the session if none is open and renews it otherwise.
func (c *Client) Step(ctx context.Context) error {
	c.mu.Lock()
	open := c.open
	c.mu.Unlock()
	if open {
		return c.renew(ctx)
	}
	return c.openSession(ctx)
}

func (c *Client) checkProof() error {
	proved := c.options.Owner.Proof()
	if c.options.Clock.Now().Sub(proved) >= c.options.Limits.ProofLimit {
		return ErrNoProof
	}
	return nil
}

func (c *Client) openSession(ctx context.Context) error {
	c.mu.Lock()
	c.number++
	request := aqplatform.OpenRequest{
		Worker: c.options.Worker,
		Shard:  c.options.Shard,
		Epoch:  c.options.Epoch,
		TTL:    c.options.Limits.TTL,
		Number: c.number,
	}
	c.mu.Unlock()
	if err := c.checkProof(); err != nil {
		return err
	}
	answer, err := c.options.Workers.Open(ctx, c.options.Address, request)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.serial = Serial(lastSerial.Add(1))
	c.number = max(c.number, answer.Number)
	c.open = true
	c.renewed = false
	c.session = answer.Session
	c.outbox = Orders{Serial: c.serial}
	c.saveAnswer(answer)
	serial := c.serial
	c.mu.Unlock()
	c.options.Owner.Opened(c.options.Worker, serial, answer.Runs)
	return nil
}

// saveAnswer stores what the next renewal needs. The caller holds the lock.
func (c *Client) saveAnswer(answer aqplatform.SessionAnswer) {
	c.token = answer.Token
	c.version = answer.Version
	c.lastAnswer = c.options.Clock.Now()
}

// renewWait returns how long the worker may hold the next renewal. The first
// renewal after an open waits for a fraction that depends on the worker, so that
// sessions opened together by a takeover are not renewed in lockstep. The caller
// holds the lock.
func (c *Client) renewWait() time.Duration {
	whole := c.options.Limits.RenewWait
	if c.renewed {
		return whole
	}
	c.renewed = true
	part := xxhash.Sum64String(string(c.options.Worker)) % firstWaitSteps
	return whole * time.Duration(part) / firstWaitSteps
}

// firstWaitSteps is the number of different waits of a first renewal.
const firstWaitSteps = 64

func (c *Client) renew(ctx context.Context) error {
	c.mu.Lock()
	request := aqplatform.RenewRequest{
		Worker:  c.options.Worker,
		Session: c.session,
		Epoch:   c.options.Epoch,
		Token:   c.token,
		Version: c.version,
		Wait:    c.renewWait(),
	}
	c.mu.Unlock()
	if err := c.checkProof(); err != nil {
		return err
	}
	answer, err := c.options.Workers.Renew(ctx, c.options.Address, request)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.saveAnswer(answer)
	c.mu.Unlock()
	if len(answer.Runs) > 0 {
		c.options.Owner.Changed(c.options.Worker, answer.Runs)
	}
	return nil
}

// CloseSession closes the session after a failed step. The next step opens another one.
func (c *Client) CloseSession(err error) {
	c.mu.Lock()
	c.open = false
	c.outbox = Orders{}
	c.mu.Unlock()
	c.options.Owner.Closed(c.options.Worker, err)
}

// Worker returns the session's worker.
func (c *Client) Worker() aqtype.WorkerID { return c.options.Worker }

// LastAnswer returns when the worker last answered an open or a renewal, zero if
// it never has.
func (c *Client) LastAnswer() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastAnswer
}

// Serial returns the serial of the last session opened.
func (c *Client) Serial() Serial {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.serial
}

// Send queues orders for the next command, or drops them if no session is open. It
// drops starts of an earlier session: the owner learns from Opened that they did
// not run.
func (c *Client) Send(o Orders) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.open {
		return
	}
	if o.Serial == c.serial {
		c.outbox.Starts = append(c.outbox.Starts, o.Starts...)
	}
	c.outbox.addResizes(o.Resizes)
	c.outbox.Stops = append(c.outbox.Stops, o.Stops...)
	c.outbox.acknowledge(o.AckedEnds)
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *Client) runCommands(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		for ctx.Err() == nil && c.Flush(ctx) {
			aqclock.Sleep(ctx, c.options.Clock, c.options.Limits.RetryDelay)
		}
	}
}

// Flush sends the queued orders as one command. It returns true if the outcome of the
// command is unknown: the call failed and the session may still be open. The orders
// must then be sent again under a new number.
func (c *Client) Flush(ctx context.Context) bool {
	c.mu.Lock()
	orders := c.outbox
	if !c.open || orders.empty() {
		c.mu.Unlock()
		return false
	}
	c.number++
	request := aqplatform.CommandRequest{
		Worker:  c.options.Worker,
		Session: c.session,
		Epoch:   c.options.Epoch,
		Number:  c.number,

		Resizes: orders.Resizes,
		Starts:  orders.Starts,
		Stops:   orders.Stops,
		Forget:  orders.AckedEnds,
	}
	c.mu.Unlock()
	answer, err := c.options.Workers.Command(ctx, c.options.Address, request)
	if err == nil {
		c.removeSent(orders)
		if len(answer.NoRoom) > 0 {
			c.options.Owner.Refused(c.options.Worker, answer.NoRoom)
		}
		return false
	}
	unknown := !errors.Is(err, aqplatform.ErrNoSession) && !errors.Is(err, aqplatform.ErrStaleEpoch)
	if !unknown {
		c.markClosed(orders.Serial)
	}
	return unknown
}

// removeSent removes the orders of an answered command from the queue. More orders
// may have been queued since.
func (c *Client) removeSent(sent Orders) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outbox.Serial != sent.Serial || !c.open {
		return
	}
	c.outbox.removeResizes(sent.Resizes)
	c.outbox.Starts = without(c.outbox.Starts, sent.Starts, startRun)
	c.outbox.Stops = without(c.outbox.Stops, sent.Stops, stopRun)
	c.outbox.AckedEnds = without(c.outbox.AckedEnds, sent.AckedEnds, endRun)
}

func (c *Client) markClosed(serial Serial) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.serial == serial {
		c.open = false
	}
}
