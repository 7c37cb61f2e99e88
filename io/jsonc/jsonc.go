// Package jsonc parses JSON with comments and trailing commas, and reports errors
// with their line and key.
//
// # Usage
//
//	if err := jsonc.Unmarshal("fleet.jsonc", data, &f); err != nil {
//		// Such as: fleet.jsonc:12: exceptions[1].timeout: period "5" is not a number with a unit such as 1.5s
//		return err
//	}
package jsonc

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/tailscale/hujson"
)

// PositionError is an error at a position in a file.
type PositionError struct {
	File string
	Line int
	// Key is the path of the value, such as exceptions[1].timeout. It is empty
	// if the file cannot be parsed.
	Key   string
	Cause error
}

// Error implements error.
func (e *PositionError) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%s:%d: %v", e.File, e.Line, e.Cause)
	}
	return fmt.Sprintf("%s:%d: %s: %v", e.File, e.Line, e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *PositionError) Unwrap() error { return e.Cause }

// document is a parsed file.
type document struct {
	name string
	data []byte
	root hujson.Value
}

func parse(name string, data []byte) (*document, error) {
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, &PositionError{File: name, Line: parseErrorLine(err), Cause: err}
	}
	return &document{name: name, data: data, root: root}, nil
}

// parseErrorLine extracts the line number from the message of a hujson error,
// which has no field for it. It returns 1 if the message has none.
func parseErrorLine(err error) int {
	_, rest, found := strings.Cut(err.Error(), "line ")
	if !found {
		return 1
	}
	digits, _, _ := strings.Cut(rest, ",")
	line, convErr := strconv.Atoi(digits)
	if convErr != nil {
		return 1
	}
	return line
}

func (d *document) line(offset int) int {
	return 1 + bytes.Count(d.data[:min(offset, len(d.data))], []byte("\n"))
}

func (d *document) errorAt(v hujson.Value, key string, cause error) error {
	return &PositionError{File: d.name, Line: d.line(v.StartOffset), Key: key, Cause: cause}
}

// Unmarshal parses a file into out, a pointer to a struct. Unknown and duplicate
// keys are errors. Errors are of type *PositionError; several are joined.
func Unmarshal(name string, data []byte, out any) error {
	d, err := parse(name, data)
	if err != nil {
		return err
	}
	if errs := d.checkValue(d.root, reflect.TypeOf(out).Elem(), ""); len(errs) > 0 {
		return errors.Join(errs...)
	}
	standard, err := hujson.Standardize(append([]byte(nil), data...))
	if err != nil {
		return err
	}
	return json.Unmarshal(standard, out)
}

// checkValue validates a value against the type that it is decoded into.
func (d *document) checkValue(v hujson.Value, t reflect.Type, key string) []error {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch value := v.Value.(type) {
	case *hujson.Object:
		if t.Kind() == reflect.Struct {
			return d.checkObject(v, value, t, key)
		}
	case *hujson.Array:
		if t.Kind() == reflect.Slice {
			return d.checkArray(value, t, key)
		}
	}
	return d.checkScalar(v, t, key)
}

func (d *document) checkObject(v hujson.Value, object *hujson.Object, t reflect.Type, key string) []error {
	fields := fieldsOf(t)
	seen := map[string]bool{}
	var errs []error
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		path := joinKey(key, name)
		field, ok := fields[name]
		switch {
		case !ok:
			errs = append(errs, d.errorAt(member.Name, path, merry.Errorf("key %q does not exist", name)))
			continue
		case seen[name]:
			errs = append(errs, d.errorAt(member.Name, path, merry.Errorf("key %q stands twice", name)))
		}
		seen[name] = true
		errs = append(errs, d.checkValue(member.Value, field, path)...)
	}
	return errs
}

func (d *document) checkArray(array *hujson.Array, t reflect.Type, key string) []error {
	var errs []error
	for i, element := range array.Elements {
		errs = append(errs, d.checkValue(element, t.Elem(), fmt.Sprintf("%s[%d]", key, i))...)
	}
	return errs
}

// checkScalar validates a single value by decoding it on its own.
func (d *document) checkScalar(v hujson.Value, t reflect.Type, key string) []error {
	clone := v.Clone()
	clone.Standardize()
	err := json.Unmarshal(bytes.TrimSpace(clone.Pack()), reflect.New(t).Interface())
	if err == nil {
		return nil
	}
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		err = merry.Errorf("a %s does not fit here", mismatch.Value)
	}
	return []error{d.errorAt(v, key, err)}
}

// fieldsOf returns the types of the fields of a struct by their JSON names.
func fieldsOf(t reflect.Type) map[string]reflect.Type {
	fields := map[string]reflect.Type{}
	for i := range t.NumField() {
		field := t.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if field.Anonymous && name == "" {
			maps.Copy(fields, fieldsOf(field.Type))
		}
		if name == "" || name == "-" || !field.IsExported() {
			continue
		}
		fields[name] = field.Type
	}
	return fields
}

func joinKey(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}
