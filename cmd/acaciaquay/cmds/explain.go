package cmds

import (
	"context"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"acaciaquay/pkg/aqexplain"
)

// addExplain adds the command that prints a job's timeline from log files.
func addExplain(app *kingpin.Application, e *env, actions map[string]action) {
	explain := app.Command("explain", "Print the timeline of a job from the log files of a site's processes.")
	id := explain.Arg("id", "The job's id.").Required().String()
	files := explain.Arg("logs", "Log files. Default: standard input.").Strings()
	actions[explain.FullCommand()] = func(context.Context) error {
		if len(*files) == 0 {
			return aqexplain.Explain(*id, e.stdout, os.Stdin)
		}
		var logs []io.Reader
		for _, name := range *files {
			file, err := os.Open(name)
			if err != nil {
				return usageError{err}
			}
			defer func() { _ = file.Close() }()
			logs = append(logs, file)
		}
		return aqexplain.Explain(*id, e.stdout, logs...)
	}
}
