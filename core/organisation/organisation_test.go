package organisation

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bronzestair/core/job"
)

func credentials(name job.Organisation, keys ...string) Credentials {
	return Credentials{Organisation: Organisation{Name: name, Weight: 1}, Keys: keys}
}

// TestNewDirectoryRefusesBadInput guards against a configuration that would take a key from
// its organisation or give an organisation no share. Errors must not reveal keys.
func TestNewDirectoryRefusesBadInput(t *testing.T) {
	weight := func(w float64) Credentials {
		return Credentials{Organisation: Organisation{Name: "a", Weight: w}}
	}
	cases := []struct {
		name string
		in   []Credentials
		want string
	}{
		{"good", []Credentials{credentials("a", "k1", "k2"), credentials("b", "k3")}, ""},
		{"none", nil, ""},
		{"no keys", []Credentials{credentials("a")}, ""},
		{"one key twice", []Credentials{credentials("a", "k1", "k1")}, ""},
		{"empty name", []Credentials{credentials("", "k1")}, "an organisation has no name"},
		{"name twice", []Credentials{credentials("a", "k1"), credentials("a", "k2")}, `organisation "a" is configured twice`},
		{"shared key", []Credentials{credentials("a", "secret"), credentials("b", "secret")}, `organisations "a" and "b" have the same key`},
		{"empty key", []Credentials{credentials("a", "")}, `organisation "a": a key of 0 bytes is not between 1 and 256`},
		{"long key", []Credentials{credentials("a", strings.Repeat("x", 257))}, `organisation "a": a key of 257 bytes is not between 1 and 256`},
		{"weight 0", []Credentials{weight(0)}, `organisation "a": weight 0 is not a positive number`},
		{"negative weight", []Credentials{weight(-1)}, `organisation "a": weight -1 is not a positive number`},
		{"weight without a value", []Credentials{weight(math.NaN())}, `organisation "a": weight NaN is not a positive number`},
		{"negative cap", []Credentials{{Organisation: Organisation{Name: "a", Weight: 1, Cap: job.Resources{CPU: -1}}}}, `organisation "a": cap: a negative amount`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := ""
			if _, err := NewDirectory(c.in); err != nil {
				got = err.Error()
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("error (-want +got):\n%s", diff)
			}
		})
	}
}

func TestAuthenticate(t *testing.T) {
	longest := strings.Repeat("x", MaxKeyBytes)
	d, err := NewDirectory([]Credentials{credentials("a", "k1", "k2"), credentials("b", longest)})
	if err != nil {
		t.Fatal(err)
	}
	var none *Directory
	for _, c := range []struct {
		directory *Directory
		key       string
		want      job.Organisation
	}{
		{d, "k1", "a"},
		{d, "k2", "a"},
		{d, longest, "b"},
		{d, longest + "x", ""},
		{d, "k", ""},
		{d, "k1 ", ""},
		{d, "K1", ""},
		{d, "", ""},
		{none, "k1", ""},
	} {
		got := job.Organisation("")
		if o, ok := c.directory.Authenticate(c.key); ok {
			got = o.Name
		}
		if got != c.want {
			t.Errorf("organisation of key %.20q = %q, want %q", c.key, got, c.want)
		}
	}
}

// TestAuthenticateDoesNotAllocate guards against garbage for each request, with known and
// with unknown keys.
func TestAuthenticateDoesNotAllocate(t *testing.T) {
	d, err := NewDirectory([]Credentials{credentials("a", "pqk8bdk9eevyxq2yyaza")})
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range []string{"pqk8bdk9eevyxq2yyaza", "unknown"} {
		if n := testing.AllocsPerRun(100, func() { d.Authenticate(key) }); n != 0 {
			t.Errorf("%v allocations for key %q, want 0", n, key)
		}
	}
}

func BenchmarkAuthenticate(b *testing.B) {
	var all []Credentials
	for i := range 1000 {
		all = append(all, credentials(job.Organisation(fmt.Sprint("organisation-", i)), fmt.Sprintf("key-%016d", i)))
	}
	d, err := NewDirectory(all)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := d.Authenticate("key-0000000000000500"); !ok {
			b.Fatal("the key is not known")
		}
	}
}
