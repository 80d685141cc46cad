package aqgateway

import (
	"context"
	"time"

	"acaciaquay/internal/front/aqintake"
	"acaciaquay/pkg/aqadmit"
)

// Requests whose bodies are longer than what the gateway reads ahead are uploads: they hold a
// slot while their body still arrives, so that a caller who stops within it holds a slot that
// does nothing. Uploads have at most half of a service's slots, and give way to other uploads
// when they stall.

// uploadShare divides the slots of a service to those that uploads may hold.
const uploadShare = 2

// stallTime is after how long without a byte an upload gives way to one that waits.
const stallTime = time.Second

// upload is a request whose body is still arriving. Its service's lock guards it.
type upload struct {
	service *serviceState
	// interrupt ends a read of the body that is in progress. It must not block.
	interrupt   func()
	interrupted bool
	// readSince is when the read of the body that is in progress began, zero if none is.
	readSince time.Time
}

// uploadResult ends the wait of an upload.
type uploadResult struct {
	upload *upload
	err    error
}

// beginUpload waits until the request may be an upload, at most until its deadline.
func (s *serviceState) beginUpload(ctx context.Context, r request, interrupt func()) (*upload, error) {
	s.mu.Lock()
	if s.uploadQueue.Len() == 0 && len(s.uploads) < s.uploadLimit() {
		defer s.mu.Unlock()
		return s.addUpload(interrupt), nil
	}
	switch {
	case s.table.Len() == 0:
		s.mu.Unlock()
		return nil, errNoEndpoint
	case s.uploadQueue.Len() >= s.maxQueue:
		s.mu.Unlock()
		return nil, errQueueFull
	}
	waiting := &waitingUpload{
		interrupt: interrupt,
		result:    make(chan uploadResult, 1),
	}
	ticket := &aqadmit.Ticket{
		Urgency:  r.urgency,
		Caller:   r.caller,
		Deadline: r.deadline,
		Value:    waiting,
	}
	s.uploadQueue.Push(ticket)
	s.mu.Unlock()
	deadline := s.clock.After(r.deadline.Sub(s.clock.Now()))
	for {
		select {
		case got := <-waiting.result:
			return got.upload, got.err
		case <-s.clock.After(stallTime):
			s.interruptStalled()
		case <-deadline:
			return nil, s.withdrawUpload(ticket, errDeadline)
		case <-ctx.Done():
			return nil, s.withdrawUpload(ticket, ctx.Err())
		}
	}
}

// waitingUpload is the value of an upload's ticket.
type waitingUpload struct {
	interrupt func()
	result    chan uploadResult
}

func (s *serviceState) uploadLimit() int { return max(1, s.table.Slots()/uploadShare) }

// addUpload adds an upload. The lock must be held.
func (s *serviceState) addUpload(interrupt func()) *upload {
	u := &upload{
		service:   s,
		interrupt: interrupt,
	}
	s.uploads[u] = true
	return u
}

// grantUploads lets waiting uploads begin. The lock must be held.
func (s *serviceState) grantUploads() {
	for s.uploadQueue.Len() > 0 && len(s.uploads) < s.uploadLimit() {
		ticket := s.uploadQueue.Pop(s.clock.Now(), func(t *aqadmit.Ticket) {
			t.Value.(*waitingUpload).result <- uploadResult{err: errDeadline}
		})
		if ticket == nil {
			return
		}
		waiting := ticket.Value.(*waitingUpload)
		waiting.result <- uploadResult{upload: s.addUpload(waiting.interrupt)}
	}
}

// withdrawUpload removes an upload that waits, or ends it if it was granted in the meantime.
func (s *serviceState) withdrawUpload(ticket *aqadmit.Ticket, err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.uploadQueue.Remove(ticket) {
		delete(s.uploads, (<-ticket.Value.(*waitingUpload).result).upload)
		s.grantUploads()
	}
	return err
}

// interruptStalled interrupts the uploads that stall, as many as others wait.
func (s *serviceState) interruptStalled() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	left := s.uploadQueue.Len()
	for u := range s.uploads {
		if left > 0 && !u.interrupted && !u.readSince.IsZero() && now.Sub(u.readSince) >= stallTime {
			u.interrupted = true
			u.interrupt()
			left--
		}
	}
}

// reading records the beginning and the end of a read of the body.
func (u *upload) reading(now time.Time) {
	if u == nil {
		return
	}
	u.service.mu.Lock()
	defer u.service.mu.Unlock()
	u.readSince = now
}

// end ends the upload when its body or the request has ended. It may be called more than once,
// and for nil.
func (u *upload) end() {
	if u == nil {
		return
	}
	s := u.service
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.uploads, u)
	s.grantUploads()
}

// readAheadBytes is how much of a body is read before the request waits for a slot.
const readAheadBytes = int(aqintake.StreamAhead)
