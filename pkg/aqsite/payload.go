package aqsite

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqpeer"
)

// methodPayload asks the process that accepted a job for its payload.
const methodPayload aqpeer.Method = "Site.Payload"

type payloadCall struct {
	Job aqjob.ID
}

type payloadAnswer struct {
	Known   bool
	Payload string
}

const (
	// payloadPeerTimeout limits the call to the process that accepted the job; after it
	// the store is asked.
	payloadPeerTimeout = 300 * time.Millisecond
	// acceptedPayloadTime is how long a process keeps the payload of a job that it has
	// accepted. Later starts read the store.
	acceptedPayloadTime = time.Minute
	// maxAcceptedPayloads limits the memory of these payloads.
	maxAcceptedPayloads = 4096
)

// acceptedPayloads holds the payloads of the jobs that this process accepted last.
type acceptedPayloads struct {
	mu       sync.Mutex
	payloads map[aqjob.ID]string
	// order lists the jobs as they were accepted, oldest first.
	order []acceptedJob
}

type acceptedJob struct {
	id aqjob.ID
	at time.Time
}

func (p *acceptedPayloads) add(job *aqjob.Job, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.payloads == nil {
		p.payloads = map[aqjob.ID]string{}
	}
	if _, known := p.payloads[job.ID]; !known {
		p.order = append(p.order, acceptedJob{id: job.ID, at: now})
	}
	p.payloads[job.ID] = job.Payload
	for len(p.order) > maxAcceptedPayloads || now.Sub(p.order[0].at) > acceptedPayloadTime {
		delete(p.payloads, p.order[0].id)
		p.order = p.order[1:]
	}
}

func (p *acceptedPayloads) get(id aqjob.ID) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	payload, known := p.payloads[id]
	return payload, known
}

// Payload implements aqpayload.Source: from this process, from the one that accepted
// the job, or from the store.
func (n *Node) Payload(ctx context.Context, job aqjob.ID, from string) (string, error) {
	if payload, known := n.accepted.get(job); known {
		return payload, nil
	}
	if from != "" && from != n.settings.PeerAddress {
		bounded, cancel := context.WithTimeout(ctx, payloadPeerTimeout)
		var answer payloadAnswer
		err := n.peers.Call(bounded, from, methodPayload, payloadCall{Job: job}, &answer)
		cancel()
		if err == nil && answer.Known {
			return answer.Payload, nil
		}
	}
	item, err := n.store.Get(ctx, jobKey(job))
	n.recordStoreResult(err)
	if err != nil {
		return "", errors.WithMessage(err, "payload of job "+string(job))
	}
	stored, err := aqjob.DecodeJob(item.Value)
	if err != nil {
		return "", err
	}
	if stored.Closed {
		return "", errors.Errorf("job %s has ended", job)
	}
	return stored.Payload, nil
}

// handlePayload answers another process.
func (n *Node) handlePayload(_ context.Context, in payloadCall) (payloadAnswer, error) {
	payload, known := n.accepted.get(in.Job)
	return payloadAnswer{Known: known, Payload: payload}, nil
}
