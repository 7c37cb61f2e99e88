// Package organisation holds the organisations on whose behalf callers submit jobs, and
// recognises them by their keys.
//
// A Directory keeps no key, only digests that are salted with a random number, so that
// neither its contents nor the duration of a lookup reveal anything about a key.
//
// # Usage
//
//	directory, err := organisation.NewDirectory(credentials)
//	if err != nil {
//		return err
//	}
//	caller, ok := directory.Authenticate(key)
//	if !ok {
//		// refuse the request
//	}
package organisation

import (
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"maps"
	"math"
	"slices"

	"bronzestair/core/job"
)

// MaxKeyBytes is the maximum length of a key.
const MaxKeyBytes = 256

// Organisation is an organisation as configured by the operator.
type Organisation struct {
	Name job.Organisation
	// Weight is the organisation's share of a full pool relative to the others, and the
	// number of jobs a second up to which its jobs have a claim to be served.
	Weight float64
	// Cap limits the resources of its running tasks over all pools. A zero amount means no
	// limit.
	Cap job.Resources
}

// Capped reports whether the organisation has a limit on any resource.
func (o *Organisation) Capped() bool { return o.Cap != job.Resources{} }

func (o *Organisation) validate() error {
	switch {
	case o.Name == "":
		return fmt.Errorf("an organisation has no name")
	case math.IsNaN(o.Weight) || math.IsInf(o.Weight, 0) || o.Weight <= 0:
		return fmt.Errorf("organisation %q: weight %v is not a positive number", o.Name, o.Weight)
	}
	if err := o.Cap.Validate(); err != nil {
		return fmt.Errorf("organisation %q: cap: %w", o.Name, err)
	}
	return nil
}

// Credentials are an organisation and the keys of its callers.
type Credentials struct {
	Organisation
	Keys []string
}

const saltBytes = 32

// digest is the salted digest of a key.
type digest [sha256.Size]byte

// Directory holds organisations by name and by key. It is immutable. A nil Directory has no
// organisations.
type Directory struct {
	salt   [saltBytes]byte
	byName map[job.Organisation]*Organisation
	byKey  map[digest]*Organisation
}

// NewDirectory returns a directory of the given organisations. It returns an error if a
// name or a key is empty or belongs to two organisations, or if a weight or a cap is out of range.
// Errors do not quote keys.
func NewDirectory(credentials []Credentials) (*Directory, error) {
	d := &Directory{byName: map[job.Organisation]*Organisation{}, byKey: map[digest]*Organisation{}}
	if _, err := rand.Read(d.salt[:]); err != nil {
		return nil, fmt.Errorf("salt of keys: %w", err)
	}
	for i := range credentials {
		if err := d.add(&credentials[i]); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (d *Directory) add(c *Credentials) error {
	o := c.Organisation
	if err := o.validate(); err != nil {
		return err
	}
	if d.byName[o.Name] != nil {
		return fmt.Errorf("organisation %q is configured twice", o.Name)
	}
	d.byName[o.Name] = &o
	for _, key := range c.Keys {
		if key == "" || len(key) > MaxKeyBytes {
			return fmt.Errorf("organisation %q: a key of %d bytes is not between 1 and %d", o.Name, len(key), MaxKeyBytes)
		}
		sum := d.digest(key)
		if other := d.byKey[sum]; other != nil && other.Name != o.Name {
			return fmt.Errorf("organisations %q and %q have the same key", other.Name, o.Name)
		}
		d.byKey[sum] = &o
	}
	return nil
}

// digest returns the salted digest of a key of at most MaxKeyBytes.
func (d *Directory) digest(key string) digest {
	var buffer [saltBytes + MaxKeyBytes]byte // on the stack
	n := copy(buffer[:], d.salt[:])
	n += copy(buffer[n:], key)
	return sha256.Sum256(buffer[:n])
}

// Authenticate returns the organisation of a key.
func (d *Directory) Authenticate(key string) (*Organisation, bool) {
	if d == nil || key == "" || len(key) > MaxKeyBytes {
		return nil, false
	}
	o, ok := d.byKey[d.digest(key)]
	return o, ok
}

// Get returns the organisation of a name.
func (d *Directory) Get(name job.Organisation) (*Organisation, bool) {
	if d == nil {
		return nil, false
	}
	o, ok := d.byName[name]
	return o, ok
}

// All returns the organisations in the order of their names.
func (d *Directory) All() []*Organisation {
	if d == nil {
		return nil
	}
	out := make([]*Organisation, 0, len(d.byName))
	for _, name := range slices.Sorted(maps.Keys(d.byName)) {
		out = append(out, d.byName[name])
	}
	return out
}
