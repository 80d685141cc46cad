package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"acaciaquay/pkg/aqstandin"
)

// loadCommand sends a fixed number of requests and writes the counts of their outcomes.
type loadCommand struct {
	command            *kingpin.CmdClause
	gateways           *string
	service            *string
	requests           *int
	callers            *int
	nonIdempotentEvery *int
	work               *time.Duration
	out                *string
}

func addLoad(app *kingpin.Application) loadCommand {
	c := app.Command("load", "Send a fixed number of requests through gateways.")
	return loadCommand{
		command:            c,
		gateways:           c.Flag("gateways", "IP:port of the gateways, comma-separated.").Required().String(),
		service:            c.Flag("service", "Service to call.").Required().String(),
		requests:           c.Flag("requests", "Number of requests.").Default("1000").Int(),
		callers:            c.Flag("callers", "Number of concurrent callers.").Default("16").Int(),
		nonIdempotentEvery: c.Flag("once-every", "Every n-th request is not idempotent.").Default("4").Int(),
		work:               c.Flag("work", "How long an endpoint processes a request.").Default("5ms").Duration(),
		out:                c.Flag("out", "File for the counts, in JSON.").Required().String(),
	}
}

func (c loadCommand) run(ctx context.Context) error {
	caller := aqstandin.NewCaller(strings.Split(*c.gateways, ","))
	numbers := make(chan int)
	var counts aqstandin.CallerCounts
	var mu sync.Mutex
	var callers sync.WaitGroup
	for range *c.callers {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for n := range numbers {
				outcome := caller.Call(ctx, aqstandin.CallerRequest{
					Service:       *c.service,
					ID:            fmt.Sprintf("%s-%d", *c.service, n),
					NonIdempotent: n%*c.nonIdempotentEvery == 0,
					Work:          *c.work,
					Urgency:       "urgent",
				})
				mu.Lock()
				counts.Add(outcome)
				mu.Unlock()
			}
		}()
	}
	for n := range *c.requests {
		if ctx.Err() != nil {
			break
		}
		numbers <- n
	}
	close(numbers)
	callers.Wait()
	data, err := json.Marshal(counts)
	if err != nil {
		return errors.Wrap(err, "encode counts")
	}
	return os.WriteFile(*c.out, data, 0o600)
}
