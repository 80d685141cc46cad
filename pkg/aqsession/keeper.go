// Package aqsession keeps the owner's session on one worker: it opens it,
// renews it by one message for all tasks, and sends numbered commands.
//
// The timing rules bound how long a deposed owner can keep tasks alive. A
// renewal is sent only while the last proof of ownership is younger than the
// proof limit, the clock is read after the previous answer and right before the
// send, and one renewal is outstanding at a time with the single-use token of
// the answer before it.
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

// Owner is told what the session learns. Its methods must not block.
type Owner interface {
	// Proof returns when the last call that proved ownership was sent.
	Proof() time.Time
	// Opened reports a new session with every run on the worker. Starts decided
	// before it are never sent.
	Opened(worker aqtype.WorkerID, serial Serial, runs []aqplatform.TaskRun)
	// Changed reports runs that changed.
	Changed(worker aqtype.WorkerID, runs []aqplatform.TaskRun)
	// Refused reports starts for which the worker had no room.
	Refused(worker aqtype.WorkerID, runs []aqplatform.RunID)
	// Closed reports that the session is not usable now.
	Closed(worker aqtype.WorkerID, err error)
}

// Serial numbers the sessions that a process opens; none is used twice. A start
// carries the serial of the session under which it was decided.
type Serial uint64

var lastSerial atomic.Uint64

// Limits are the timing rules of a session.
type Limits struct {
	// TTL is how long the worker keeps the tasks without a renewal (T).
	TTL time.Duration
	// ProofLimit is how long renewals go on without a new proof (D).
	ProofLimit time.Duration
	// RenewWait is how long the worker holds a renewal that has no news.
	RenewWait time.Duration
	// RenewPause is the least time between two renewals.
	RenewPause time.Duration
	// RetryDelay is the pause before a failed open is tried again.
	RetryDelay time.Duration
	// DriftPercent bounds how much faster one clock runs than another.
	DriftPercent int
}

// ExpireAfter is how long after the last renewal could be sent every session of
// that owner has ended: one TTL for a renewal under way, one for its effect.
func (l Limits) ExpireAfter() time.Duration {
	return l.withDrift(2 * l.TTL)
}

// ReassignAfter is how long a new owner that cannot reach a worker waits after
// its own epoch's commit before it may take the worker's tasks for stopped.
func (l Limits) ReassignAfter() time.Duration {
	return l.withDrift(l.ProofLimit + 2*l.TTL)
}

func (l Limits) withDrift(d time.Duration) time.Duration {
	return d + d*time.Duration(l.DriftPercent)/100
}

// Options configure a keeper.
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

// ErrNoProof means that ownership was not proved recently enough to send.
var ErrNoProof = errors.New("session: ownership not proved within the limit")

// Client holds the session on one worker.
type Client struct {
	options Options

	mu sync.Mutex
	// serial is that of the last session opened, zero before the first.
	serial  Serial
	session aqplatform.SessionID
	token   aqplatform.SessionToken
	version uint64
	// number is the last command number used or barred in this epoch.
	number uint64
	open   bool
	// renewed is set once the open session has been renewed.
	renewed bool
	outbox  Orders
	wake    chan struct{}
	// answered is when the last renewal or open was answered; renewals sent
	// later than that are at most one.
	answered time.Time
}

// NewClient returns a keeper that has no session yet.
func NewClient(o Options) *Client {
	return &Client{
		options: o,
		wake:    make(chan struct{}, 1),
	}
}

// Run keeps the session until ctx ends. It returns after the last call has.
func (k *Client) Run(ctx context.Context) {
	var commands sync.WaitGroup
	commands.Add(1)
	go func() {
		defer commands.Done()
		k.runCommands(ctx)
	}()
	for ctx.Err() == nil {
		err := k.Step(ctx)
		if err == nil {
			aqclock.Sleep(ctx, k.options.Clock, k.options.Limits.RenewPause)
			continue
		}
		if ctx.Err() == nil {
			k.Fail(err)
		}
		aqclock.Sleep(ctx, k.options.Clock, k.options.Limits.RetryDelay)
	}
	commands.Wait()
}

// Step opens the session when there is none and renews it otherwise.
func (k *Client) Step(ctx context.Context) error {
	k.mu.Lock()
	open := k.open
	k.mu.Unlock()
	if open {
		return k.renew(ctx)
	}
	return k.openSession(ctx)
}

func (k *Client) mayRenew() error {
	proved := k.options.Owner.Proof()
	if k.options.Clock.Now().Sub(proved) >= k.options.Limits.ProofLimit {
		return ErrNoProof
	}
	return nil
}

func (k *Client) openSession(ctx context.Context) error {
	k.mu.Lock()
	k.number++
	request := aqplatform.OpenRequest{
		Worker: k.options.Worker,
		Shard:  k.options.Shard,
		Epoch:  k.options.Epoch,
		TTL:    k.options.Limits.TTL,
		Number: k.number,
	}
	k.mu.Unlock()
	if err := k.mayRenew(); err != nil {
		return err
	}
	answer, err := k.options.Workers.Open(ctx, k.options.Address, request)
	if err != nil {
		return err
	}
	k.mu.Lock()
	k.serial = Serial(lastSerial.Add(1))
	k.number = max(k.number, answer.Number)
	k.open = true
	k.renewed = false
	k.session = answer.Session
	k.outbox = Orders{Serial: k.serial}
	k.note(answer)
	serial := k.serial
	k.mu.Unlock()
	k.options.Owner.Opened(k.options.Worker, serial, answer.Runs)
	return nil
}

// note keeps what the next renewal needs. The lock is held.
func (k *Client) note(answer aqplatform.SessionAnswer) {
	k.token = answer.Token
	k.version = answer.Version
	k.answered = k.options.Clock.Now()
}

// wait is how long the worker may hold the next renewal. The first one after an
// open is shorter by a part that depends on the worker, so that the sessions
// that a takeover opens at once are not renewed at once ever after.
func (k *Client) wait() time.Duration {
	whole := k.options.Limits.RenewWait
	if k.renewed {
		return whole
	}
	k.renewed = true
	part := xxhash.Sum64String(string(k.options.Worker)) % phases
	return whole * time.Duration(part) / phases
}

// phases is the number of different first waits.
const phases = 64

func (k *Client) renew(ctx context.Context) error {
	k.mu.Lock()
	request := aqplatform.RenewRequest{
		Worker:  k.options.Worker,
		Session: k.session,
		Epoch:   k.options.Epoch,
		Token:   k.token,
		Version: k.version,
		Wait:    k.wait(),
	}
	k.mu.Unlock()
	if err := k.mayRenew(); err != nil {
		return err
	}
	answer, err := k.options.Workers.Renew(ctx, k.options.Address, request)
	if err != nil {
		return err
	}
	k.mu.Lock()
	k.note(answer)
	k.mu.Unlock()
	if len(answer.Runs) > 0 {
		k.options.Owner.Changed(k.options.Worker, answer.Runs)
	}
	return nil
}

// Fail gives the session up after a failed step; the next step opens another.
func (k *Client) Fail(err error) {
	k.mu.Lock()
	k.open = false
	k.outbox = Orders{}
	k.mu.Unlock()
	k.options.Owner.Closed(k.options.Worker, err)
}

// Worker returns the worker that the session is on.
func (k *Client) Worker() aqtype.WorkerID { return k.options.Worker }

// LastAnswer returns when the worker last answered, the zero time before that.
func (k *Client) LastAnswer() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.answered
}

// Serial returns the serial of the last session opened.
func (k *Client) Serial() Serial {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.serial
}

// Send queues orders. Starts of an earlier session are dropped: the owner
// learns from Opened that they did not run.
func (k *Client) Send(o Orders) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.open {
		return
	}
	if o.Serial == k.serial {
		k.outbox.Starts = append(k.outbox.Starts, o.Starts...)
	}
	k.outbox.resize(o.Resizes)
	k.outbox.Stops = append(k.outbox.Stops, o.Stops...)
	k.outbox.forget(o.AckedEnds)
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

func (k *Client) runCommands(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
		}
		for ctx.Err() == nil && k.Flush(ctx) {
			aqclock.Sleep(ctx, k.options.Clock, k.options.Limits.RetryDelay)
		}
	}
}

// Flush sends the queued orders as one command. It reports true when the
// outcome is unknown and the orders are to be sent again under a new number.
func (k *Client) Flush(ctx context.Context) bool {
	k.mu.Lock()
	orders := k.outbox
	if !k.open || orders.empty() {
		k.mu.Unlock()
		return false
	}
	k.number++
	request := aqplatform.CommandRequest{
		Worker:  k.options.Worker,
		Session: k.session,
		Epoch:   k.options.Epoch,
		Number:  k.number,

		Resizes: orders.Resizes,
		Starts:  orders.Starts,
		Stops:   orders.Stops,
		Forget:  orders.AckedEnds,
	}
	k.mu.Unlock()
	answer, err := k.options.Workers.Command(ctx, k.options.Address, request)
	if err == nil {
		k.sent(orders)
		if len(answer.NoRoom) > 0 {
			k.options.Owner.Refused(k.options.Worker, answer.NoRoom)
		}
		return false
	}
	unknown := !errors.Is(err, aqplatform.ErrNoSession) && !errors.Is(err, aqplatform.ErrStaleEpoch)
	if !unknown {
		k.closeSession(orders.Serial)
	}
	return unknown
}

// sent removes the orders that have been carried out; others may have been
// queued behind them meanwhile.
func (k *Client) sent(done Orders) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.outbox.Serial != done.Serial || !k.open {
		return
	}
	k.outbox.resized(done.Resizes)
	k.outbox.Starts = without(k.outbox.Starts, done.Starts, startRun)
	k.outbox.Stops = without(k.outbox.Stops, done.Stops, stopRun)
	k.outbox.AckedEnds = without(k.outbox.AckedEnds, done.AckedEnds, sameRun)
}

func (k *Client) closeSession(serial Serial) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.serial == serial {
		k.open = false
	}
}
