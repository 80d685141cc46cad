package aqsite

import (
	"context"
	"log/slog"
	"time"

	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqlog"
)

const (
	// advicePeriod is the interval at which the leader collects advice requests.
	advicePeriod = 100 * time.Millisecond
	// adviceMargin is added to the duration that the configuration gives for a request.
	// The sum is the timeout of the request.
	adviceMargin = time.Second
)

// adviceLoop sends the decider's requests to the advice service one at a time, since the
// service answers the requests of one process in turn.
func (l *leader) adviceLoop(ctx context.Context) {
	if l.node.advisor == nil {
		return
	}
	for ctx.Err() == nil {
		aqclock.Sleep(ctx, l.node.clock, advicePeriod)
		var requests []aqdecider.AdviceRequest
		l.decide(func(d *aqdecider.Decider) { requests = d.AdviceRequests() })
		for _, q := range requests {
			l.requestAdvice(ctx, q)
		}
	}
}

func (l *leader) requestAdvice(ctx context.Context, q aqdecider.AdviceRequest) {
	expected := q.Base + time.Duration(len(q.Workers))*q.PerWorker
	bounded, cancel := context.WithTimeout(ctx, expected+adviceMargin)
	defer cancel()
	answer, err := l.node.advisor.Advise(bounded, q)
	if err != nil {
		if ctx.Err() == nil {
			l.node.log.Write(aqlog.AdviceFailed, slog.String("Group", q.Group.String()), aqlog.Err(err))
		}
		l.decide(func(d *aqdecider.Decider) { d.AdviceFailed(q) })
		return
	}
	l.decide(func(d *aqdecider.Decider) { d.AdviceReceived(q, answer) })
}
