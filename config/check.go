package config

import (
	"errors"
	"fmt"
	"math"
)

// This file has the checks of single fields. All problems of a file are reported at once, each
// with the name of its field.

// ErrMissing is the problem of a required field that is not in the file.
var ErrMissing = errors.New("is missing")

// FieldError says what is wrong with one field of a file.
type FieldError struct {
	File  string // "settings" or "tuning"
	Field string // with the tables that it is in, as cluster.workers.lease_s
	Err   error
}

// Error names the field, and says what is wrong with it.
func (e *FieldError) Error() string { return e.File + ": " + e.Field + " " + e.Err.Error() }

// Unwrap returns what is wrong with the field.
func (e *FieldError) Unwrap() error { return e.Err }

// check is the result of checking a field; problem is nil if it is valid.
type check struct {
	field   string
	problem error
}

// problems are the errors of the checks that failed.
func problems(file string, checks []check) []error {
	var errs []error
	for _, c := range checks {
		if c.problem != nil {
			errs = append(errs, &FieldError{File: file, Field: c.field, Err: c.problem})
		}
	}
	return errs
}

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

func notNegative(field string, v float64) check {
	if !(v >= 0) { // the negation refuses NaN as well
		return check{field, errors.New("must not be negative")}
	}
	return check{field: field}
}

// maxDuration is the longest duration that a file may ask for, in the unit of its field: three years in
// seconds, so that a time.Duration holds multiples of it.
const maxDuration = 1e8

// duration checks that a number can be a duration above 0.
func duration(field string, v float64) check {
	if !(v > 0 && v <= maxDuration) {
		return check{field, fmt.Errorf("must be above 0 and at most %g", maxDuration)}
	}
	return check{field: field}
}

// rate checks that a number is a rate per second of at least so much.
func rate(field string, v, least float64) check {
	if !(v >= least && !math.IsInf(v, 0)) {
		return check{field, fmt.Errorf("must be at least %g", least)}
	}
	return check{field: field}
}

func atLeast(field string, v, least int) check {
	if v < least {
		return check{field, fmt.Errorf("must be at least %d", least)}
	}
	return check{field: field}
}

// within checks that a number is between least and most, both included.
func within(field string, v, least, most float64) check {
	if !(v >= least && v <= most) {
		return check{field, fmt.Errorf("must be from %g to %g", least, most)}
	}
	return check{field: field}
}
