package cmds

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"acaciaquay/internal/site/aqconfigcheck"
)

const checkedConfig = `{"version":7,"routes":[{"name":"r","host":"folio.example","prefix":"/p/","service":"s","max_attempts":2,"stretch":1.5}],
"services":[{"name":"s"}],"limits":{"max_body_bytes":262144}}`

func TestCheckConfig(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	good := file("good.json", checkedConfig)
	for _, test := range []struct {
		name     string
		args     []string
		status   int
		findings int
		changes  int
	}{
		{name: "valid", args: []string{good}, status: ExitOK},
		{name: "misspelt field", args: []string{file("field.json", `{"version":8,"rutes":[]}`)}, status: ExitOK, findings: 2},
		{name: "not JSON", args: []string{file("text.json", `{`)}, status: ExitFailed, findings: 1},
		{name: "same version", args: []string{"--in-force", good, good}, status: ExitFailed, findings: 1},
		{name: "route removed", args: []string{"--in-force", good, file("next.json", `{"version":8}`)}, status: ExitOK, findings: 1, changes: 3},
		{name: "two sources", args: []string{"--in-force", good, "--store", "127.0.0.1:1", good}, status: ExitUsage},
		{name: "no file", args: []string{filepath.Join(dir, "none")}, status: ExitUsage},
	} {
		var out, errOut bytes.Buffer
		status := Run(append([]string{"check-config", "--json"}, test.args...), &out, &errOut)
		if status != test.status {
			t.Errorf("%s: status %d, want %d: %s", test.name, status, test.status, errOut.String())
		}
		if status == ExitUsage {
			continue
		}
		var report struct {
			Findings []aqconfigcheck.Finding
			Changes  []aqconfigcheck.Change
		}
		if err := json.Unmarshal(out.Bytes(), &report); err != nil {
			t.Fatal(err)
		}
		if len(report.Findings) != test.findings || len(report.Changes) != test.changes {
			t.Errorf("%s: %d findings and %d changes, want %d and %d: %s",
				test.name, len(report.Findings), len(report.Changes), test.findings, test.changes, out.String())
		}
	}
}
