// Checks of single fields, shared by the settings and the tuning file.

package config

import (
	"errors"
	"fmt"
	"math"
)

// ErrMissing is the Err of a FieldError about a required field that the file does not set.
var ErrMissing = errors.New("is missing")

// FieldError is a problem of one field of a file. The parse functions join one FieldError for each
// invalid field, so that the operator sees all problems of the file at once.
type FieldError struct {
	File  string // "settings" or "tuning"
	Field string // qualified by its tables, such as cluster.workers.lease_s
	Err   error  // the problem, phrased to follow the field's name
}

// Error returns the file, the field and the problem as one text.
func (e *FieldError) Error() string { return e.File + ": " + e.Field + " " + e.Err.Error() }

// Unwrap returns Err, so that errors.Is finds ErrMissing.
func (e *FieldError) Unwrap() error { return e.Err }

// check is the result of checking a field; problem is nil if it is valid.
type check struct {
	field   string
	problem error
}

// problems returns a FieldError for each failed check.
func problems(file string, checks []check) []error {
	var errs []error
	for _, c := range checks {
		if c.problem != nil {
			errs = append(errs, &FieldError{File: file, Field: c.field, Err: c.problem})
		}
	}
	return errs
}

// notEmpty checks that a text is not empty.
func notEmpty(field, text string) check {
	if text == "" {
		return check{field, errors.New("must not be empty")}
	}
	return check{field: field}
}

// positive checks that a number is above 0 and finite.
func positive(field string, v float64) check {
	if !(v > 0 && !math.IsInf(v, 0)) {
		return check{field, errors.New("must be above 0")}
	}
	return check{field: field}
}

// notNegative checks that a number is 0 or above. It may be infinite.
func notNegative(field string, v float64) check {
	if !(v >= 0) { // unlike v < 0, also true for NaN
		return check{field, errors.New("must not be negative")}
	}
	return check{field: field}
}

// maxDuration is the largest duration that a file may set, in the unit of its field. As seconds it is
// about three years, so a time.Duration can hold multiples of it.
const maxDuration = 1e8

// duration checks that a number is above 0 and at most maxDuration.
func duration(field string, v float64) check {
	if !(v > 0 && v <= maxDuration) {
		return check{field, fmt.Errorf("must be above 0 and at most %g", maxDuration)}
	}
	return check{field: field}
}

// rate checks that a rate is finite and at least least.
func rate(field string, v, least float64) check {
	if !(v >= least && !math.IsInf(v, 0)) {
		return check{field, fmt.Errorf("must be at least %g", least)}
	}
	return check{field: field}
}

// atLeast checks that an integer is least or above.
func atLeast(field string, v, least int) check {
	if v < least {
		return check{field, fmt.Errorf("must be at least %d", least)}
	}
	return check{field: field}
}

// within checks that a number is from least to most, both inclusive.
func within(field string, v, least, most float64) check {
	if !(v >= least && v <= most) {
		return check{field, fmt.Errorf("must be from %g to %g", least, most)}
	}
	return check{field: field}
}
