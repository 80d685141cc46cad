// Package aqlog writes numbered events. Settings enable the events of each layer by the
// layer's name; warnings are always written.
package aqlog

import (
	"context"
	"io"
	"log/slog"
	"strings"

	"github.com/pkg/errors"
)

// Event is one kind of log event. Numbers are never reused.
type Event struct {
	Number  int
	Layer   Layer
	Level   slog.Level
	Message string
	// Meaning explains to an operator what happened and what to do.
	Meaning string
}

// Layer names a group of events.
type Layer string

// The layers.
const (
	LayerMember    Layer = "member"
	LayerJournal   Layer = "journal"
	LayerSession   Layer = "session"
	LayerScheduler Layer = "scheduler"
	LayerGateway   Layer = "gateway"
	LayerPeer      Layer = "peer"
	LayerConfig    Layer = "config"
	LayerProcess   Layer = "process"
	LayerDecider   Layer = "decider"
	LayerSite      Layer = "site"
	LayerIntake    Layer = "intake"
)

// Logger writes the events of one process.
type Logger struct {
	out    *slog.Logger
	layers map[Layer]bool
}

// New returns a logger that writes text lines to w. Layers is a comma-separated
// list of layers whose events below warning level are written too; "all" means
// every layer.
func New(w io.Writer, process, layers string) (*Logger, error) {
	enabled := map[Layer]bool{}
	for _, name := range strings.Split(layers, ",") {
		name = strings.TrimSpace(name)
		if name == "" {
			continue
		}
		if name != "all" && !knownLayer(Layer(name)) {
			return nil, errors.Errorf("unknown log layer %q", name)
		}
		enabled[Layer(name)] = true
	}
	handler := slog.NewTextHandler(w, &slog.HandlerOptions{Level: slog.LevelDebug})
	return &Logger{
		out:    slog.New(handler).With("Process", process),
		layers: enabled,
	}, nil
}

// Discard returns a logger that writes nothing.
func Discard() *Logger {
	return &Logger{out: slog.New(slog.DiscardHandler)}
}

// Write logs one event. Attribute keys are in Pascal case.
func (l *Logger) Write(e Event, attrs ...slog.Attr) {
	if e.Level < slog.LevelWarn && !l.layers["all"] && !l.layers[e.Layer] {
		return
	}
	all := append([]slog.Attr{slog.Int("Event", e.Number), slog.String("Layer", string(e.Layer))}, attrs...)
	l.out.LogAttrs(context.Background(), e.Level, e.Message, all...)
}

// Err is the attribute that carries an error.
func Err(err error) slog.Attr {
	return slog.String("Error", err.Error())
}

func knownLayer(name Layer) bool {
	for _, e := range Events {
		if e.Layer == name {
			return true
		}
	}
	return false
}
