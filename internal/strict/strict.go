// Package strict reads what has a fixed form. Of small TOML files a key that is not known is an error, and each error names its
// place; the operator file has a reader of its own (package operator), which finds everything in one run. Of CBOR, as it comes from
// disks and peers, nothing is read that this program would not write.
package strict

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/pelletier/go-toml/v2"
)

// CBOR returns a reader with a caller's bounds, which takes no key twice and no length that is not said. It is for package variables:
// it panics where the bounds make no sense.
func CBOR(bounds cbor.DecOptions) cbor.DecMode {
	bounds.DupMapKey, bounds.IndefLength = cbor.DupMapKeyEnforcedAPF, cbor.IndefLengthForbidden
	m, err := bounds.DecMode()
	if err != nil {
		panic(err) // the bounds are constants
	}
	return m
}

// TOML reads text into v. known names the keys that there are, for the error of one that is not; may be empty.
func TOML(text []byte, v any, known string) error {
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	var unknown *toml.StrictMissingError
	var wrong *toml.DecodeError
	switch {
	case errors.As(err, &unknown) && len(unknown.Errors) > 0:
		row, column := unknown.Errors[0].Position()
		mend := ""
		if known != "" {
			mend = "; there are " + known
		}
		return fmt.Errorf("line %d, column %d: no such key %q%s", row, column, strings.Join(unknown.Errors[0].Key(), "."), mend)
	case errors.As(err, &wrong):
		row, column := wrong.Position()
		return fmt.Errorf("line %d, column %d: %w", row, column, err)
	}
	return err
}
