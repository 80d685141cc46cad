package cmds

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func write(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "host.ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func TestExitStatuses(t *testing.T) {
	wrong := strings.Replace(devSettings, "Count = 2", "Count = two", 1)
	for _, test := range []struct {
		name   string
		args   []string
		status int
		says   string
	}{
		{name: "good settings", args: []string{"check-settings", write(t, devSettings)}, status: ExitOK, says: "ok"},
		{
			name:   "wrong settings",
			args:   []string{"check-settings", write(t, wrong)},
			status: ExitUsage,
			says:   "[Shards] Count",
		},
		{
			name:   "daemon with wrong settings",
			args:   []string{"scheduler", "--settings", write(t, wrong)},
			status: ExitUsage,
			says:   "[Shards] Count",
		},
		{name: "unknown command", args: []string{"ctl", "jobs"}, status: ExitUsage, says: "jobs"},
		{name: "missing team", args: []string{"ctl", "job", "submit", "k"}, status: ExitUsage, says: "team"},
		{
			name:   "no gateway",
			args:   []string{"ctl", "--gateway", "127.0.0.1:1", "job", "get", "k"},
			status: ExitFailed,
			says:   "refused",
		},
	} {
		var out bytes.Buffer
		if status := Run(test.args, &out, &out); status != test.status || !strings.Contains(out.String(), test.says) {
			t.Errorf("%s: status %d, %q", test.name, status, out.String())
		}
	}
}
