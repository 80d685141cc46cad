package cmds

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func writeSettings(t *testing.T, text string) string {
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
		want   string
	}{
		{name: "good settings", args: []string{"check-settings", writeSettings(t, devSettings)}, status: ExitOK, want: "ok"},
		{
			name:   "wrong settings",
			args:   []string{"check-settings", writeSettings(t, wrong)},
			status: ExitUsage,
			want:   "[Shards] Count",
		},
		{
			name:   "daemon with wrong settings",
			args:   []string{"scheduler", "--settings", writeSettings(t, wrong)},
			status: ExitUsage,
			want:   "[Shards] Count",
		},
		{name: "unknown command", args: []string{"ctl", "jobs"}, status: ExitUsage, want: "jobs"},
		{name: "missing team", args: []string{"ctl", "job", "submit", "k"}, status: ExitUsage, want: "team"},
		{
			name:   "no gateway",
			args:   []string{"ctl", "--gateway", "127.0.0.1:1", "job", "get", "k"},
			status: ExitFailed,
			want:   "refused",
		},
	} {
		var out bytes.Buffer
		if status := Run(test.args, &out, &out); status != test.status || !strings.Contains(out.String(), test.want) {
			t.Errorf("%s: status %d, %q", test.name, status, out.String())
		}
	}
}
