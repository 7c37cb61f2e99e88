package jsonc_test

import (
	"encoding/json"
	"errors"
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bronzestair/core/fleet"
	"bronzestair/core/settings"
	"bronzestair/io/jsonc"
)

// TestErrorsNameLineAndKey checks the error of each paragraph of
// testdata/errors.txt, which holds a kind, the text of a file and its error.
func TestErrorsNameLineAndKey(t *testing.T) {
	data, err := os.ReadFile("testdata/errors.txt")
	if err != nil {
		t.Fatal(err)
	}
	for _, paragraph := range strings.Split(strings.TrimSpace(string(data)), "\n---\n") {
		kind, rest, _ := strings.Cut(paragraph, "\n")
		text, want, found := strings.Cut(rest, "\n=> ")
		if !found {
			t.Fatalf("paragraph %q has no expected error", paragraph)
		}
		got := "valid"
		if err := read(kind, text); err != nil {
			got = err.Error()
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("text %q (-want +got):\n%s", text, diff)
		}
	}
}

func read(kind, text string) error {
	if kind == "fleet" {
		var f fleet.Fleet
		return jsonc.Unmarshal("f", []byte(text), &f)
	}
	return readSettings(text)
}

func readSettings(text string) error {
	flags := flag.NewFlagSet("", flag.ContinueOnError)
	var s settings.Settings
	s.Bind(flags)
	if err := jsonc.FlagParser("f", flags)(strings.NewReader(text), flags.Set); err != nil {
		return err
	}
	return s.Check()
}

// FuzzUnmarshal checks that every error has a position, and that accepted input
// decodes to the same value as with encoding/json.
func FuzzUnmarshal(f *testing.F) {
	f.Add([]byte(`{"version": 1, "services": [{"id": "a", "pool": "p"},], /* x */}`))
	f.Add([]byte(`{"runners": [{"address": "127.0.0.1:1"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var got fleet.Fleet
		err := jsonc.Unmarshal("f", data, &got)
		var located *jsonc.PositionError
		if err != nil && !errors.As(err, &located) {
			t.Fatalf("text %q: error %v has no position", data, err)
		}
		var want fleet.Fleet
		if err == nil && json.Unmarshal(data, &want) == nil {
			if diff := cmp.Diff(want.Services, got.Services); diff != "" {
				t.Errorf("text %q (-standard +got):\n%s", data, diff)
			}
		}
	})
}

// FuzzSettings checks that no input causes a panic or an empty error message.
func FuzzSettings(f *testing.F) {
	f.Add(`{"entry": "a", "callerAddress": "127.0.0.1:1", "drainDelay": "1s", "trustCallerHeader": true}`)
	f.Fuzz(func(t *testing.T, text string) {
		err := readSettings(text)
		if err != nil && err.Error() == "" {
			t.Errorf("text %q gives an empty error message", text)
		}
	})
}

// TestOverriddenEmptyValueIsRestored guards against a settings file that replaces an empty
// value of the command line, which package ff leaves in place.
func TestOverriddenEmptyValueIsRestored(t *testing.T) {
	flags := flag.NewFlagSet("", flag.ContinueOnError)
	name := flags.String("name", "default", "")
	if err := flags.Set("name", ""); err != nil {
		t.Fatal(err)
	}
	overridden := func(string, string) error { return nil }
	if err := jsonc.FlagParser("f", flags)(strings.NewReader(`{"name": "of the file"}`), overridden); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("", *name); diff != "" {
		t.Errorf("name (-want +got):\n%s", diff)
	}
}
