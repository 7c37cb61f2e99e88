package jsonc

import (
	"flag"
	"io"
	"slices"
	"strings"
	"unicode"

	"github.com/ansel1/merry/v2"
	"github.com/tailscale/hujson"
)

// FlagParser returns a settings file parser for the ff library. A camelCase key
// sets the flag of the same name in kebab-case: callerAddress sets
// -caller-address. A key without a flag is an error, and so is the key of a flag
// whose name is in excluded. fileName is used in error messages.
func FlagParser(fileName string, flags *flag.FlagSet, excluded ...string) func(io.Reader, func(name, value string) error) error {
	return func(r io.Reader, set func(name, value string) error) error {
		data, err := io.ReadAll(r)
		if err != nil {
			return err
		}
		d, err := parse(fileName, data)
		if err != nil {
			return err
		}
		object, ok := d.root.Value.(*hujson.Object)
		if !ok {
			return d.errorAt(d.root, "", merry.New("the settings are not one object"))
		}
		return d.setFlags(object, flags, excluded, set)
	}
}

func (d *document) setFlags(object *hujson.Object, flags *flag.FlagSet, excluded []string, set func(name, value string) error) error {
	seen := map[string]bool{}
	for _, member := range object.Members {
		key := member.Name.Value.(hujson.Literal).String()
		name := kebabCase(key)
		if seen[key] {
			return d.errorAt(member.Name, key, merry.Errorf("key %q stands twice", key))
		}
		seen[key] = true
		// The last condition rejects keys that are not in camelCase, such as
		// caller-address.
		if flags.Lookup(name) == nil || slices.Contains(excluded, name) || key != camelCase(name) {
			return d.errorAt(member.Name, key, merry.Errorf("key %q does not exist", key))
		}
		literal, ok := member.Value.Value.(hujson.Literal)
		if !ok || literal.Kind() == 'n' { // 'n' is null
			return d.errorAt(member.Value, key, merry.New("the value is not a string, number or boolean"))
		}
		if err := checkFlagValue(flags, name, literal.String()); err != nil {
			return d.errorAt(member.Value, key, err)
		}
		if err := set(name, literal.String()); err != nil {
			return d.errorAt(member.Value, key, err)
		}
	}
	return nil
}

// checkFlagValue validates a value by setting the flag and restoring the old
// value, because ff does not validate values that the command line or the
// environment overrides.
func checkFlagValue(flags *flag.FlagSet, name, value string) error {
	f := flags.Lookup(name)
	old := f.Value.String()
	if err := f.Value.Set(value); err != nil {
		return describeFlagError(f, value, err)
	}
	if err := f.Value.Set(old); err != nil && old != "" {
		return err
	}
	return nil // types that do not accept an empty value can only have it as their default
}

// describeFlagError names the expected type where package flag only reports
// "parse error".
func describeFlagError(f *flag.Flag, value string, err error) error {
	if err.Error() != "parse error" {
		return err
	}
	kind, _ := flag.UnquoteUsage(f)
	return merry.Errorf("value %q is not a %s", value, kind)
}

// kebabCase converts callerAddress to caller-address.
func kebabCase(key string) string {
	var b strings.Builder
	for _, r := range key {
		if unicode.IsUpper(r) {
			b.WriteByte('-')
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}

// camelCase converts caller-address to callerAddress.
func camelCase(name string) string {
	parts := strings.Split(name, "-")
	for i := 1; i < len(parts); i++ {
		if parts[i] != "" {
			parts[i] = strings.ToUpper(parts[i][:1]) + parts[i][1:]
		}
	}
	return strings.Join(parts, "")
}
